"""Tests what a caller gets that closes its sending side and then waits."""

import asyncio
import contextlib
import socket
import struct

import pytest
import pytest_asyncio

from sardinewharf.gateway.tests import callers
from sardinewharf.testbed import gateway_harness

# Time after which a run must have ended, in seconds.
_NOTICED_S = 0.5
_EVENTS = 40
_EVENT_INTERVAL_S = 0.05


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness()
    for engine in found.engines:
        engine.events = _EVENTS
        engine.event_interval_s = _EVENT_INTERVAL_S
    await found.start()
    yield found
    await found.close()


@pytest_asyncio.fixture
async def connect(harness):
    """Returns a function that opens a connection to the gateway."""
    opened = []

    async def open_connection():
        opened.append(await callers.RawCaller.connect(harness))
        return opened[-1]

    yield open_connection
    for caller in opened:
        caller.close()


@pytest.fixture
def blackhole():
    """Returns an address at which connections are neither made nor refused."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        with contextlib.ExitStack() as stack:
            for _ in range(2):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            yield f"127.0.0.1:{listener.getsockname()[1]}"


def hold(harness, seconds):
    for server in harness.servers:
        server.request_duration_s = seconds


def list_ends(harness):
    return [request.ended for request in harness.list_executed()]


async def send_and_end(harness, caller, path, delay_s=0.1, **headers):
    request, request_id = callers.encode(harness, path, **headers)
    await caller.send(request)
    await asyncio.sleep(delay_s)
    caller.end_sending()
    return request_id


@pytest.mark.parametrize("path", ["/chat/1", "/ask/1", "/look/1"])
async def test_work_that_may_be_ended_is_ended_and_refused(
    harness, connect, path
):
    """Guards against a connection that is closed without a byte."""
    for engine in harness.engines:
        engine.faults.hang = True
    hold(harness, 3.0)
    caller = await connect()
    request_id = await send_and_end(harness, caller, path)
    response = await caller.read_response()
    assert response.status == 502
    assert response.headers["connection"] == "close"
    assert response.headers["x-sardinewharf-request-id"] == request_id
    assert b"keep" in response.body
    assert await caller.read_to_end() == b""
    await asyncio.sleep(_NOTICED_S)
    assert list_ends(harness) == ["left"]


async def test_a_stream_that_has_begun_ends_as_incomplete(harness, connect):
    """Guards against a refusal in a stream, and against a stream cut late."""
    caller = await connect()
    await send_and_end(harness, caller, "/chat/1", delay_s=0.3)
    response = await caller.read_response()
    assert response.status == 200 and not response.is_complete
    assert 1 < response.body.count(b"data:") < _EVENTS
    assert b"HTTP/" not in response.body
    await asyncio.sleep(_NOTICED_S)
    assert list_ends(harness) == ["left"]


async def test_an_unsafe_request_that_was_sent_is_finished(harness, connect):
    """Guards against the loss of an answer whose work cannot be taken back."""
    hold(harness, 0.6)
    caller = await connect()
    await send_and_end(harness, caller, "/book/1")
    response = await caller.read_response()
    assert (response.status, response.body) == (200, b"an answer")
    assert response.headers["connection"] == "close"
    assert await caller.read_to_end() == b""
    assert list_ends(harness) == ["whole"]


@pytest.mark.parametrize("path", ["/chat/1", "/ask/1", "/look/1", "/book/1"])
async def test_a_request_with_the_half_close_behind_it_is_not_run(
    harness, connect, path
):
    """Guards against running a request whose caller counts as gone."""
    caller = await connect()
    await send_and_end(harness, caller, path, delay_s=0.0)
    response = await caller.read_response()
    assert response.status == 503
    assert response.headers["connection"] == "close"
    assert response.body.startswith(b"half_closed: ")
    assert await caller.read_to_end() == b""
    assert harness.list_executed() == []


async def test_an_unsafe_request_that_was_not_sent_is_not_run(
    harness, connect, blackhole
):
    """Guards against sending a request once its caller counts as gone."""
    for server in harness.servers:
        server.address = blackhole
        await harness.register(server)
    await asyncio.sleep(0.2)
    caller = await connect()
    await send_and_end(harness, caller, "/book/1", delay_s=0.1)
    response = await caller.read_response()
    assert response.status == 503
    assert response.body.startswith(b"half_closed: ")
    assert harness.list_executed() == []


@pytest.mark.parametrize(
    ("path", "status"), [("/book/1", 200), ("/look/1", 502)]
)
@pytest.mark.parametrize("queued", [1, 3])
async def test_each_queued_request_is_answered(
    harness, connect, path, status, queued
):
    """Guards against dropping whole requests behind the one that is run."""
    hold(harness, 0.5)
    caller = await connect()
    first, _ = callers.encode(harness, path)
    behind = [callers.encode(harness, "/book/2") for _ in range(queued)]
    await caller.send(first + b"".join(request for request, _ in behind))
    await asyncio.sleep(0.1)
    caller.end_sending()
    assert (await caller.read_response()).status == status
    for _, request_id in behind:
        response = await caller.read_response()
        assert response.status == 503
        assert response.headers["x-sardinewharf-request-id"] == request_id
    assert response.headers["connection"] == "close"
    assert await caller.read_to_end() == b""
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("left_out", [1, 30])
async def test_half_a_request_behind_is_dropped(harness, connect, left_out):
    """Guards against an answer to a request that was not read."""
    hold(harness, 0.4)
    caller = await connect()
    first, _ = callers.encode(harness, "/book/1")
    second, _ = callers.encode(harness, "/book/2")
    await caller.send(first + second[:-left_out])
    await asyncio.sleep(0.1)
    caller.end_sending()
    assert (await caller.read_response()).status == 200
    assert await caller.read_to_end() == b""
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("length", [0, 40, -1])
async def test_without_a_whole_request_the_connection_just_ends(
    harness, connect, length
):
    """Guards against a response to no request."""
    caller = await connect()
    request, _ = callers.encode(harness, "/book/1", body=b"abc")
    await caller.send(request[:length])
    await asyncio.sleep(0.05)
    caller.end_sending()
    async with asyncio.timeout(0.2):
        assert await caller.read_to_end() == b""
    assert harness.list_executed() == []


async def test_an_idle_connection_just_ends(harness, connect):
    """Guards against a connection kept open after its caller closed it."""
    caller = await connect()
    request, _ = callers.encode(harness, "/book/1")
    await caller.send(request)
    assert (await caller.read_response()).status == 200
    caller.end_sending()
    async with asyncio.timeout(0.2):
        assert await caller.read_to_end() == b""


@pytest.mark.parametrize("path", ["/chat/1", "/look/1", "/book/1"])
async def test_a_reset_ends_the_work_at_once(harness, connect, path):
    """Guards against work for a caller that certainly left."""
    hold(harness, 3.0)
    caller = await connect()
    request, _ = callers.encode(harness, path)
    await caller.send(request)
    await asyncio.sleep(0.15)
    caller.writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    caller.writer.transport.abort()
    await asyncio.sleep(_NOTICED_S)
    assert list_ends(harness) == ["left"]


@pytest.mark.parametrize("path", ["/chat/1", "/ask/1", "/look/1"])
async def test_a_caller_that_closes_is_noticed(harness, connect, path):
    """Guards against work for a caller that left; it sends the same FIN."""
    hold(harness, 3.0)
    caller = await connect()
    request, _ = callers.encode(harness, path)
    await caller.send(request)
    await asyncio.sleep(0.15)
    caller.close()
    await asyncio.sleep(_NOTICED_S)
    assert list_ends(harness) == ["left"]


async def test_a_request_of_a_caller_that_left_goes_to_no_other_endpoint(
    harness, connect
):
    """An endpoint refused it after the half-close, and another one ran it."""

    def refuse_late(server):
        async def respond(connection, request):
            server.executed.remove(request)
            connection.reply(
                503,
                [
                    ("x-sardinewharf-not-run", "1"),
                    ("x-sardinewharf-request-id", request.request_id),
                ],
            )

        server.respond = respond

    hold(harness, 0.3)
    for server in harness.servers:
        refuse_late(server)
    caller = await connect()
    await send_and_end(harness, caller, "/book/1")
    await asyncio.sleep(0.4)
    assert sum(server.arrivals for server in harness.servers) == 1
