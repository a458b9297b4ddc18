"""Tests the server's limits on what a connection sends, without a gateway."""

import asyncio
import contextlib
import dataclasses
import socket
import types

import httptools
import hypothesis
from hypothesis import strategies
import pytest
import pytest_asyncio

from sardinewharf import memory
from sardinewharf.http1 import closes
from sardinewharf.http1 import pipelines
from sardinewharf.http1 import server as http_server
from sardinewharf.testbed import ports

_HEADER_BYTES = 1_000
_BODY_BYTES = 200_000
_READ_S = 3.0
_CHUNKED = (
    b"POST / HTTP/1.1\r\nhost: h\r\n"
    b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n"
)


class Echo:
    """Responds to each request with its body; a path delays the response."""

    def __init__(self):
        self.begun = 0
        self.proceed = asyncio.Event()
        self.proceed.set()
        self.reads_bodies = True

    async def __call__(self, scope, receive, send):
        self.begun += 1
        body = b""
        while self.reads_bodies:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            if not message["more_body"]:
                break
        await self.proceed.wait()
        length = (b"content-length", b"%d" % len(body))
        start = {
            "type": "http.response.start",
            "status": 200,
            "headers": [length],
        }
        await send(start)
        await send({"type": "http.response.body", "body": body})


class Served:
    """A server, its application, and the reports of closed connections."""

    def __init__(self):
        self.app = Echo()
        self.account = memory.MemoryAccount(2_000_000)
        self.reports = []
        self.limits = closes.ServerLimits(
            _HEADER_BYTES, 1.0, 1.0, body_bytes=_BODY_BYTES
        )
        self.address = f"127.0.0.1:{ports.find_free_port()}"
        self.server = http_server.HttpServer(
            self.app, lambda: self.limits, self.account, self.reports.append
        )

    async def connect(self):
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def exchange(self, data):
        """Returns all that is received for some bytes."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            async with asyncio.timeout(_READ_S):
                return await reader.read(-1)
        finally:
            writer.close()


@pytest_asyncio.fixture
async def served():
    found = Served()
    await found.server.start(found.address)
    yield found
    found.server.stop_listening()
    found.server.close_idle()


async def test_trailers_within_the_limit_are_dropped(served):
    """Guards against a request with trailers that is refused."""
    trailers = b"0\r\n" + b"a: b\r\n" * 20 + b"\r\n"
    received = await served.exchange(_CHUNKED + trailers)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"\r\n\r\nx")


async def test_head_and_trailers_share_one_limit(served):
    """Guards against trailers without a limit, in one segment or in many."""
    trailers = b"0\r\n" + b"a: b\r\n" * 200
    for end in (b"", b"\r\n"):
        received = await served.exchange(_CHUNKED + trailers + end)
        assert received.startswith(b"HTTP/1.1 431 ")
    reason = closes.CloseReason.TRAILERS_TOO_LARGE
    assert [report.reason for report in served.reports] == [reason] * 2


async def test_one_trailer_or_extension_without_end_is_refused(served):
    """Guards against fields that the parser collects and never reports."""
    for rest in (b"0\r\na: ", b"0\r\na", b"1;a"):
        reader, writer = await served.connect()
        writer.write(_CHUNKED + rest)
        await asyncio.sleep(0.05)
        for _ in range(_HEADER_BYTES // 100 + 1):
            writer.write(b"b" * 100)
            await writer.drain()
            await asyncio.sleep(0.002)
        async with asyncio.timeout(_READ_S):
            assert (await reader.read(-1)).startswith(b"HTTP/1.1 431 ")
        writer.close()


async def test_many_small_chunks_are_one_body(served):
    """Guards against the framing of sound chunks that adds up to a limit."""
    body = b"1;name=value\r\nx\r\n" * 500 + b"0\r\n\r\n"
    received = await served.exchange(_CHUNKED + body)
    assert received.endswith(b"\r\n\r\n" + b"x" * 501)


async def test_small_chunks_leave_the_loop_to_other_connections(served):
    """Guards against one connection that takes the processor from the others.

    A chunked body with the end of a head in every four bytes is parsed in as
    many pieces, which were all parsed before anything else ran.
    """
    parsed = []
    protocol_class = served.server._protocol
    count = protocol_class.on_body
    turns = 0

    class Counting(protocol_class):
        def on_body(self, body):
            parsed.append(turns)
            count(self, body)

    served.server._protocol = Counting
    reader, writer = await served.connect()
    writer.write(_CHUNKED + b"1000\r\n" + b"\r\n\r\n" * 1_024 + b"\r\n")
    async with asyncio.timeout(_READ_S):
        while len(parsed) <= 1_024:
            turns += 1
            await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n")
        assert (await reader.read(15)).startswith(b"HTTP/1.1 200 ")
    writer.close()
    most = max(parsed.count(turn) for turn in set(parsed))
    assert most <= 2 * pipelines.MAX_PIECES


async def test_a_body_that_goes_on_after_its_response_ends_the_connection(
    served,
):
    """Guards against bodies without end that are read after their refusal."""
    served.app.reads_bodies = False
    reader, writer = await served.connect()
    writer.write(_CHUNKED)
    async with asyncio.timeout(_READ_S):
        assert (await reader.read(100)).startswith(b"HTTP/1.1 200 ")
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(b"64\r\n" + b"b" * 100 + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0)
    reason = closes.CloseReason.BODY_AFTER_RESPONSE
    assert [report.reason for report in served.reports] == [reason]


async def test_the_rest_of_a_refused_body_may_be_as_long_as_a_body(served):
    """Guards against a refusal that a reset of the connection destroys."""
    served.app.reads_bodies = False
    reader, writer = await served.connect()
    writer.write(_CHUNKED)
    async with asyncio.timeout(_READ_S):
        assert (await reader.read(100)).startswith(b"HTTP/1.1 200 ")
        for _ in range(_BODY_BYTES // 100 - 10):
            writer.write(b"64\r\n" + b"b" * 100 + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\nGET / HTTP/1.1\r\n\r\n")
        assert (await reader.read(100)).startswith(b"HTTP/1.1 200 ")
    writer.close()


async def test_a_request_to_upgrade_with_an_unknown_coding_is_refused(served):
    """Guards against an error of the second parser that nobody handles.

    The connection was closed without a response, as a fatal error.
    """
    received = await served.exchange(
        b"POST / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\n"
        b"upgrade: a\r\ntransfer-encoding: gzip\r\n\r\n"
    )
    assert received.startswith(b"HTTP/1.1 400 ")


def make_requests(count):
    """Returns pipelined requests with each kind of body, and their bodies."""
    bodies = [b"%d\r\n\r\n" % i if i % 3 else b"" for i in range(count)]
    sent = [
        b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\nt: u\r\n\r\n" % (len(body), body)
        if body and i % 2
        else b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n%b"
        % (len(body), body)
        for i, body in enumerate(bodies)
    ]
    return b"".join(sent), bodies


async def read_bodies(reader, count):
    bodies = []
    async with asyncio.timeout(_READ_S):
        for _ in range(count):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            length = head.lower().split(b"content-length: ")[1].split(b"\r")[0]
            bodies.append(await reader.readexactly(int(length)))
    return bodies


@pytest.mark.parametrize("step", [3, 64, 1_000, 100_000])
async def test_pipelined_requests_are_answered_in_order(served, step):
    """Guards against requests that are lost or joined at a cut of a segment."""
    data, bodies = make_requests(100)
    reader, writer = await served.connect()
    for begin in range(0, len(data), step):
        writer.write(data[begin : begin + step])
        await asyncio.sleep(0)
    assert await read_bodies(reader, len(bodies)) == bodies
    writer.close()


async def test_requests_behind_a_running_one_are_kept_as_bytes(served):
    """Guards against thousands of parsed requests on one connection."""
    served.app.proceed.clear()
    data, bodies = make_requests(3_000)
    reader, writer = await served.connect()
    writer.write(data)
    await asyncio.sleep(0.2)
    (connection,) = served.server._state.connections
    assert served.app.begun == 1
    assert len(connection.pipeline) <= 2
    assert 0 < served.account.held_bytes <= 2 * pipelines.MAX_BACKLOG_BYTES
    served.app.proceed.set()
    assert await read_bodies(reader, len(bodies)) == bodies
    assert not served.account.held_bytes
    writer.close()


async def test_no_request_begins_before_an_unread_response(served):
    """Guards against responses that pile up as their caller reads nothing."""
    body = b"x" * 500_000
    request = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )
    reader, writer = await served.connect()
    writer.transport.pause_reading()
    writer.write(request * 40)
    await asyncio.sleep(0.5)
    begun = served.app.begun
    await asyncio.sleep(0.2)
    assert served.app.begun == begun < 40
    assert served.account.held_bytes <= 2 * len(body)
    writer.transport.resume_reading()
    assert await read_bodies(reader, 40) == [body] * 40
    writer.close()


async def test_a_caller_that_takes_nothing_is_closed(served):
    """Guards against descriptors that are held as long as a caller likes."""
    served.limits = dataclasses.replace(served.limits, unread_s=0.2)
    request = b"POST / HTTP/1.1\r\ncontent-length: 500000\r\n\r\n"
    _, writer = await served.connect()
    writer.transport.pause_reading()
    writer.write((request + b"x" * 500_000) * 40)
    async with asyncio.timeout(_READ_S):
        while not served.reports:
            await asyncio.sleep(0.02)
    reason = closes.CloseReason.UNREAD_RESPONSE
    assert [report.reason for report in served.reports] == [reason]
    assert not served.server.connections
    assert not served.account.held_bytes
    writer.close()


async def test_a_caller_that_reads_slowly_is_served(served):
    """Guards against a limit that counts a slow reader as none."""
    served.limits = dataclasses.replace(served.limits, unread_s=0.2)
    body = b"x" * 1_000_000
    request = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n%b" % (
        len(body),
        body,
    )
    host, _, port = served.address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    sock.connect((host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=16_384)
    writer.write(request * 6)
    received = 0
    while received < 6 * len(body):
        async with asyncio.timeout(_READ_S):
            piece = await reader.read(200_000)
        assert piece
        received += len(piece)
        await asyncio.sleep(0.005)
    assert not served.reports
    writer.close()


async def test_a_half_close_behind_many_requests_ends_the_connection(served):
    """Guards against a connection kept open once all is answered."""
    data, bodies = make_requests(300)
    reader, writer = await served.connect()
    writer.write(data + b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nhalf")
    writer.write_eof()
    assert await read_bodies(reader, len(bodies)) == bodies
    async with asyncio.timeout(0.5):
        assert await reader.read(-1) == b""


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [
                b"GET / HTTP/1.1\r\n\r\n",
                b"GET /\r\n",
                b"\r\n",
                b"\n",
                b"a: b\r\n",
                b"0\r\n",
                b"POST / HTTP/1.1\r\ncontent-length: 4\r\n",
                b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n",
                b"\r\n\r\n",
            ]
        )
    ),
    strategies.integers(1, 40),
)
def test_a_piece_begins_at_most_two_requests(parts, step):
    """Guards against bytes that the parser takes for a head's end earlier."""
    heads = []
    callbacks = types.SimpleNamespace(
        on_headers_complete=lambda: heads.append(1)
    )
    parser = httptools.HttpRequestParser(callbacks)
    backlog = pipelines.Backlog()
    data = b"".join(parts)
    for begin in range(0, len(data), step):
        backlog.add(data[begin : begin + step])
        while backlog:
            heads.clear()
            try:
                parser.feed_data(backlog.take())
            except httptools.HttpParserError:
                return
            assert len(heads) <= 2
