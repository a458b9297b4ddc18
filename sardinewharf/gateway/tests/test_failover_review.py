"""Tests of failovers that the first tests of stalled endpoints left out."""

import asyncio
import time

import pytest

from sardinewharf import clocks
from sardinewharf.gateway import forwarding
from sardinewharf.gateway import readers
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway.tests import test_silence
from sardinewharf.testbed import gateway_harness

# Pause that is longer than any silence after which others are tried.
_LONG_PAUSE_S = 2.2


async def leave_servers(harness, count):
    for server in harness.servers[count:]:
        await harness.store.remove(f"servers/{server.id}")
    await asyncio.sleep(0.1)
    return harness.servers[:count]


def look(harness, deadline_ms=1000):
    return asyncio.ensure_future(
        harness.send_request(
            "/look/1",
            method="GET",
            x_sardinewharf_deadline_ms=str(deadline_ms),
        )
    )


def list_failures(gateway):
    """Returns the outcomes that a gateway logs of attempts from now on."""
    outcomes = []
    write = gateway._log.write

    def record(event):
        outcome = getattr(event, "outcome", None)
        if outcome is not None:
            outcomes.append(outcome)
        write(event)

    gateway._log.write = record
    return outcomes


def respond_with_error(server, after_s, status, request_id=None):
    """Makes a server answer its next requests with an error, after a time."""

    async def respond(connection, request):
        await asyncio.sleep(after_s)
        answered = request_id or request.request_id
        headers = [
            ("x-sardinewharf-request-id", answered),
            ("x-sardinewharf-server-stamp", f"{server.id}.stamp"),
            ("keep-alive", "timeout=10"),
        ]
        connection.reply(status, headers, b"an error")

    server.respond = respond


async def wait_until(check):
    async with asyncio.timeout(5.0):
        while not check():
            await asyncio.sleep(0.01)


async def find_running(servers):
    await asyncio.sleep(0.1)
    (running,) = [server for server in servers if server.executed]
    return running


@pytest.mark.parametrize("status", [500, 502])
async def test_an_error_of_a_stalled_server_leaves_the_other_attempt_open(
    harness, status
):
    """A late 500 closed the attempt at a sound server, and was passed on."""
    servers = await leave_servers(harness, 2)
    for server in servers:
        respond_with_error(server, 0.6, status)
    sending = look(harness)
    running = await find_running(servers)
    for server in servers:
        if server is not running:
            del server.respond
            server.request_duration_s = 0.3
    response = await sending
    assert (response.status, response.body) == (200, b"an answer")


async def test_an_unmatched_response_of_a_stalled_server_is_no_answer(harness):
    """It closed the attempt at a sound server, and the request got a 502."""
    servers = await leave_servers(harness, 2)
    for server in servers:
        respond_with_error(server, 0.6, 200, "an-earlier-request")
    sending = look(harness)
    running = await find_running(servers)
    for server in servers:
        if server is not running:
            del server.respond
            server.request_duration_s = 0.3
    response = await sending
    assert (response.status, response.body) == (200, b"an answer")


async def test_one_slow_request_counts_as_one_failure_of_its_server(harness):
    """One request without an alternative ejected its only server.

    The share of the remaining time was taken again and again, and each time
    counted as a failure.
    """
    (server,) = await leave_servers(harness, 1)
    server.request_duration_s = 0.9
    sending = look(harness)
    await asyncio.sleep(0.85)
    server.request_duration_s = 0.0
    response = await harness.send_request("/book/1", body=b"x")
    assert (await sending).status == 200
    assert (response.status, response.body) == (200, b"an answer")


async def test_a_slow_request_without_alternative_is_stalled_once(harness):
    """Its attempt was recorded as stalled over a dozen times."""
    (server,) = await leave_servers(harness, 1)
    server.faults.hang = True
    outcomes = list_failures(harness.gateways[0])
    await look(harness)
    assert outcomes.count("stalled") <= 3, outcomes


async def test_engines_that_refused_a_failover_are_tried_after_a_loss(harness):
    """They were left out for the rest of a stream that had gone on.

    A crash of its engine later cut it, though others were ready.
    """
    test_silence.make_streams_long(harness.engines, events=14)
    for engine in harness.engines:
        engine.event_interval_s = 0.2
    pauses = {
        engine.id: test_silence.Pause(engine) for engine in harness.engines
    }
    (sending,) = await test_silence.ask(harness, 1)
    (running,) = [engine for engine in harness.engines if engine.executed]
    others = [engine for engine in harness.engines if engine is not running]
    for engine in others:
        engine.faults.refuse = True
        engine.event_interval_s = 0.01
    outcomes = list_failures(harness.gateways[0])
    await pauses[running.id].last(2.0)
    assert outcomes.count("not_run") == 2
    for engine in others:
        engine.faults.refuse = False
    await asyncio.sleep(0.1)
    assert not sending.done()
    await running.stop()
    test_silence.check_streams([await sending], events=14)


async def test_a_lost_stream_waits_for_an_engine_that_is_full_for_a_moment(
    harness,
):
    """It was cut at the first refusal, with two seconds left."""
    test_silence.make_streams_long(harness.engines)
    (sending,) = await test_silence.ask(harness, 1)
    (running,) = [engine for engine in harness.engines if engine.executed]
    others = [engine for engine in harness.engines if engine is not running]
    for engine in others:
        engine.faults.refuse = True
    await running.stop()
    await asyncio.sleep(0.2)
    for engine in others:
        engine.faults.refuse = False
    test_silence.check_streams([await sending])


async def test_two_engines_that_stall_are_both_closed(harness):
    """A failover within a failover keeps no attempt but the last."""
    routes = gateway_harness.make_manifest()["routes"]
    for route in routes:
        route["timeout_ms"] = 8_000
    await harness.store.put(
        "op/config", gateway_harness.make_manifest(2, routes=routes)
    )
    await asyncio.sleep(0.3)
    for engine in harness.engines:
        engine.faults.hang = True
    sending = asyncio.ensure_future(
        harness.send_request(
            "/ask/1", body=b"p", x_sardinewharf_deadline_ms="8000"
        )
    )
    await wait_until(lambda: len(harness.list_executed()) > 1 or sending.done())
    for engine in harness.engines:
        if not engine.executed:
            engine.faults.hang = False
    test_silence.check_streams([await sending], events=4)
    await asyncio.sleep(0.1)
    ended = sorted(r.ended for r in harness.list_executed())
    assert ended == ["left", "left", "whole"]
    check_nothing_is_held(harness)


def check_nothing_is_held(harness):
    """Checks that no attempt keeps its load or its place in a pool."""
    gateway = harness.gateways[0]
    loads = [gateway._loads.count_own(e.id) for e in harness.engines]
    busy = [pool._busy for pool in gateway._connections._pools.values()]
    assert not any(loads)
    assert not any(busy)


async def test_a_stream_in_its_midst_outlasts_a_long_pause(harness):
    """A refused failover must not end a stream whose engine goes on.

    The pauses of the other tests end before another engine is tried.
    """
    engine = await test_silence.leave_one_engine(harness)
    test_silence.make_streams_long([engine])
    outcomes = list_failures(harness.gateways[0])
    pause = test_silence.Pause(engine)
    sending = await test_silence.ask(harness, 4)
    await pause.last(_LONG_PAUSE_S)
    test_silence.check_streams(await asyncio.gather(*sending))
    assert "stalled" in outcomes
    assert len(engine.executed) == 4


async def test_a_long_pause_without_retry_budget_cuts_no_stream():
    """As above, where the retry budget is used up."""
    harness = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(retry_ratio=0.0, retry_extra=0)
    )
    await harness.start()
    test_silence.make_streams_long(harness.engines)
    outcomes = list_failures(harness.gateways[0])
    pauses = [test_silence.Pause(engine) for engine in harness.engines]
    sending = await test_silence.ask(harness, 9)
    await asyncio.gather(*(pause.last(_LONG_PAUSE_S) for pause in pauses))
    test_silence.check_streams(await asyncio.gather(*sending))
    await harness.close()
    assert "stalled" in outcomes


@pytest.mark.parametrize("status", [500, 503, 400])
async def test_a_long_pause_and_errors_of_others_cut_no_stream(harness, status):
    """As above, where the other engines answer errors."""
    test_silence.make_streams_long(harness.engines)
    outcomes = list_failures(harness.gateways[0])
    pauses = {
        engine.id: test_silence.Pause(engine) for engine in harness.engines
    }
    sending = await test_silence.ask(harness, 1)
    (running,) = [engine for engine in harness.engines if engine.executed]
    for engine in harness.engines:
        if engine is not running:
            engine.faults.status = status
    await pauses[running.id].last(_LONG_PAUSE_S)
    test_silence.check_streams(await asyncio.gather(*sending))
    assert "stalled" in outcomes


async def test_a_stream_that_goes_on_first_had_another_attempt(harness):
    """The other attempt was sent, and is closed when the first goes on."""
    test_silence.make_streams_long(harness.engines)
    pauses = {
        engine.id: test_silence.Pause(engine) for engine in harness.engines
    }
    sending = await test_silence.ask(harness, 1)
    (running,) = [engine for engine in harness.engines if engine.executed]
    others = [engine for engine in harness.engines if engine is not running]
    for engine in others:
        engine.faults.hang = True
    await pauses[running.id].last(_LONG_PAUSE_S)
    test_silence.check_streams(await asyncio.gather(*sending))
    await asyncio.sleep(0.1)
    ended = [r.ended for engine in others for r in engine.executed]
    assert ended
    assert set(ended) == {"left"}


async def test_a_caller_that_leaves_in_a_failover_leaves_nothing_open(harness):
    """Neither attempt keeps its connection, load or place in the pool."""
    for engine in harness.engines:
        engine.faults.hang = True
    sending = asyncio.ensure_future(
        harness.send_request(
            "/ask/1", body=b"p", x_sardinewharf_deadline_ms="3000"
        )
    )
    await wait_until(lambda: len(harness.list_executed()) > 1 or sending.done())
    assert not sending.done()
    sending.cancel()
    await asyncio.sleep(0.3)
    assert {r.ended for r in harness.list_executed()} == {"left"}
    check_nothing_is_held(harness)


async def test_an_error_without_other_marks_is_matched_before_it_is_passed_on(
    harness,
):
    """A stale 500 that does not claim "not run" was passed on as the answer."""
    (server,) = await leave_servers(harness, 1)
    await harness.send_request("/book/1", body=b"x")
    respond_with_error(server, 0.0, 500, "an-earlier-request")
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 502


async def test_a_failover_does_not_wait_for_the_prefill_it_replaces(harness):
    """The next engine was not asked until 0.8 s later.

    The stalled attempt was open, and so counted as prefilling the prompt.
    """
    for engine in harness.engines:
        engine.faults.hang = True
    outcomes = list_failures(harness.gateways[0])
    sending = asyncio.ensure_future(harness.send_request("/ask/1", body=b"p"))
    running = await find_running(harness.engines)
    for engine in harness.engines:
        if engine is not running:
            engine.faults.hang = False
    await wait_until(lambda: "stalled" in outcomes)
    stalled_at = time.monotonic()
    await wait_until(lambda: len(harness.list_executed()) > 1 or sending.done())
    waited_s = time.monotonic() - stalled_at
    test_silence.check_streams([await sending], events=4)
    assert waited_s < 0.25


async def test_an_engine_test_leaves_no_connection_open(harness):
    """The connection of a reachability test was kept, but never used again."""
    engine = await test_silence.leave_one_engine(harness)
    test_silence.make_streams_long([engine])
    pause = test_silence.Pause(engine)
    sending = await test_silence.ask(harness, 1)
    await pause.last(1.5)
    pools = harness.gateways[0]._connections._pools.values()
    unusable = [
        connection
        for pool in pools
        for connection in pool._idle
        if connection.is_open and connection.reuse_until.is_past()
    ]
    test_silence.check_streams(await asyncio.gather(*sending))
    assert not unusable


async def test_a_slow_caller_does_not_make_its_engine_stalled():
    """The time of a blocked write counted as time without an event."""
    chunks = [b"id: 1\ndata: a\n\n", b"id: 2\nda", b"ta: b\n\n", b""]
    checked = []

    class Exchange:
        async def read(self):
            return chunks.pop(0)

        def retain(self, size, release):
            pass

    class Reader:
        async def read(self, call, attempt, read):
            return await read()

        def check_progress(self, call, attempt, since):
            checked.append(clocks.read_monotonic() - since)
            if checked[-1] > 0.15:
                raise readers.StalledError("no event")

    class Responder:
        async def start(self, head):
            pass

        async def write(self, events):
            await asyncio.sleep(0.2)

        async def finish(self):
            pass

    class Attempt:
        exchange = Exchange()
        head = None

        def record_first_event(self):
            pass

        def close(self):
            pass

    class Call:
        deadline = clocks.Deadline.after(5.0)
        first_byte_at = None
        sent_bytes = 0

    class Outcomes:
        def record_success(self, attempt):
            pass

        def record_progress(self, call, attempt):
            pass

        def record_completion(self, call, attempt):
            pass

    class Dispatcher:
        outcomes = Outcomes()

    forwarder = forwarding.StreamForwarder(
        Dispatcher(), Reader(), Call(), Attempt(), Responder()
    )
    assert await forwarder.run()
    assert len(checked) == 1
