"""Tests how endpoints that fail are left alone and tried again."""

from sardinewharf import fleet

ENGINE = "e1"


def test_slow_endpoints_are_tried_when_none_is_left():
    """Broke once: one slow answer of each of three engines, all refused."""
    health = fleet.HealthTable()
    health.record_response(ENGINE, now=9.0)
    health.record_unreachable(ENGINE, now=10.0)
    assert not health.may_try(ENGINE, now=10.1)
    assert health.is_last_resort(ENGINE, now=10.1)


def test_an_endpoint_that_was_not_heard_is_no_last_resort():
    health = fleet.HealthTable()
    health.record_response(ENGINE, now=5.0)
    health.record_unreachable(ENGINE, now=10.0)
    assert not health.is_last_resort(ENGINE, now=10.1)


def test_a_full_endpoint_is_no_last_resort():
    health = fleet.HealthTable()
    health.record_response(ENGINE, now=9.9)
    health.pause(ENGINE, until=10.2)
    assert not health.is_last_resort(ENGINE, now=10.1)
    assert health.may_try(ENGINE, now=10.3)
