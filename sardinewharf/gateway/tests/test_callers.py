"""Tests what callers' connections get for what they send, byte by byte."""

import asyncio

import pytest
import pytest_asyncio

from sardinewharf.gateway.tests import callers
from sardinewharf.testbed import gateway_harness

# A stream of this many events, so many seconds apart, takes longer than the
# header timeout of the harness, 300 ms.
_EVENTS = 6
_EVENT_INTERVAL_S = 0.12


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


@pytest_asyncio.fixture
async def stream_with(harness, connect):
    """Returns a function that starts a stream and sends bytes behind it."""

    async def start(behind, delay_s):
        caller = await connect()
        request, _ = callers.encode(harness, "/chat/1")
        if delay_s:
            await caller.send(request)
            await asyncio.sleep(delay_s)
            await caller.send(behind)
        else:
            await caller.send(request + behind)
        return caller

    return start


def is_whole_stream(response):
    return (
        response.status == 200
        and response.is_complete
        and response.body.count(b"data:") == _EVENTS
    )


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
async def test_a_late_head_behind_a_stream_is_refused_after_the_stream(
    stream_with, delay_s
):
    """Guards against a 408 in the middle of an earlier response.

    The start of a second request in the first one's segment was not timed at
    all, and the connection was closed at the idle limit without a byte.
    """
    caller = await stream_with(b"POST /chat/2 HT", delay_s)
    assert is_whole_stream(await caller.read_response())
    started_at = asyncio.get_running_loop().time()
    assert (await caller.read_response()).status == 408
    took_s = asyncio.get_running_loop().time() - started_at
    assert 0.2 < took_s < 1.0
    assert await caller.read_to_end() == b""


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
async def test_a_head_that_ends_during_a_stream_is_answered(
    harness, stream_with, delay_s
):
    """Guards against timing a head while the caller waits for its stream."""
    second, _ = callers.encode(harness, "/book/2")
    caller = await stream_with(second[:20], delay_s)
    await asyncio.sleep(0.45)
    await caller.send(second[20:])
    assert is_whole_stream(await caller.read_response())
    assert (await caller.read_response()).body == b"an answer"


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
async def test_an_oversized_head_behind_a_stream_waits_for_it(
    stream_with, delay_s
):
    """Guards against a 431 in the middle of an earlier response."""
    behind = (
        b"POST /chat/2 HTTP/1.1\r\nx-filler: " + b"y" * 9_000 + b"\r\nx-end: "
    )
    caller = await stream_with(behind, delay_s)
    assert is_whole_stream(await caller.read_response())
    assert (await caller.read_response()).status == 431
    assert await caller.read_to_end() == b""


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
async def test_garbage_behind_a_stream_is_refused_after_it(
    stream_with, delay_s
):
    """Guards against a 400 in the middle of an earlier response."""
    caller = await stream_with(b"\x00\x01\r\n\r\n", delay_s)
    assert is_whole_stream(await caller.read_response())
    assert (await caller.read_response()).status == 400
    assert await caller.read_to_end() == b""


async def test_a_malformed_body_behind_a_stream_is_refused_after_it(
    harness, stream_with
):
    """Guards against a 400 in a response, or none for a request begun."""
    head, _ = callers.encode(
        harness, "/book/2", body=b"", transfer_encoding="chunked"
    )
    head = head.replace(b"content-length: 0\r\n", b"")
    caller = await stream_with(head + b"5\r\nhe", 0.05)
    await asyncio.sleep(0.05)
    await caller.send(b"llo\r\nzz\r\n")
    assert is_whole_stream(await caller.read_response())
    assert (await caller.read_response()).status == 400
    assert await caller.read_to_end() == b""
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
async def test_a_stray_line_end_behind_a_body_is_no_head(
    harness, stream_with, delay_s
):
    """Guards against a 408 for the line end that some clients add to a body.

    RFC 9112, section 2.2: a server ignores it before a request line.
    """
    caller = await stream_with(b"\r\n", delay_s)
    assert is_whole_stream(await caller.read_response())
    await asyncio.sleep(0.4)
    request, _ = callers.encode(harness, "/book/1")
    await caller.send(request)
    assert (await caller.read_response()).status == 200


async def test_a_stray_line_end_does_not_keep_a_connection_open(
    harness, connect
):
    """Guards against idle connections that no limit closes any more."""
    limits = gateway_harness.make_manifest()["limits"]
    await harness.store.put(
        "op/config",
        gateway_harness.make_manifest(
            2, limits=limits | {"idle_timeout_ms": 200}
        ),
    )
    await asyncio.sleep(0.2)
    caller = await connect()
    request, _ = callers.encode(harness, "/book/1")
    await caller.send(request)
    assert (await caller.read_response()).status == 200
    await asyncio.sleep(0.05)
    await caller.send(b"\r\n")
    async with asyncio.timeout(1.0):
        assert await caller.read_to_end() == b""


@pytest.mark.parametrize("count", [2, 3])
async def test_a_caller_that_leaves_with_requests_queued_is_noticed(
    harness, connect, count
):
    """Guards against work for a caller that left while others were queued.

    Only the newest request of a connection was told that it was closed.
    """
    for server in harness.servers:
        server.request_duration_s = 2.0
    caller = await connect()
    requests = [callers.encode(harness, "/look/1")[0] for _ in range(count)]
    await caller.send(b"".join(requests))
    await asyncio.sleep(0.2)
    caller.writer.transport.abort()
    await asyncio.sleep(0.5)
    assert [r.ended for r in harness.list_executed()] == ["left"]


async def test_requests_of_one_segment_are_answered_in_their_order(
    harness, connect
):
    """Guards against a queued request that is dropped or overtakes another."""
    caller = await connect()
    requests = [
        callers.encode(harness, path) for path in ["/chat/1", "/book/1"] * 3
    ]
    await caller.send(b"".join(request for request, _ in requests))
    for _, request_id in requests:
        response = await caller.read_response()
        assert response.status == 200
        assert response.headers["x-sardinewharf-request-id"] == request_id


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_request_to_upgrade_is_answered(harness, connect, method):
    """Guards against losing its body, and what comes behind it.

    Clients offer HTTP/2 so; RFC 9110, section 7.8: a server may ignore it. The
    body was taken for the next request.
    """
    caller = await connect()
    body = b"x" if method == "POST" else b""
    first, _ = callers.encode(
        harness,
        "/look/1",
        body,
        method,
        connection="Upgrade, HTTP2-Settings",
        upgrade="h2c",
        http2_settings="AAMAAABkAAQAoAAAAAIAAAAA",
    )
    second, _ = callers.encode(harness, "/look/2")
    await caller.send(first + second)
    for _ in range(2):
        response = await caller.read_response()
        assert (response.status, response.body) == (200, b"an answer")
    await caller.send(first[:-1])
    await asyncio.sleep(0.05)
    await caller.send(first[-1:])
    assert (await caller.read_response()).status == 200
    ran = harness.list_executed()
    assert [r.body for r in ran] == [body, b"x", body]
    assert not any("upgrade" in r.headers for r in ran)


async def test_a_chunked_body_behind_an_upgrade_is_forwarded(harness, connect):
    """Guards against taking the chunks for the next request."""
    caller = await connect()
    request, _ = callers.encode(
        harness,
        "/look/1",
        b"",
        connection="upgrade",
        upgrade="h2c",
        transfer_encoding="chunked",
    )
    request = request.replace(b"content-length: 0\r\n", b"")
    await caller.send(request + b"2\r\nab\r\n")
    await asyncio.sleep(0.05)
    await caller.send(b"1\r\nc\r\n0\r\n\r\n")
    assert (await caller.read_response()).status == 200
    assert [r.body for r in harness.list_executed()] == [b"abc"]


async def set_limits(harness, version, **limits):
    manifest = gateway_harness.make_manifest(version)
    manifest["limits"] |= limits
    await harness.store.put("op/config", manifest)
    await asyncio.sleep(0.25)


async def ask_on(harness, caller, path="/book/1"):
    request, _ = callers.encode(harness, path)
    await caller.send(request)
    return await caller.read_response()


async def test_an_idle_connection_is_kept_for_the_time_told(harness, connect):
    """Guards against closing a connection that its caller may still use.

    Callers were told no time, and a lowered limit closed the connections of
    those that relied on the older one.
    """
    await set_limits(harness, 2, idle_timeout_ms=2_000)
    caller = await connect()
    first = await ask_on(harness, caller)
    told_s = int(first.headers.get("keep-alive", "timeout=1").split("=")[1])
    await set_limits(harness, 3, idle_timeout_ms=100)
    assert (await ask_on(harness, caller)).status == 200
    await asyncio.sleep(0.8 * told_s)
    assert (await ask_on(harness, caller)).status == 200


async def test_a_limit_lowered_during_a_response_keeps_its_promise(
    harness, connect
):
    """Guards against closing sooner than the response itself told."""
    await set_limits(harness, 2, idle_timeout_ms=2_000)
    for server in harness.servers:
        server.request_duration_s = 0.5
    caller = await connect()
    asking = asyncio.ensure_future(ask_on(harness, caller))
    await asyncio.sleep(0.1)
    await set_limits(harness, 3, idle_timeout_ms=100)
    assert (await asking).headers["keep-alive"] == "timeout=1"
    await asyncio.sleep(0.8)
    assert (await ask_on(harness, caller)).status == 200


@pytest.mark.parametrize(
    ("limit_ms", "told"),
    [
        (5_000, "timeout=4"),
        (1_500, "timeout=1"),
        (1_400, None),
        (100, None),
    ],
)
async def test_the_time_told_leaves_a_margin(harness, connect, limit_ms, told):
    """Guards against requests that cross the close of their connection."""
    await set_limits(harness, 2, idle_timeout_ms=limit_ms)
    caller = await connect()
    response = await ask_on(harness, caller)
    assert response.headers.get("keep-alive") == told


async def test_a_lowered_limit_closes_connections_promised_nothing(
    harness, connect
):
    """Guards against connections that ignore the limit in force."""
    await set_limits(harness, 2, idle_timeout_ms=400)
    caller = await connect()
    assert (await ask_on(harness, caller)).status == 200
    await set_limits(harness, 3, idle_timeout_ms=100)
    caller = await connect()
    assert (await ask_on(harness, caller)).status == 200
    async with asyncio.timeout(0.3):
        assert await caller.read_to_end() == b""
