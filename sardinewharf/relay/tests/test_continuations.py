"""Checks at which engines a broken stream may be continued."""

import pytest

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import inventory
from sardinewharf import limits
from sardinewharf import outcomes
from sardinewharf import relay
from sardinewharf import routing
from sardinewharf.relay import access
from sardinewharf.relay import requests

_EVENT = b'data: {"choices":[{"delta":{"content":"ink "}}]}\n\n'


class BrokenStream(endpoints.EngineStream):
    """A stream of one event that breaks, and cannot be resumed."""

    def __init__(self, engine, weights):
        self.head = endpoints.StreamHead(
            incarnation=ids.Incarnation(engine),
            weights=ids.WeightsVersion(weights),
            cached_tokens=0,
            computed_tokens=0,
            running=1,
            queued_tokens=0,
        )
        self._events = [_EVENT]

    @property
    def chunks(self):
        return 1 - len(self._events)

    async def read(self):
        if self._events:
            return self._events.pop()
        raise endpoints.EndpointError(endpoints.FailureKind.LOST, "broken")

    async def resume(self, deadline):
        raise endpoints.EndpointError(endpoints.FailureKind.NOT_RUN, "gone")

    async def cancel(self):
        pass

    def close(self):
        pass


class FakeEngines(endpoints.ModelEngine):
    """Engines, by address, whose streams all break.

    Attributes:
        opened: Weights and continued text of each attempt.
    """

    def __init__(self, weights):
        self._weights = weights
        self.opened = []

    async def open(self, address, request, deadline):
        weights = self._weights[address]
        self.opened.append((weights, request.continued_text))
        return BrokenStream(address, weights)

    async def report(self, address, deadline):
        return make_report(address, self._weights[address])

    async def cancel(self, address, attempt):
        pass

    async def list_events(self, address, after, deadline):
        raise NotImplementedError

    async def order(self, address, order, deadline):
        raise NotImplementedError

    async def close(self):
        pass


def make_report(address, weights):
    return endpoints.LoadReport(
        running=0, incarnation=ids.Incarnation(address), weights={"m": weights}
    )


def make_relay(weights):
    """Returns the relay, and its engines with the given weights."""
    directory = endpoints.Directory()
    directory.merge(
        [
            inventory.Vm(
                ids.VmId(address),
                address,
                inventory.EndpointKind.MODEL_ENGINE,
                ids.FailureDomainId("fd"),
            )
            for address in weights
        ]
    )
    for address, version in weights.items():
        directory.record_report(
            ids.EndpointId(address),
            make_report(address, version),
            clocks.read_monotonic(),
        )
    engines = FakeEngines(weights)
    found = relay.ModelRelay(
        directory,
        engines,
        routing.Router(routing.AdaptivePolicy()),
        limits.SuspectTable(60.0),
        limits.SuspectSlots(None, "daemon"),
        access.RelaySettings(),
    )
    return found, engines


def make_request():
    """Returns a request that all engines may serve during a rollout to r1."""
    return requests.ModelRequest(
        request=ids.RequestId("r"),
        organisation=ids.OrganisationId("o"),
        target=requests.ModelTarget("m", ids.WeightsVersion("r1"), 4),
        intent=configuration.RoutingIntent(),
        path="/v1/completions",
        body={},
        segments=(b"prompt",),
        causes=(limits.Cause(b"f"),),
        deadline=clocks.Deadline.after(1.0),
    )


async def read_all(stream):
    while await stream.read():
        pass


async def test_a_stream_is_continued_by_the_same_weights_only():
    """During a rollout a stream was continued under another weights version.

    The caller got a text whose parts two versions had made.
    """
    weights = {"a:1": "r0", "b:1": "r1", "c:1": "r0", "d:1": "r1"}
    found, engines = make_relay(weights)
    stream = await found.open(make_request())
    with pytest.raises(outcomes.RequestError):
        await read_all(stream)
    first, continued = engines.opened[0], engines.opened[1:]
    assert continued
    assert {version for version, text in continued} == {first[0]}
    assert all(text for _, text in continued)


async def test_a_stream_whose_weights_are_gone_is_not_continued():
    """It ends with an error where no engine has its weights any more."""
    found, engines = make_relay({"a:1": "r0", "b:1": "r1"})
    stream = await found.open(make_request())
    with pytest.raises(outcomes.RequestError):
        await read_all(stream)
    version = engines.opened[0][0]
    assert {other for other, _ in engines.opened} == {version}
