"""Tests that sound endpoints which pause for a while lose no requests."""

import asyncio
import time

import pytest

from sardinewharf.gateway import settings as settings_lib
from sardinewharf.testbed import gateway_harness


class _HeldTransport:
    """A transport whose written data is held while its server is paused."""

    def __init__(self, transport, pause):
        self._transport = transport
        self._pause = pause

    def __getattr__(self, name):
        return getattr(self._transport, name)

    def write(self, data):
        if self._pause.is_active:
            self._pause.held.append((self._transport, data))
        else:
            self._transport.write(data)


class Pause:
    """Makes a server send nothing for a while, and then all that it held."""

    def __init__(self, server):
        self.is_active = False
        self.held = []
        self._handle = server.handle_request
        server.handle_request = self._handle_request

    async def _handle_request(self, connection, request):
        if not isinstance(connection.transport, _HeldTransport):
            connection.transport = _HeldTransport(connection.transport, self)
        await self._handle(connection, request)

    async def last(self, seconds):
        self.is_active = True
        await asyncio.sleep(seconds)
        self.is_active = False
        for transport, data in self.held:
            if not transport.is_closing():
                transport.write(data)
        self.held.clear()


async def leave_one_engine(harness):
    for engine in harness.engines[1:]:
        await harness.store.remove(f"servers/{engine.id}")
    await asyncio.sleep(0.1)
    return harness.engines[0]


def make_streams_long(engines, events=8):
    for engine in engines:
        engine.events = events
        engine.event_interval_s = 0.05


async def ask(harness, count, path="/ask/1"):
    sending = [
        asyncio.ensure_future(harness.send_request(path, body=b"p"))
        for _ in range(count)
    ]
    await asyncio.sleep(0.12)
    return sending


def check_streams(responses, events=8):
    """Checks that each stream has each event once, in order, and its end."""
    expected = [b"id: %d" % number for number in range(1, events + 1)]
    for response in responses:
        lines = response.body.split(b"\n")
        assert response.status == 200
        assert response.is_complete
        assert [x for x in lines if x.startswith(b"id")] == expected


async def test_a_stream_is_not_cut_if_no_other_engine_is_left(harness):
    """The engine paused for a second, and its streams were given up."""
    engine = await leave_one_engine(harness)
    make_streams_long([engine])
    pause = Pause(engine)
    sending = await ask(harness, 4)
    await pause.last(2.1)
    check_streams(await asyncio.gather(*sending))
    assert len(engine.executed) == 4


async def test_a_stream_is_not_cut_if_the_retry_budget_is_used_up():
    """Streams of engines that paused were given up and could not be resumed."""
    harness = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(retry_ratio=0.0, retry_extra=0)
    )
    await harness.start()
    make_streams_long(harness.engines)
    pauses = [Pause(engine) for engine in harness.engines]
    sending = await ask(harness, 9)
    await asyncio.gather(*(pause.last(2.1) for pause in pauses))
    check_streams(await asyncio.gather(*sending))
    await harness.close()


@pytest.mark.parametrize("status", [500, 503, 400])
async def test_a_stream_is_not_cut_if_the_next_engine_answers_an_error(
    harness, status
):
    """The engine that was given up would have gone on."""
    make_streams_long(harness.engines)
    pauses = {engine.id: Pause(engine) for engine in harness.engines}
    sending = await ask(harness, 1)
    (running,) = [engine for engine in harness.engines if engine.executed]
    for engine in harness.engines:
        if engine is not running:
            engine.faults.status = status
    await pauses[running.id].last(2.1)
    check_streams(await asyncio.gather(*sending))


async def test_streams_of_engines_that_all_pause_are_whole(harness):
    """Of 90 streams 3 to 20 were run again, and one was cut in 1 of 4 runs."""
    make_streams_long(harness.engines)
    pauses = [Pause(engine) for engine in harness.engines]
    sending = await ask(harness, 90)
    await asyncio.gather(*(pause.last(1.0) for pause in pauses))
    check_streams(await asyncio.gather(*sending))


async def test_a_stalled_engine_is_replaced_once_another_one_responds(harness):
    """No event comes twice, and only one engine goes on with the stream."""
    make_streams_long(harness.engines)
    for engine in harness.engines:
        engine.event_interval_s = 0.3
    pauses = {engine.id: Pause(engine) for engine in harness.engines}
    sending = await ask(harness, 1)
    (running,) = [engine for engine in harness.engines if engine.executed]
    for engine in harness.engines:
        if engine is not running:
            engine.event_interval_s = 0.05
    pausing = asyncio.ensure_future(pauses[running.id].last(2.8))
    check_streams(await asyncio.gather(*sending))
    await pausing
    assert running.executed[0].ended == "left"
    assert len(harness.list_executed()) == 2


async def test_a_stalled_engine_that_goes_on_first_keeps_its_stream(harness):
    """The attempt at the other engine is closed at once."""
    make_streams_long(harness.engines)
    pauses = {engine.id: Pause(engine) for engine in harness.engines}
    sending = await ask(harness, 1)
    (running,) = [engine for engine in harness.engines if engine.executed]
    others = [engine for engine in harness.engines if engine is not running]
    for engine in others:
        engine.faults.hang = True
    await pauses[running.id].last(2.2)
    check_streams(await asyncio.gather(*sending))
    assert running.executed[0].ended == "whole"
    await asyncio.sleep(0.1)
    ran = [request for engine in others for request in engine.executed]
    assert {request.ended for request in ran} == {"left"}


async def test_a_stream_that_has_not_begun_waits_for_a_paused_engine(harness):
    """A pause before the first byte lost the request if no other was left."""
    engine = await leave_one_engine(harness)
    pause = Pause(engine)
    pausing = asyncio.ensure_future(pause.last(1.8))
    (response,) = await asyncio.gather(
        harness.send_request("/ask/1", body=b"p")
    )
    await pausing
    check_streams([response], events=4)


async def test_a_safe_request_is_not_lost_if_the_second_server_refuses(harness):
    """The first server was given up after 0.45 of the time, and answered 502.

    It would have answered in time.
    """
    pauses = {server.id: Pause(server) for server in harness.servers}
    sending = asyncio.ensure_future(
        harness.send_request(
            "/look/1",
            method="GET",
            x_sardinewharf_deadline_ms="1000",
        )
    )
    for server in harness.servers:
        pauses[server.id].is_active = True
    await asyncio.sleep(0.1)
    (running,) = [server for server in harness.servers if server.executed]
    for server in harness.servers:
        if server is not running:
            pauses[server.id].is_active = False
            server.faults.refuse = True
    await pauses[running.id].last(0.6)
    response = await sending
    assert (response.status, response.body) == (200, b"an answer")


async def test_a_safe_request_is_answered_by_the_second_server(harness):
    """An idempotent request does not wait for a server that is stalled."""
    pauses = {server.id: Pause(server) for server in harness.servers}
    for pause in pauses.values():
        pause.is_active = True
    started_at = time.monotonic()
    sending = asyncio.ensure_future(
        harness.send_request(
            "/look/1", method="GET", x_sardinewharf_deadline_ms="1000"
        )
    )
    await asyncio.sleep(0.1)
    for server in harness.servers:
        if not server.executed:
            pauses[server.id].is_active = False
    response = await sending
    assert (response.status, response.body) == (200, b"an answer")
    assert time.monotonic() - started_at < 0.7


async def test_a_pause_of_a_second_spends_no_retries(harness):
    """Streams were run again elsewhere, with their prefill and retry budget.

    Of 90 streams whose engines paused for a second, 3 to 20 were.
    """
    make_streams_long(harness.engines)
    pauses = [Pause(engine) for engine in harness.engines]
    sending = await ask(harness, 30)
    await asyncio.gather(*(pause.last(1.0) for pause in pauses))
    check_streams(await asyncio.gather(*sending))
    assert len(harness.list_executed()) == 30


async def test_an_engine_that_accepts_no_connections_is_replaced_early(harness):
    """The time that a sound engine may pause is not lost at one that is gone.

    Its connections stay open, as if its VM had lost power.
    """
    make_streams_long(harness.engines)
    pauses = {engine.id: Pause(engine) for engine in harness.engines}
    sending = await ask(harness, 9)
    gone = max(harness.engines, key=lambda engine: len(engine.executed))
    assert len(gone.executed) > 2
    gone._server.close()
    started_at = time.monotonic()
    pausing = asyncio.ensure_future(pauses[gone.id].last(3.0))
    check_streams(await asyncio.gather(*sending))
    assert time.monotonic() - started_at < 1.5
    await pausing
