"""Tests how a gateway finishes requests while it shuts down."""

import asyncio

import pytest_asyncio

from sardinewharf.testbed import platform_rig


@pytest_asyncio.fixture
async def rig():
    found = platform_rig.Rig()
    await found.start()
    yield found
    await found.close()


async def test_a_stop_finishes_what_runs_and_turns_callers_away(rig):
    for engine in rig.engines:
        engine.event_interval_s = 0.7
    running = asyncio.ensure_future(rig.ask("/chat/1", body=b"p"))
    await asyncio.sleep(0.2)
    rig.gateways[0].stop()
    await asyncio.sleep(0.1)
    assert not await rig.is_ready()
    during = await rig.ask("/book/1", body=b"x")
    assert during.status == 200
    assert during.headers["connection"] == "close"
    answer = await running
    assert answer.is_whole and answer.body.count(b"data:") == 4


async def test_a_request_that_comes_too_late_is_not_begun(rig):
    """Guards against accepting requests that cannot finish before the exit.

    A long request that was accepted 3 s after the stop signal broke off when
    the process ended.
    """
    rig.gateways[0].stop()
    await asyncio.sleep(0.1)
    rig.gateways[0]._app.rejects_new_requests = True
    answer = await rig.ask("/chat/1", body=b"p")
    assert answer.status == 503
    assert rig.list_ran() == []
