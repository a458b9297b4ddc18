"""Tests the reports of endpoints of their own load."""

import hypothesis
from hypothesis import strategies
import pytest

from sardinewharf import fleet


def record_all(values, interval_s):
    """Returns a table with reports of a slowness each, and the time."""
    table = fleet.ReportTable()
    now = 0.0
    for value in values:
        table.record("e", fleet.LoadReport(5, 2, 8, value), now)
        now += interval_s
    return table, now


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 100.0),
            strategies.one_of(
                strategies.none(),
                strategies.floats(0.01, 1e16, allow_nan=False),
            ),
            strategies.integers(0, 10**18),
        ),
        max_size=60,
    )
)
def test_any_reports_stay_within_bounds_and_expire(steps):
    """Guards against flicker, false, missing and huge values."""
    table = fleet.ReportTable()
    now = 0.0
    for wait_s, slowness, requests in steps:
        now += wait_s
        if slowness is not None:
            report = fleet.LoadReport(requests, requests, 24, slowness)
            table.record("e", report, now)
        found = table.read("e", now)
        assert 0.25 <= found.slowness <= 8.0
        assert 0 <= found.running <= 1_000
    assert abs(table.read("e", now + 29.0).slowness - 1.0) < 0.1
    assert not table.read("e", now + 31.0).is_known
    table.forget_old(now + 31.0)
    assert not len(table)


@pytest.mark.parametrize(
    ("values", "interval_s", "lowest", "highest"),
    [
        pytest.param([3.0] * 20, 0.05, 2.4, 3.0, id="slow endpoint"),
        pytest.param([3.0] * 8, 2.0, 1.8, 3.0, id="slow, heard rarely"),
        pytest.param([0.5, 2.0] * 20, 0.02, 0.8, 1.25, id="flicker"),
        pytest.param([1.0] * 9 + [1e9], 0.1, 1.0, 1.2, id="one false value"),
        pytest.param([1.0] * 9 + [4.0] * 8, 0.1, 2.0, 4.0, id="slows down"),
        pytest.param([4.0] * 9 + [1.0] * 8, 0.1, 1.0, 2.0, id="recovers"),
        pytest.param([8.0], 0.1, 1.0, 3.0, id="a single report"),
    ],
)
def test_the_slowness_follows_what_most_reports_state(
    values, interval_s, lowest, highest
):
    table, now = record_all(values, interval_s)
    assert lowest <= table.read("e", now).slowness <= highest


def test_requests_count_only_while_their_report_is_fresh():
    table, now = record_all([1.0], 0.4)
    assert table.read("e", now).waiting == 2
    assert table.read("e", now + 0.2).waiting == 0
