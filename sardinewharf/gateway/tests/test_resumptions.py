"""Tests how a lost stream returns to engines that had no room for it.

These guard against a stream that is cut at the first refusal of all others
though they had room a moment later, and against returns that use up the retry
budget.
"""

import asyncio
import itertools
import time

import pytest

from sardinewharf import clocks
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway.tests import test_silence
from sardinewharf.testbed import gateway_harness


async def find_running(harness):
    (running,) = [engine for engine in harness.engines if engine.executed]
    return running, [e for e in harness.engines if e is not running]


def count_refused(engines):
    return sum(engine.arrivals - len(engine.executed) for engine in engines)


def record_arrivals(engines):
    """Returns a list of the times at which requests arrive from now on."""
    times = []

    def record(handle):
        async def handle_request(connection, request):
            times.append(time.monotonic())
            await handle(connection, request)

        return handle_request

    for engine in engines:
        engine.handle_request = record(engine.handle_request)
    return times


async def test_a_lost_stream_ends_before_its_caller_gives_up(harness):
    """Engines that stay full are asked a few times, and then it is cut."""
    test_silence.make_streams_long(harness.engines)
    (sending,) = await test_silence.ask(harness, 1)
    running, others = await find_running(harness)
    times = record_arrivals(others)
    for engine in others:
        engine.faults.refuse = True
    began = time.monotonic()
    await running.stop()
    response = await sending
    assert not response.is_complete
    assert 0.3 < time.monotonic() - began < 2.0
    # Both are asked at once, then one at a time after pauses that double.
    assert 4 <= len(times) <= 5
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert gaps[0] < 0.1
    for number, gap in enumerate(gaps[1:]):
        assert gap > 0.15 * 2**number - 0.02, gaps


async def test_a_lost_stream_ends_at_once_if_no_engine_is_left(harness):
    test_silence.make_streams_long(harness.engines)
    (sending,) = await test_silence.ask(harness, 1)
    running, others = await find_running(harness)
    for engine in others:
        await harness.store.remove(f"servers/{engine.id}")
    await asyncio.sleep(0.1)
    began = time.monotonic()
    await running.stop()
    assert not (await sending).is_complete
    assert time.monotonic() - began < 0.3


async def test_a_lost_stream_goes_to_no_full_engine_that_was_removed(harness):
    test_silence.make_streams_long(harness.engines)
    (sending,) = await test_silence.ask(harness, 1)
    running, others = await find_running(harness)
    for engine in others:
        engine.faults.refuse = True
    await running.stop()
    await asyncio.sleep(0.1)
    for engine in others:
        await harness.store.remove(f"servers/{engine.id}")
    began = time.monotonic()
    assert not (await sending).is_complete
    assert time.monotonic() - began < 0.5


async def test_a_request_that_has_not_begun_is_refused_at_once(harness):
    """What cannot be served is refused; only streams that have begun wait."""
    for engine in harness.engines:
        engine.faults.refuse = True
    began = time.monotonic()
    response = await harness.send_request("/ask/1", body=b"p")
    assert response.status == 503
    assert time.monotonic() - began < 0.2


async def test_a_caller_that_leaves_ends_the_wait_of_its_stream(harness):
    test_silence.make_streams_long(harness.engines)
    (sending,) = await test_silence.ask(harness, 1)
    running, others = await find_running(harness)
    for engine in others:
        engine.faults.refuse = True
    await running.stop()
    await asyncio.sleep(0.05)
    sending.cancel()
    await asyncio.sleep(0.1)
    refused = count_refused(others)
    await asyncio.sleep(1.0)
    assert count_refused(others) == refused
    assert not harness.gateways[0]._app.running


def record_refusals(engine, refused):
    """Appends the engine and the request of each refusal to a list."""
    engine.record_refusal = lambda request, *_: refused.append(
        (engine.id, request.request_id)
    )


@pytest.mark.parametrize("streams, extra", [(2, 12), (3, 20), (24, 40)])
async def test_lost_streams_leave_half_of_the_retry_budget(streams, extra):
    """Streams of one engine were lost while the others stayed full.

    Only the first attempts at other engines may use the other half.
    """
    harness = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(retry_ratio=0.0, retry_extra=extra)
    )
    await harness.start()
    test_silence.make_streams_long(harness.engines, events=40)
    sending = await test_silence.ask(harness, streams)
    await asyncio.sleep(0.3)
    running = max(harness.engines, key=lambda engine: len(engine.executed))
    others = [engine for engine in harness.engines if engine is not running]
    lost = len(running.executed)
    refused = []
    for engine in others:
        engine.faults.refuse = True
        record_refusals(engine, refused)
    budget = harness.gateways[0]._budgets.find(gateway_harness.ENGINES)
    allowed = budget.read_remaining(clocks.read_monotonic())
    await running.stop()
    responses = await asyncio.gather(*sending)
    assert sum(not response.is_complete for response in responses) == lost
    first = len(set(refused))
    assert len(refused) <= max(first, allowed / 2 + 1)
    await harness.close()
