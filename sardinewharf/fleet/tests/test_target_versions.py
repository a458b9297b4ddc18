"""Checks since when gateways take weights for replaced."""

from sardinewharf import fleet


def test_a_gateway_out_of_touch_makes_no_naming_older():
    """One that had been cut off told of a version as named 7 s too early.

    All others believed it and refused each request for two seconds, since
    engines had been given eight of them to change.
    """
    table = fleet.TargetVersionTable()
    table.record("m", 2, at=0.0)
    table.record("m", 3, at=14.0)
    table.record_peer_time("m", 3, at=7.0, slack=8.1)
    assert table.find_target_time("m") == 14.0
    assert table.find_version_before("m", before=8.0) == 2


def test_a_gateway_out_of_touch_learns_from_the_others():
    table = fleet.TargetVersionTable()
    table.record("m", 3, at=7.0, slack=8.1)
    table.record_peer_time("m", 3, at=14.0, slack=0.2)
    assert table.find_target_time("m") == 14.0


def test_of_good_times_the_earlier_counts():
    """A gateway that stood still dates what it reads on waking too late."""
    table = fleet.TargetVersionTable()
    table.record("m", 3, at=21.0, slack=0.2)
    table.record_peer_time("m", 3, at=14.0, slack=0.2)
    assert table.find_target_time("m") == 14.0


def test_a_poor_time_is_better_than_none():
    table = fleet.TargetVersionTable()
    table.record("m", 3, at=None)
    table.record_peer_time("m", 3, at=7.0, slack=8.1)
    assert table.find_target_time("m") == 7.0
