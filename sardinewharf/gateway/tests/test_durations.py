"""Tests how long requests of a route are expected to take."""

import contextlib

from sardinewharf import clocks
from sardinewharf.gateway import durations


def test_requests_that_just_began_do_not_shorten_the_estimate():
    """A gateway that had just started took long requests during its stop.

    One request had finished, and the many that ran had begun a moment ago.
    """
    table = durations.DurationTable()
    now = clocks.read_monotonic()
    table.record("search", began=now - 20.0, now=now)
    with contextlib.ExitStack() as running:
        for _ in range(40):
            running.enter_context(table.track("search"))
        assert table.estimate("search") >= 20.0


def test_requests_that_run_for_longer_lengthen_the_estimate():
    """Guards against an estimate from requests that finished early."""
    table = durations.DurationTable()
    now = clocks.read_monotonic()
    for _ in range(9):
        table.record("search", began=now - 0.1, now=now)
    with table.track("search") as began:
        assert table.estimate("search", now=began + 9.0) >= 9.0
