"""Tests that a response which does not begin is fetched again."""

import asyncio

import pytest

from sardinewharf import endpoints
from sardinewharf.endpoints import pending_responses


class HangingResponse(pending_responses.PendingResponse):
    """An attempt whose own connection never responds.

    Args:
        *outcomes: Results of the fetches over other connections, in order: a
            response, an error to raise, or None for no response.
    """

    def __init__(self, *outcomes):
        super().__init__(refetch_interval_s=0.01)
        self.outcomes = list(outcomes)
        self.sends_cancelled = 0

    async def send(self):
        try:
            await asyncio.sleep(5.0)
        except asyncio.CancelledError:
            self.sends_cancelled += 1
            raise

    async def fetch_again(self):
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        if outcome is None:
            await asyncio.sleep(5.0)
        return outcome


class ImmediateResponse(HangingResponse):
    """An attempt whose own connection responds at once."""

    async def send(self):
        return "sent"


def fail(kind):
    return endpoints.EndpointError(kind, "as planned")


async def test_another_connection_brings_an_answer_held_back():
    """A withheld response is fetched over a second connection.

    Without that, a caller waited until its deadline while engines were idle.
    """
    pending = HangingResponse("asked")
    assert await pending.run() == "asked"
    await asyncio.sleep(0)
    assert pending.sends_cancelled == 1


async def test_an_attempt_that_never_came_is_lost_at_once():
    """An attempt that the engine does not know may still arrive.

    Hence the error must be ``LOST`` and not ``NOT_RUN``.
    """
    pending = HangingResponse(fail(endpoints.FailureKind.NOT_RUN))
    with pytest.raises(endpoints.EndpointError) as caught:
        await pending.run()
    assert caught.value.kind is endpoints.FailureKind.LOST


async def test_asking_goes_on_when_it_fails_itself():
    pending = HangingResponse(fail(endpoints.FailureKind.LOST), None, "asked")
    assert await pending.run() == "asked"


async def test_a_prompt_answer_is_not_asked_for_again():
    assert await ImmediateResponse().run() == "sent"
