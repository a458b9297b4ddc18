"""Tests until when endpoints that turned a request away get none."""

import math

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf.fleet.tests import test_departures


def test_a_shorter_pause_does_not_end_a_longer_one():
    """Responses on several connections overtake each other."""
    table = fleet.PauseTable()
    table.record("e", clocks.Deadline(3.0), now=0.0)
    table.record("e", clocks.Deadline(1.0), now=0.1)
    assert table.is_paused("e", now=2.9)
    assert not table.is_paused("e", now=3.0)


def test_a_longer_pause_replaces_a_shorter_one():
    table = fleet.PauseTable()
    table.record("e", clocks.Deadline(1.0), now=0.0)
    table.record("e", clocks.Deadline(3.0), now=0.1)
    assert table.is_paused("e", now=2.9)


def test_a_pause_is_new_after_the_former_one_ended():
    table = fleet.PauseTable()
    assert table.record("e", clocks.Deadline(1.0), now=0.0)
    assert not table.record("e", clocks.Deadline(2.0), now=0.9)
    assert table.record("e", clocks.Deadline(5.0), now=2.0)


def test_pauses_that_ended_are_forgotten():
    table = fleet.PauseTable()
    for number in range(100):
        table.record(f"e{number}", clocks.Deadline(number / 100), now=0.0)
    table.forget_past(now=0.5)
    assert len(table) == 49


def test_the_wait_for_an_endpoint_ends_with_its_pause():
    table = fleet.NoticeTable()
    table.pauses.record("e", clocks.Deadline(3.0), now=0.0)
    assert not table.may_send("e", now=1.0)
    assert table.count_wait("e", now=1.0) == 2.0
    assert table.count_wait("other", now=1.0) == 0.0


def test_an_endpoint_that_leaves_within_its_pause_is_not_waited_for():
    """A Retry-After that named the pause's end promised what could not be."""
    table = fleet.NoticeTable()
    endpoint = test_departures.make_endpoint()
    table.pauses.record(endpoint.incarnation, clocks.Deadline(3.0), now=0.0)
    table.departures.record(endpoint, clocks.Deadline(2.0), now=0.0)
    assert math.isinf(table.count_wait(endpoint.incarnation, now=1.0))
