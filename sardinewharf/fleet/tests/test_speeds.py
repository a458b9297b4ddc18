"""Tests what is learned of the speed of endpoints."""

import hypothesis
from hypothesis import strategies
import pytest

from sardinewharf import fleet
from sardinewharf.fleet import speeds


@pytest.mark.parametrize(
    ("ratios", "lowest", "highest"),
    [
        pytest.param([1.0] * 40, 1.0, 1.0, id="as expected"),
        pytest.param([1.7] * 40, 1.5, 1.7, id="always slower"),
        pytest.param([0.6] * 40, 0.6, 0.7, id="always faster"),
        pytest.param([8.0] * 40, 2.0, 2.0, id="states to be fast, is slow"),
        pytest.param([3.0] * 2, 1.0, 1.4, id="few samples"),
        pytest.param([1.0] * 20 + [50.0], 1.0, 1.1, id="one that hung"),
    ],
)
def test_the_speed_is_learned_slowly_and_within_bounds(ratios, lowest, highest):
    table = speeds.SpeedTable()
    for number, ratio in enumerate(ratios):
        table.record("e", 100.0, 100.0 * ratio, number * 0.5)
    found = table.read("e", len(ratios) * 0.5)
    assert lowest <= round(found, 3) <= highest


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 300.0),
            strategies.floats(-1.0, 1e9),
            strategies.floats(0.0, 1e12),
        ),
        max_size=60,
    )
)
def test_any_samples_stay_within_bounds_and_expire(samples):
    table = speeds.SpeedTable()
    now = 0.0
    for wait_s, expected_ms, took_ms in samples:
        now += wait_s
        table.record("e", expected_ms, took_ms, now)
        assert 0.5 <= table.read("e", now) <= 2.0
    assert abs(table.read("e", now + 590.0) - 1.0) < 0.01
    table.forget_old(now + 601.0)
    assert not len(table)


def test_a_learned_speed_counts_only_beside_a_report():
    """Endpoints that state no slowness are chosen as before."""
    table = fleet.ReportTable()
    for _ in range(40):
        table.record_duration("e", 100.0, 190.0, now=0.0)
    assert table.read("e", now=0.0).total_slowness == 1.0
    table.record("e", fleet.LoadReport(slowness=1.0), now=0.0)
    assert table.read("e", now=0.1).total_slowness > 1.5
    assert table.read("e", now=31.0).total_slowness == 1.0
