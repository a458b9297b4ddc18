"""Prompts with a message that crashes the engines that run them."""

import itertools

import pytest

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import outcomes
from sardinewharf.limits.tests import test_slots
from sardinewharf.relay import requests
from sardinewharf.relay.tests import test_continuations

_ENGINES = 6
_MAX_CRASHES = 5


class CompleteStream(test_continuations.BrokenStream):
    """A stream of one event, which ends as it should."""

    async def read(self):
        return self._events.pop() if self._events else b""


class CrashingEngines(test_continuations.FakeEngines):
    """Engines that end when they begin on a bad message, and are back at once.

    Attributes:
        crashes: Number of crashes.
    """

    def __init__(self, weights):
        super().__init__(weights)
        self._starts = dict.fromkeys(weights, 0)
        self.crashes = 0

    async def open(self, address, request, deadline):
        if "bad" in request.body["messages"]:
            self.crashes += 1
            self._starts[address] += 1
            raise endpoints.EndpointError(endpoints.FailureKind.LOST, "reset")
        return CompleteStream(self._name(address), self._weights[address])

    async def report(self, address, deadline):
        weights = self._weights[address]
        return test_continuations.make_report(self._name(address), weights)

    def _name(self, address):
        return f"{address}#{self._starts[address]}"


def _make_relay():
    weights = {f"e{number}:1": "r1" for number in range(_ENGINES)}
    found, _ = test_continuations.make_relay(weights)
    engines = CrashingEngines(weights)
    found.engines = engines
    # Slots are taken by this daemon alone, on the engines of its domain.
    found.slots = limits.SuspectSlots(test_slots.UnreachableStore(), "daemon")
    found.failure_domain = ids.FailureDomainId("fd")
    return found, engines


_numbers = itertools.count(1)


def _make_request(*messages):
    number = next(_numbers)
    segments = (*(m.encode() for m in messages), b"question %d" % number)
    return requests.ModelRequest(
        request=ids.RequestId(f"r{number}"),
        organisation=ids.OrganisationId(f"o{number % 2}"),
        target=requests.ModelTarget("m", ids.WeightsVersion("r1"), 1),
        intent=configuration.RoutingIntent(),
        path="/v1/chat/completions",
        body={"messages": list(messages)},
        segments=segments,
        causes=(
            limits.make_request_cause("o", b"%d" % number),
            *limits.make_content_causes(segments[:-1]),
        ),
        deadline=clocks.Deadline.after(1.0),
    )


async def _read_all(found, *messages):
    stream = await found.open(_make_request(*messages))
    while await stream.read():
        pass


# No two requests were alike, so that each crashed engines of its own.
async def test_a_message_that_crashes_engines_is_stopped():
    found, engines = _make_relay()
    for _ in range(20):
        with pytest.raises(outcomes.RequestError) as refused:
            await _read_all(found, "system", "bad")
        await _read_all(found, "system")
    assert engines.crashes <= _MAX_CRASHES
    refusal = refused.value.refusal
    assert refusal.kind is outcomes.RefusalKind.QUARANTINED
    assert refusal.run_state is outcomes.RunState.NOT_RUN


# A message that all requests share must not be blamed for one beside it.
async def test_sound_requests_beside_it_are_all_served():
    found, _ = _make_relay()
    for number in range(20):
        with pytest.raises(outcomes.RequestError):
            await _read_all(found, "system", "bad")
        await _read_all(found, "system", f"document {number % 3}")
