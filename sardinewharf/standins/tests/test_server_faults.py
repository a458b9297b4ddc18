"""Tests that the test doubles of servers really do what the soak injects."""

import asyncio
import time

import pytest
import pytest_asyncio

from sardinewharf.standins import platform_servers
from sardinewharf.standins import server_faults

_TIMEOUT_S = 2.0
# Long enough to see that nothing more comes.
_QUIET_S = 0.1


class Client:
    """A connection to a server, which sends requests and keeps all bytes."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    async def send(self, request, **headers):
        lines = ["POST /book/1 HTTP/1.1", "content-length: 0"]
        lines.append(f"x-sardinewharf-request-id: {request}")
        lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def read(self):
        """Returns what comes until nothing more does; None once at the end."""
        data = b""
        async with asyncio.timeout(_TIMEOUT_S):
            data = await self._reader.read(1 << 16)
        while data:
            try:
                async with asyncio.timeout(_QUIET_S):
                    more = await self._reader.read(1 << 16)
            except TimeoutError:
                return data
            if not more:
                return data
            data += more
        return None

    async def read_segment(self):
        async with asyncio.timeout(_TIMEOUT_S):
            return await self._reader.read(1 << 16)


@pytest_asyncio.fixture
async def connect():
    writers = []

    async def connect_to(server):
        host, port = server.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
        return Client(reader, writer)

    yield connect_to
    for writer in writers:
        writer.close()


@pytest_asyncio.fixture
async def server():
    created = platform_servers.PlatformServer("s0")
    await created.start()
    yield created
    await created.stop()


@pytest_asyncio.fixture
async def engine():
    created = platform_servers.PlatformEngine("e0", "m1")
    await created.start()
    yield created
    await created.stop()


async def refuse_first(server, client, **stale):
    """Makes the server refuse a request truly, so that it can repeat that."""
    server.faults.stale_refusal = server_faults.StaleRefusal(**stale)
    await client.send("first")
    refused = await client.read()
    assert b"request-id: first" in refused and not server.executed


@pytest.mark.parametrize("status", [421, 429, 503])
@pytest.mark.parametrize("is_named", [True, False])
async def test_a_refusal_comes_instead_of_the_answer(
    connect, server, status, is_named
):
    client = await connect(server)
    place = server_faults.RefusalPlace.INSTEAD
    await refuse_first(
        server, client, status=status, place=place, is_named=is_named
    )
    await client.send("second")
    received = await client.read()
    assert received.startswith(b"HTTP/1.1 %d" % status)
    assert received.count(b"HTTP/1.1") == 1
    assert (b"request-id: first" in received) == is_named
    assert [r.request_id for r in server.executed] == ["second"]


@pytest.mark.parametrize("place", ["before", "behind", "later"])
async def test_a_refusal_comes_beside_the_answer(connect, server, place):
    client = await connect(server)
    place = server_faults.RefusalPlace(place)
    await refuse_first(server, client, place=place)
    await client.send("second")
    received = await client.read()
    statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
    before = place is server_faults.RefusalPlace.BEFORE
    assert statuses == ([b"503", b"200"] if before else [b"200", b"503"])


async def test_a_refusal_follows_an_interim_response(connect, server):
    client = await connect(server)
    place = server_faults.RefusalPlace.INTERIM
    await refuse_first(server, client, place=place)
    await client.send("second")
    received = await client.read()
    statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"103", b"503", b"200"]


async def test_a_refusal_comes_in_two_pieces(connect, server):
    client = await connect(server)
    place = server_faults.RefusalPlace.PIECES
    await refuse_first(server, client, place=place)
    await client.send("second")
    first = await client.read()
    await client.send("third")
    both = first + await client.read()
    start, refusal, last = both.split(b"HTTP/1.1 ")[1:4]
    assert start.startswith(b"200") and last.startswith(b"200")
    assert refusal.startswith(b"503") and refusal.endswith(b"\r\n\r\n")
    assert b"\r\n\r\n" not in first.split(b"HTTP/1.1 ")[2]


@pytest.mark.parametrize("index", [0, 1])
async def test_some_runs_end_with_an_error(connect, server, engine, index):
    double = (server, engine)[index]
    double.faults.failed_run = server_faults.FailedRun(429, every=2)
    client = await connect(double)
    received = []
    for request_id in ("first", "second"):
        await client.send(request_id)
        received.append(await client.read())
    assert received[0].startswith(b"HTTP/1.1 200")
    assert received[1].startswith(b"HTTP/1.1 429")
    assert b"not-run" not in received[1]
    assert b"request-id: second" in received[1]
    assert len(double.executed) == 2


async def test_some_refusals_ask_for_a_pause(connect, server):
    server.faults.backoff = server_faults.Backoff("2.5", every=2)
    client = await connect(server)
    received = []
    for request_id in ("first", "second"):
        await client.send(request_id)
        received.append(await client.read())
    assert received[0].startswith(b"HTTP/1.1 200")
    assert received[1].startswith(b"HTTP/1.1 503")
    assert b"retry-after: 2.5" in received[1]
    assert b"not-run: 1" in received[1]
    assert len(server.executed) == 1


@pytest.mark.parametrize("index", [0, 1])
@pytest.mark.parametrize("refuses", [False, True])
async def test_all_responses_say_that_a_server_leaves(
    connect, server, engine, index, refuses
):
    double = (server, engine)[index]
    double.faults.leaving = True
    double.faults.refuse = refuses
    client = await connect(double)
    await client.send("first")
    assert b"server-leaving: 1\r\n" in await client.read()


async def test_a_refusal_behind_a_stream_shares_its_last_segment(
    connect, engine
):
    client = await connect(engine)
    place = server_faults.RefusalPlace.BEHIND
    await refuse_first(engine, client, place=place)
    await client.send("second")
    assert b"\r\n0\r\n\r\nHTTP/1.1 503" in await client.read_segment()


async def test_no_refusal_is_repeated_on_a_new_connection(connect, server):
    await refuse_first(server, await connect(server))
    client = await connect(server)
    await client.send("second")
    assert (await client.read()).startswith(b"HTTP/1.1 200")


async def test_a_silent_server_goes_on_with_all_it_has(connect, engine):
    client = await connect(engine)
    engine.pause(0.4)
    began = time.monotonic()
    await client.send("first")
    received = await client.read()
    assert time.monotonic() - began > 0.4
    assert received.count(b"data: word") == engine.events
    assert received.endswith(b"0\r\n\r\n")
    assert engine.executed[0].ended == "whole"


async def test_a_silent_server_closes_nothing(connect, server):
    client = await connect(server)
    server.faults.short_body = True
    server.pause(0.3)
    began = time.monotonic()
    await client.send("first")
    assert (await client.read()).endswith(b"an answ")
    assert await client.read() is None
    assert time.monotonic() - began > 0.3


@pytest.mark.parametrize("request_id", [f"r{n}" for n in range(6)])
async def test_a_head_is_cut_anywhere(connect, server, request_id):
    server.faults.cut_head = server_faults.HeadEnd.FIN
    client = await connect(server)
    await client.send(request_id)
    received = await client.read()
    assert b"HTTP/1.1 200 X".startswith(received[:14])
    assert b"\r\n\r\n" not in received
    assert await client.read() is None
    assert len(server.executed) == 1


async def test_a_head_is_reset(connect, server):
    server.faults.cut_head = server_faults.HeadEnd.RESET
    client = await connect(server)
    await client.send("first")
    with pytest.raises(ConnectionResetError):
        while await client.read() is not None:
            pass


async def test_a_head_announces_a_body_that_does_not_come(connect, server):
    server.faults.cut_head = server_faults.HeadEnd.NO_BODY
    client = await connect(server)
    await client.send("first")
    assert (await client.read()).endswith(b"content-length: 9\r\n\r\n")
    assert await client.read() is None


@pytest.mark.parametrize(
    ("framing", "end"),
    [
        ("length", b"content-length: 12\r\n\r\ncannot go on"),
        ("close", b"\r\n\r\ncannot go on"),
        ("chunk_size", b"transfer-encoding: chunked\r\n\r\n0"),
        ("status_line", b"HTTP/1.1 500 X\r\n"),
    ],
)
async def test_a_resumption_is_answered_with_an_error(
    connect, engine, framing, end
):
    engine.faults.resume_error = server_faults.ResumeError(
        500, server_faults.Framing(framing)
    )
    client = await connect(engine)
    await client.send("first", last_event_id="2")
    received = await client.read()
    assert received.startswith(b"HTTP/1.1 500") and received.endswith(end)
