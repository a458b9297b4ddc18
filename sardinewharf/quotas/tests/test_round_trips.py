"""Tests how long responses are awaited."""

from sardinewharf.quotas import round_trips


def test_slow_responses_are_awaited_longer():
    """Guards against gateways that are taken for silent while they are slow.

    On VMs with an eighth of a core, each response came after the fixed
    time-out. No gateway was found to keep a quota, and requests within it were
    refused.
    """
    estimator = round_trips.RoundTripEstimator()
    for _ in range(20):
        estimator.record(0.003)
    assert estimator.find_timeout(0.09) == 0.09
    for _ in range(20):
        estimator.record(0.3)
    assert estimator.find_timeout(0.09) > 0.3
    for _ in range(100):
        estimator.record(0.003)
    assert estimator.find_timeout(0.09) == 0.09


def test_lost_responses_are_not_awaited_without_end():
    """Guards against requests that wait for a gateway until their deadline."""
    estimator = round_trips.RoundTripEstimator()
    for _ in range(20):
        estimator.record(5.0)
    assert estimator.find_timeout(0.09) < 1.0
