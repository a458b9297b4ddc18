"""Tests how gateways determine when a target version was set."""

from sardinewharf import fleet


def test_a_disconnected_gateway_makes_no_version_older():
    """An imprecise report must not make a version older than it is.

    A gateway that had been cut off reported that a version was set 7 s earlier
    than it was. All others adopted that time and refused every request for 2 s,
    because engines had only 8 s to change to the version.
    """
    table = fleet.TargetVersionTable()
    table.record("m", 2, at=0.0)
    table.record("m", 3, at=14.0)
    table.record_peer_time("m", 3, at=7.0, slack=8.1)
    assert table.find_target_time("m") == 14.0
    assert table.find_version_before("m", before=8.0) == 2


def test_a_disconnected_gateway_learns_from_the_others():
    table = fleet.TargetVersionTable()
    table.record("m", 3, at=7.0, slack=8.1)
    table.record_peer_time("m", 3, at=14.0, slack=0.2)
    assert table.find_target_time("m") == 14.0


def test_of_precise_times_the_earlier_counts():
    """A later time may come from a gateway that was suspended.

    It reads the version only after it resumes, and records that time.
    """
    table = fleet.TargetVersionTable()
    table.record("m", 3, at=21.0, slack=0.2)
    table.record_peer_time("m", 3, at=14.0, slack=0.2)
    assert table.find_target_time("m") == 14.0


def test_an_imprecise_time_is_better_than_none():
    table = fleet.TargetVersionTable()
    table.record("m", 3, at=None)
    table.record_peer_time("m", 3, at=7.0, slack=8.1)
    assert table.find_target_time("m") == 7.0
