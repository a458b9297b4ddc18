"""Tests that a gateway that stops begins only what it can still finish.

These guard against requests that were passed on during a stop, could not end
before the exit, and lost their connection without a byte.
"""

import asyncio
import time

import pytest
import pytest_asyncio

from sardinewharf import clocks
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import shutdown
from sardinewharf.gateway.tests import callers
from sardinewharf.gateway.tests import test_shutdown
from sardinewharf.testbed import gateway_harness

_GRACE_S = 5.0
_LIMIT_MS = 30_000
# Longer than any time that is left during a stop.
_SLOW_S = 20.0
# RULES.md excuses what is cut off in this last part of the grace period.
_LAST_SIXTH_S = _GRACE_S * 5 / 6


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(grace_ms=int(_GRACE_S * 1000))
    )
    await found.start()
    routes = gateway_harness.make_manifest()["routes"]
    for route in routes:
        route["timeout_ms"] = _LIMIT_MS
    limits = gateway_harness.make_manifest()["limits"]
    limits["header_timeout_ms"] = 3_000
    await found.store.put(
        "op/config",
        gateway_harness.make_manifest(2, routes=routes, limits=limits),
    )
    await asyncio.sleep(0.3)
    yield found
    await found.close()


def make_slow(harness):
    for server in harness.servers:
        server.request_duration_s = _SLOW_S
    for engine in harness.engines:
        engine.events = 400
        engine.event_interval_s = 0.05


def encode(harness, path, body=b"x", limit_ms=_LIMIT_MS):
    return callers.encode(
        harness, path, body, x_sardinewharf_deadline_ms=str(limit_ms)
    )[0]


def send(harness, path, limit_ms=_LIMIT_MS):
    return asyncio.ensure_future(
        harness.send_request(
            path, body=b"p", x_sardinewharf_deadline_ms=str(limit_ms)
        )
    )


def expect_to_spare(gateway, route, spare_s):
    """Makes requests that begin now end so long before the gateway exits."""
    left_s = gateway._shutdown.schedule.answer_by.remaining()
    began = clocks.read_monotonic() - left_s + spare_s
    for _ in range(64):
        gateway._shutdown.durations.record(route, began)


async def open_connection(harness):
    """Returns a connection on which a short request was answered."""
    caller = await callers.RawCaller.connect(harness)
    await caller.send(encode(harness, "/book/1"))
    assert (await caller.read_response()).status == 200
    return caller


async def read_until_exit(harness, caller):
    """Returns a response, ending the connection with the process."""
    ending = asyncio.ensure_future(test_shutdown.end_process(harness))
    async with asyncio.timeout(_GRACE_S):
        response = await caller.read_response()
        await ending
    caller.close()
    return response


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 3.0, 5.0, 8.0, 30.0, 600.0])
def test_a_schedule_answers_in_the_last_sixth_and_leaves_time_to_deliver(
    grace_s,
):
    """A shorter grace period than the usual one left no time at its end."""
    schedule = shutdown.ShutdownSchedule.plan(grace_s, now=100.0)
    assert 100.0 < schedule.reject_from.at <= schedule.answer_by.at
    assert 100.0 + grace_s * 5 / 6 < schedule.answer_by.at
    assert schedule.answer_by.at + 0.03 < schedule.exit_by.at
    assert schedule.exit_by.at + 0.02 < 100.0 + grace_s


@pytest.mark.parametrize("path", ["/book/1", "/look/1"])
async def test_a_request_that_still_runs_at_the_end_of_a_stop_is_answered(
    harness, path
):
    caller = await open_connection(harness)
    make_slow(harness)
    await caller.send(encode(harness, path))
    await asyncio.sleep(0.5)
    stopped_at = time.monotonic()
    harness.gateways[0].stop()
    async with asyncio.timeout(_GRACE_S):
        head = await callers.RawCaller.read_head(caller)
        answered_s = time.monotonic() - stopped_at
        await harness._tasks[0]
    exited_s = time.monotonic() - stopped_at
    assert head.status == 502
    assert head.headers["connection"] == "close"
    assert "x-sardinewharf-server-stamp" not in head.headers
    assert answered_s > _LAST_SIXTH_S
    assert exited_s < _GRACE_S - 0.2
    caller.close()


@pytest.mark.parametrize("path", ["/book/1", "/look/1", "/chat/1", "/ask/1"])
@pytest.mark.parametrize("after_s", [0.5, 1.5, 2.3])
async def test_a_request_that_cannot_end_before_the_exit_is_not_sent(
    harness, path, after_s
):
    caller = await open_connection(harness)
    make_slow(harness)
    before = len(harness.list_executed())
    harness.gateways[0].stop()
    await asyncio.sleep(after_s)
    # What the route's requests have taken so far is not known, or too much.
    durations = harness.gateways[0]._shutdown.durations
    now = clocks.read_monotonic()
    durations.record("book", now - _SLOW_S)
    durations.record("chat", now - _SLOW_S)
    await caller.send(encode(harness, path))
    async with asyncio.timeout(0.5):
        response = await caller.read_response()
    assert response.status == 503
    assert response.body.startswith(b"leaving")
    assert response.headers["connection"] == "close"
    left_s = _GRACE_S - after_s
    assert 0 < float(response.headers["retry-after"]) <= left_s + 0.1
    assert len(harness.list_executed()) == before
    caller.close()


@pytest.mark.parametrize("path", ["/book/1", "/chat/1"])
@pytest.mark.parametrize("after_s", [0.5, 2.2])
async def test_requests_that_can_end_before_the_exit_are_served(
    harness, path, after_s
):
    """Their own limits allow more time than is left; they need little."""
    await send(harness, path)
    harness.gateways[0].stop()
    await asyncio.sleep(after_s)
    response = await send(harness, path)
    assert (response.status, response.is_complete) == (200, True)


async def test_a_request_whose_deadline_comes_before_the_exit_is_served(
    harness,
):
    """Nothing is known of its route, but its caller waits no longer."""
    for server in harness.servers:
        server.request_duration_s = 1.0
    harness.gateways[0].stop()
    await asyncio.sleep(2.0)
    response = await send(harness, "/look/1", limit_ms=1_500)
    assert response.status == 200


async def test_a_slow_spell_of_a_fast_route_counts(harness):
    """Requests that run say more of it than those that are finished."""
    for _ in range(5):
        await send(harness, "/book/1")
    make_slow(harness)
    running = send(harness, "/book/1")
    await asyncio.sleep(3.0)
    harness.gateways[0].stop()
    await asyncio.sleep(2.0)
    response = await send(harness, "/book/1")
    assert response.status == 503
    assert (await running).status == 502
    assert len(harness.list_executed()) == 6


@pytest.mark.parametrize("path", ["/chat/1", "/ask/1"])
async def test_a_stream_that_cannot_end_is_cut_in_time_to_be_seen(
    harness, path
):
    """It ends within the last sixth of the grace period, without its end."""
    make_slow(harness)
    sending = send(harness, path)
    await asyncio.sleep(0.5)
    stopped_at = time.monotonic()
    harness.gateways[0].stop()
    response = await sending
    cut_s = time.monotonic() - stopped_at
    assert response.status == 200 and not response.is_complete
    assert response.body.endswith(b"\n\n")
    assert _LAST_SIXTH_S < cut_s < _GRACE_S - 0.5
    assert len(harness.list_executed()) == 1


async def test_queued_requests_are_refused_behind_one_that_was_ended(harness):
    caller = await open_connection(harness)
    make_slow(harness)
    before = len(harness.list_executed())
    requests = [encode(harness, "/book/1") for _ in range(3)]
    await caller.send(b"".join(requests))
    await asyncio.sleep(0.2)
    harness.gateways[0].stop()
    ending = asyncio.ensure_future(test_shutdown.end_process(harness))
    responses = [await caller.read_response() for _ in requests]
    assert [r.status for r in responses] == [502, 503, 503]
    closes = [r.headers.get("connection") == "close" for r in responses]
    assert closes == [False, False, True]
    assert await caller.read_to_end() == b""
    assert len(harness.list_executed()) == before + 1
    await ending
    caller.close()


async def test_a_body_that_is_half_read_at_the_end_gets_a_refusal(harness):
    caller = await open_connection(harness)
    before = len(harness.list_executed())
    harness.gateways[0].stop()
    await asyncio.sleep(1.0)
    request = encode(harness, "/book/1", body=b"x" * 100)
    await caller.send(request[:-50])
    response = await read_until_exit(harness, caller)
    assert response.status == 503
    assert len(harness.list_executed()) == before


async def test_a_half_closed_caller_is_answered_at_the_end(harness):
    """An unsafe request that was sent is finished, unless it cannot end."""
    caller = await open_connection(harness)
    make_slow(harness)
    await caller.send(encode(harness, "/book/1"))
    await asyncio.sleep(0.2)
    caller.end_sending()
    await asyncio.sleep(0.2)
    harness.gateways[0].stop()
    response = await read_until_exit(harness, caller)
    assert response.status == 502


@pytest.mark.parametrize("spare_s, sends", [(0.3, 1), (-0.1, 0)])
async def test_a_request_waits_for_no_prefill_if_time_is_short(
    harness, spare_s, sends
):
    """It waited inside the gateway, and was passed on too late to end."""
    gateway = harness.gateways[0]
    await send(harness, "/chat/1")
    make_slow(harness)
    gateway.stop()
    await asyncio.sleep(2.0)
    expect_to_spare(gateway, "chat", spare_s)

    async def wait(key, deadline):
        await asyncio.sleep(deadline.remaining())
        return True

    gateway._prompts.wait_for_prefill = wait
    before = len(harness.list_executed())
    sending = send(harness, "/chat/1")
    await asyncio.sleep(0.15)
    assert len(harness.list_executed()) == before + sends
    assert sending.done() == (not sends)


async def test_a_request_that_waited_for_a_connection_is_not_sent_too_late(
    harness, monkeypatch
):
    """The time that is left was not read again once it was connected."""
    gateway = harness.gateways[0]
    await send(harness, "/book/1")
    make_slow(harness)
    gateway.stop()
    await asyncio.sleep(2.0)
    expect_to_spare(gateway, "book", 0.1)
    for pool in gateway._connections._pools.values():
        acquire = pool.acquire

        async def acquire_late(*args, acquire=acquire):
            await asyncio.sleep(0.2)
            return await acquire(*args)

        monkeypatch.setattr(pool, "acquire", acquire_late)
    before = len(harness.list_executed())
    response = await send(harness, "/book/1")
    sent = len(harness.list_executed()) - before
    assert (response.status, sent) == (503, 0)


async def test_a_lost_request_is_not_repeated_if_it_could_not_end(harness):
    """Its second attempt began during the stop, and was cut at its end."""
    for server in harness.servers:
        server.faults.reset = True
        server.request_duration_s = 1.0
    sending = send(harness, "/look/1")
    await asyncio.sleep(0.5)
    harness.gateways[0].stop()
    async with asyncio.timeout(1.0):
        response = await sending
    assert response.status == 502
    assert len(harness.list_executed()) == 1


async def test_a_silent_engine_is_not_replaced_by_one_that_could_not_end(
    harness,
):
    """The second engine began late in the stop, and its work was in vain."""
    for engine in harness.engines:
        engine.faults.hang = True
    sending = send(harness, "/ask/1")
    await asyncio.sleep(0.2)
    harness.gateways[0].stop()
    response = await sending
    assert response.status == 502
    assert len(harness.list_executed()) == 1


async def test_a_broken_stream_is_not_resumed_if_it_could_not_end(harness):
    """Its caller can resume it elsewhere, with more time if told early."""
    make_slow(harness)
    sending = send(harness, "/ask/1")
    await asyncio.sleep(0.5)
    harness.gateways[0].stop()
    (running,) = [engine for engine in harness.engines if engine.executed]
    await running.stop()
    async with asyncio.timeout(1.0):
        response = await sending
    assert response.status == 200 and not response.is_complete
    assert len(harness.list_executed()) == 1


async def test_an_answer_in_the_very_last_moment_is_delivered(harness):
    """The gateway was held up when it came, and its own deadline passed."""
    caller = await open_connection(harness)
    gateway = harness.gateways[0]

    async def respond(connection, request):
        await asyncio.sleep(gateway._shutdown.schedule.answer_by.remaining())
        connection.reply(
            200,
            [
                ("x-sardinewharf-request-id", request.request_id),
                ("x-sardinewharf-server-stamp", "s.stamp"),
            ],
            b"an answer",
        )
        # Holds up the event loop, and so the gateway.
        asyncio.get_running_loop().call_soon(time.sleep, 0.15)

    for server in harness.servers:
        server.respond = respond
    gateway.stop()
    await caller.send(encode(harness, "/book/1"))
    response = await read_until_exit(harness, caller)
    assert (response.status, response.body) == (200, b"an answer")


async def test_a_second_signal_gives_no_further_time(harness):
    make_slow(harness)
    sending = send(harness, "/book/1")
    await asyncio.sleep(0.2)
    gateway = harness.gateways[0]
    began = time.monotonic()
    gateway.stop()
    await asyncio.sleep(1.0)
    gateway.stop()
    gateway.reload()
    assert (await sending).status == 502
    await harness._tasks[0]
    assert time.monotonic() - began < _GRACE_S - 0.2


async def test_a_store_that_hangs_takes_nothing_from_the_grace_period(harness):
    """The time of the exit was counted from when the lease was given up."""
    gateway = harness.gateways[0]

    async def resign():
        await asyncio.sleep(1.0)

    gateway._rollout_controller._leader_lease.resign = resign
    make_slow(harness)
    sending = send(harness, "/book/1")
    await asyncio.sleep(0.2)
    began = time.monotonic()
    gateway.stop()
    assert (await sending).status == 502
    await harness._tasks[0]
    assert time.monotonic() - began < _GRACE_S - 0.2


async def test_a_stop_right_after_the_start_sends_nothing_it_cannot_end(
    harness,
):
    """Nothing is known of any route yet."""
    await harness.start_gateway("vm-late")
    harness.gateways[1].stop()
    response = await harness.send_request(
        "/book/1", gateway=1, x_sardinewharf_deadline_ms=str(_LIMIT_MS)
    )
    assert response.status == 503
    assert not harness.list_executed()
    async with asyncio.timeout(_GRACE_S):
        await harness._tasks[1]


async def test_a_stale_gateway_that_stops_answers_and_exits(harness):
    caller = await open_connection(harness)
    make_slow(harness)
    await caller.send(encode(harness, "/book/1"))
    await asyncio.sleep(0.2)
    gateway = harness.gateways[0]
    gateway._admission_controller.is_current = lambda: False
    gateway.stop()
    assert not await harness.is_ready()
    assert (await send(harness, "/book/1")).status == 503
    assert (await read_until_exit(harness, caller)).status == 502


async def test_retry_after_is_short_if_another_gateway_is_there(harness):
    await harness.start_gateway("vm-1")
    await asyncio.sleep(0.5)
    harness.gateways[0].stop()
    response = await send(harness, "/book/1")
    assert response.status == 503
    assert 0 < float(response.headers["retry-after"]) < 0.5
