"""Tests which weights the registry holds of an endpoint."""

import dataclasses

from sardinewharf import fleet
from sardinewharf import ids

_ENDPOINT = fleet.Endpoint(
    ids.EndpointId("e"),
    "s",
    "10.0.0.1:80",
    "fd",
    4,
    fleet.EndpointState.READY,
    started_ms=1,
    weights={"m": 1},
)


def state(registry, version):
    registry.put(dataclasses.replace(_ENDPOINT, weights={"m": version}))


def test_a_wrong_version_in_a_registration_can_be_corrected():
    """An engine was expected to have 10**15 until it restarted."""
    registry = fleet.Registry()
    state(registry, 10**15)
    state(registry, 1)
    assert registry.find_weights(_ENDPOINT.id, "m") == 1


def test_an_older_registration_does_not_replace_what_a_response_showed():
    registry = fleet.Registry()
    registry.put(_ENDPOINT)
    registry.record_weights(_ENDPOINT.id, "m", 3)
    state(registry, 2)
    assert registry.find_weights(_ENDPOINT.id, "m") == 3
    registry.put(dataclasses.replace(_ENDPOINT, started_ms=2))
    assert registry.find_weights(_ENDPOINT.id, "m") == 1
