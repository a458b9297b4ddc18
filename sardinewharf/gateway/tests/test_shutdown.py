"""Tests how a gateway finishes requests while it shuts down."""

import asyncio

import pytest_asyncio

from sardinewharf.testbed import gateway_harness


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness()
    await found.start()
    yield found
    await found.close()


async def test_a_stop_finishes_what_runs_and_turns_callers_away(harness):
    for engine in harness.engines:
        engine.event_interval_s = 0.7
    running = asyncio.ensure_future(harness.send_request("/chat/1", body=b"p"))
    await asyncio.sleep(0.2)
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
