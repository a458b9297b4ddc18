"""Tests the wait for a stalled endpoint and another one at the same time."""

import asyncio

import pytest

from sardinewharf import http1
from sardinewharf.gateway import failover
from sardinewharf.gateway import refusals


class FakeAttempt:
    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


async def finish(seconds, result):
    await asyncio.sleep(seconds)
    if isinstance(result, Exception):
        raise result
    return result


def refuse():
    return refusals.refuse(refusals.Reason.NO_ENDPOINT, "no other endpoint")


async def wait(reading, opening):
    stalled = FakeAttempt()
    outcome = await failover.wait_for_first(
        stalled, finish(*reading), finish(*opening)
    )
    await asyncio.sleep(0.05)
    return stalled, outcome


async def test_the_stalled_endpoint_goes_on_first():
    other = FakeAttempt()
    stalled, outcome = await wait((0.01, b"a"), (0.03, other))
    assert outcome == failover.Continued(b"a")
    assert not stalled.is_closed


async def test_another_attempt_that_comes_at_the_same_time_is_closed():
    """It was left open, with its connection, for as long as the process ran."""
    other = FakeAttempt()
    stalled, outcome = await wait((0.0, b"a"), (0.0, other))
    assert outcome == failover.Continued(b"a")
    assert other.is_closed
    assert not stalled.is_closed


async def test_another_endpoint_responds_first():
    other = FakeAttempt()
    stalled, outcome = await wait((9.0, b"a"), (0.01, other))
    assert outcome == failover.Replaced(other)
    assert stalled.is_closed
    assert not other.is_closed


async def test_a_refusal_leaves_the_stalled_attempt_open():
    stalled, outcome = await wait((9.0, b"a"), (0.01, refuse()))
    assert outcome == failover.StillStalled()
    assert not stalled.is_closed


async def test_a_stalled_attempt_that_is_lost_waits_for_the_other():
    other = FakeAttempt()
    lost = http1.ResponseLostError("reset")
    stalled, outcome = await wait((0.01, lost), (0.03, other))
    assert outcome == failover.Replaced(other)
    assert stalled.is_closed


async def test_a_loss_and_a_refusal_end_the_request():
    lost = http1.ResponseLostError("reset")
    with pytest.raises(refusals.RefusedError):
        await wait((0.01, lost), (0.03, refuse()))


async def test_a_caller_that_leaves_ends_both():
    """Neither goes on after the wait was cancelled."""
    other = FakeAttempt()
    waiting = asyncio.ensure_future(wait((9.0, b"a"), (0.05, other)))
    await asyncio.sleep(0.01)
    before = len(asyncio.all_tasks())
    waiting.cancel()
    await asyncio.sleep(0.1)
    assert len(asyncio.all_tasks()) == before - 3
