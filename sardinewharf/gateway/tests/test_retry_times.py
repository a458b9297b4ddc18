"""Tests when refused callers are told to come back."""

import math

from sardinewharf.gateway import retry_times

_DRAWS = 200


def draw(waits_s):
    return [retry_times.choose_for_waits(waits_s) for _ in range(_DRAWS)]


def test_no_caller_comes_back_before_the_first_endpoint_is_free():
    """Refusals said half a second whatever the endpoints had asked for."""
    drawn = draw([4.0, 2.0, math.inf])
    assert min(drawn) >= 2.0
    assert max(drawn) <= 2.7


def test_callers_do_not_come_back_together():
    assert max(draw([2.0])) - min(draw([2.0])) > 0.3


def test_callers_come_back_soon_if_an_endpoint_asked_for_nothing():
    assert max(draw([0.0, 9.0])) <= 0.5
    assert max(draw([])) <= 0.5


def test_nobody_is_sent_away_for_long():
    """Another endpoint may register long before the pause ends."""
    assert max(draw([120.0])) <= 33.5


def test_departed_endpoints_have_to_be_replaced_first():
    drawn = draw([math.inf, math.inf])
    assert min(drawn) >= 1.0
    assert max(drawn) <= 2.0
