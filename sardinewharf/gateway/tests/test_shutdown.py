"""Tests how a gateway finishes requests while it shuts down."""

import asyncio

import pytest

from sardinewharf.gateway.tests import callers
from sardinewharf.testbed import gateway_harness

# When a stopped gateway closes idle connections, in seconds.
_CLOSES_IDLE_S = 2.4


async def has_executed(harness) -> bool:
    return bool(harness.list_executed())


@pytest.mark.usefixtures("own_time")
async def test_a_stop_finishes_what_runs_and_turns_callers_away(harness):
    """Guards against a stop that ends streams or still takes connections.

    The stream goes on for longer than idle connections are kept, and ends
    0.4 s before its deadline.
    """
    for engine in harness.engines:
        engine.event_interval_s = 0.65
    running = asyncio.ensure_future(harness.send_request("/chat/1", body=b"p"))
    await gateway_harness.wait_for(lambda: has_executed(harness))
    harness.gateways[0].stop()
    await asyncio.sleep(0.1)
    assert not await harness.is_ready()
    during = await harness.send_request("/book/1", body=b"x")
    assert during.status == 200
    assert during.headers["connection"] == "close"
    response = await running
    assert response.is_complete and response.body.count(b"data:") == 4


async def test_a_request_that_comes_too_late_is_not_begun(harness):
    """Guards against accepting requests that cannot finish before the exit.

    A long request that was accepted 3 s after the stop signal broke off when
    the process ended.
    """
    harness.gateways[0].stop()
    await asyncio.sleep(0.1)
    harness.gateways[0]._app.rejects_new_requests = True
    response = await harness.send_request("/chat/1", body=b"p")
    assert response.status == 503
    assert harness.list_executed() == []


async def end_process(harness):
    """Waits until the gateway stops, and ends connections as its exit does."""
    await harness._tasks[0]
    for connection in list(harness.gateways[0]._server._state.connections):
        connection.transport.abort()


async def test_a_slow_reader_gets_its_whole_response_before_the_exit(harness):
    """Guards against discarding what is written but not yet sent at the exit.

    The gateway waited only until no request was running.
    """
    body = b"z" * 15 * 2**20
    for server in harness.servers:
        server.body = body
    caller = await callers.RawCaller.connect(
        harness, receive_buffer_bytes=65_536
    )
    request, _ = callers.encode(harness, "/book/1")
    await caller.send(request)
    head = await caller.read_head()
    assert head.status == 200
    harness.gateways[0].stop()
    ending = asyncio.ensure_future(end_process(harness))
    received = b""
    # The gateway would close a connection on which nothing is read for long.
    for _ in range(30):
        await asyncio.sleep(0.1)
        received += await caller.reader.readexactly(100_000)
    received += await caller.reader.readexactly(len(body) - len(received))
    assert received == body
    caller.close()
    async with asyncio.timeout(0.5):
        await ending


@pytest.mark.parametrize("sent", [10, -1])
async def test_a_head_half_read_at_the_stop_gets_a_response(harness, sent):
    """Guards against closing a connection on which a request begins."""
    caller = await callers.RawCaller.connect(harness)
    request, _ = callers.encode(harness, "/book/1", body=b"")
    await caller.send(request)
    assert (await caller.read_response()).status == 200
    harness.gateways[0].stop()
    await asyncio.sleep(_CLOSES_IDLE_S - 0.1)
    await caller.send(request[:sent])
    await asyncio.sleep(0.25)
    await caller.send(request[sent:])
    response = await caller.read_response()
    assert response.status == 503
    assert response.headers["connection"] == "close"
    assert await caller.read_to_end() == b""
    caller.close()


async def test_a_connection_made_at_the_stop_gets_a_response(harness):
    """Guards against closing a connection whose first request is on its way."""
    harness.gateways[0].stop()
    await asyncio.sleep(_CLOSES_IDLE_S - 0.1)
    caller = await callers.RawCaller.connect(harness)
    await asyncio.sleep(0.25)
    request, _ = callers.encode(harness, "/book/1")
    await caller.send(request)
    assert (await caller.read_response()).status == 503
    assert await caller.read_to_end() == b""
    caller.close()


async def test_an_idle_connection_is_closed_at_the_stop(harness):
    """Guards against a stop that waits for callers that send nothing."""
    caller = await callers.RawCaller.connect(harness)
    request, _ = callers.encode(harness, "/book/1")
    await caller.send(request)
    assert (await caller.read_response()).status == 200
    harness.gateways[0].stop()
    await asyncio.sleep(_CLOSES_IDLE_S + 0.2)
    async with asyncio.timeout(0.5):
        assert await caller.read_to_end() == b""
        await harness._tasks[0]
    caller.close()


async def test_queued_requests_are_answered_during_the_stop(harness):
    """Guards against a "connection: close" that drops requests already read."""
    for server in harness.servers:
        server.request_duration_s = 0.3
    harness.gateways[0].stop()
    await asyncio.sleep(0.05)
    caller = await callers.RawCaller.connect(harness)
    requests = [callers.encode(harness, "/book/1")[0] for _ in range(3)]
    await caller.send(b"".join(requests))
    responses = [await caller.read_response() for _ in requests]
    assert [response.status for response in responses] == [200, 200, 200]
    closes = [r.headers.get("connection") == "close" for r in responses]
    assert closes == [False, False, True]
    assert await caller.read_to_end() == b""
    caller.close()
