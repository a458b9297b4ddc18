"""Checks quotas that many gateways share, with faults between them.

Two owners at a time granted a quota twice; without an owner it was refused.
"""

import hypothesis
from hypothesis import strategies
import pytest

from sardinewharf import balancing
from sardinewharf import quotas
from sardinewharf.quotas.tests import fleets

_settings = hypothesis.settings(
    max_examples=25,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
_FAULTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["kill", "restart", "freeze", "cut", "register"]
        ),
        # Whether it meets the owner, for how long, and when the next one comes.
        strategies.booleans(),
        strategies.floats(0.1, 6.0),
        strategies.floats(0.1, 6.0),
    ),
    min_size=1,
    max_size=4,
)


def _make_fleet(rate=317_648, size=12, seed=0, **network):
    fleet = fleets.Fleet(fleets.make_quota(rate), size, seed, **network)
    fleet.run(10.0)
    return fleet


def _load(fleet, share, seconds):
    rate = fleet.quota.rate
    fleet.load(rate * share, min(17_000, rate / 12), seconds)


def _cause(fleet, kind, at_owner, seconds):
    names = sorted(fleet.gateways)
    name = fleet.find_owner() if at_owner else fleet.random.choice(names)
    if kind == "cut":
        count = fleet.random.randrange(len(fleet.names) * 2 // 3)
        others = [other for other in fleet.names if other != name]
        fleet.cut_off([name, *fleet.random.sample(others, count)])
        fleet.after(seconds, lambda: fleet.cut_off([]))
    elif kind == "register":
        fleet.register(f"vm-{len(fleet.names)}", min(seconds, 2.5))
    elif name not in fleet.gateways:
        return
    elif kind == "freeze":
        fleet.freeze(name, seconds)
    else:
        fleet.kill(name)
        pause_s = 0.0 if kind == "restart" else seconds
        fleet.after(pause_s, lambda: fleet.start(name))


@_settings
@hypothesis.given(
    faults=_FAULTS,
    rate=strategies.sampled_from([20_000, 100_000, 317_648]),
    size=strategies.sampled_from([7, 12, 30]),
    flood=strategies.sampled_from([1.5, 4.0]),
    loss=strategies.sampled_from([0.0, 0.01, 0.05]),
    delay_s=strategies.sampled_from([0.003, 0.03]),
    seed=strategies.integers(0, 999),
)
def test_no_window_exceeds_a_quota(
    faults, rate, size, flood, loss, delay_s, seed
):
    """Load: an organisation sends 1.5 or 4 times its quota."""
    fleet = _make_fleet(rate, size, seed, loss=loss, delay_s=delay_s)
    _load(fleet, flood, 60.0)
    fleet.run(fleet.random.uniform(0.1, 10.0))
    for kind, at_owner, seconds, pause_s in faults:
        _cause(fleet, kind, at_owner, seconds)
        fleet.run(pause_s)
    fleet.run(8.0)
    assert fleet.find_excess() <= fleets.BOUNDS.find_slack(fleet.quota)


@_settings
@hypothesis.given(
    rate=strategies.sampled_from([20_000, 317_648]),
    size=strategies.sampled_from([7, 12, 58]),
    share=strategies.floats(0.1, 0.8),
    loss=strategies.sampled_from([0.0, 0.02]),
    delay_s=strategies.sampled_from([0.003, 0.03]),
    seed=strategies.integers(0, 999),
)
def test_no_request_within_a_quota_is_refused_in_calm(
    rate, size, share, loss, delay_s, seed
):
    """Load: an organisation stays below its quota; datagrams may be lost."""
    fleet = _make_fleet(rate, size, seed, loss=loss, delay_s=delay_s)
    _load(fleet, share, 10.0)
    fleet.run(11.0)
    # A grant that is lost for good takes tokens along.
    hypothesis.assume(fleet.least_level > (0.25 if loss else 0.0))
    assert not fleet.refused


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("size", [7, 58])
def test_no_request_within_a_quota_is_refused_when_its_owner_dies(size, seed):
    """Load: an organisation sends half of its quota."""
    fleet = _make_fleet(size=size, seed=seed)
    _load(fleet, 0.5, 20.0)
    fleet.run(5.0)
    fleet.kill(fleet.find_owner())
    fleet.run(6.0)
    fleet.start(fleet.find_owner())
    fleet.run(9.0)
    assert fleet.least_level > 0.2
    assert not fleet.refused
    assert max(fleet.waits) < 0.25


def test_a_fleet_that_starts_refuses_no_request_within_a_quota():
    """Load: 0.6 of a quota from the first moment of the day."""
    fleet = fleets.Fleet(fleets.make_quota(317_648), 58, seed=1)
    _load(fleet, 0.6, 10.0)
    fleet.run(11.0)
    assert not fleet.refused


def test_an_owner_that_is_gone_for_good_costs_no_time():
    """Load: half of a quota, whose first two in rank never ran."""
    fleet = fleets.Fleet(fleets.make_quota(317_648), 58, seed=1)
    for name in fleet.gateways["vm-0"].view.rank(fleets.ORGANISATION)[:2]:
        fleet.kill(name)
    fleet.run(40.0)
    _load(fleet, 0.5, 40.0)
    fleet.run(10.0)
    fleet.waits.clear()
    fleet.run(30.0)
    assert not fleet.refused
    waits = sorted(fleet.waits)
    assert waits[int(len(waits) * 0.9)] < 0.01
    assert max(waits) < 0.3


@pytest.mark.parametrize("seed", range(6))
def test_a_new_first_in_rank_refuses_no_request_within_a_quota(seed):
    """Load: 0.7 of a quota, whose owner changes as a gateway registers."""
    fleet = _make_fleet(size=24, seed=seed)
    _load(fleet, 0.7, 20.0)
    fleet.run(5.0)
    for number in range(24, 1_000):
        name = f"vm-{number}"
        rank = balancing.rank_preferred(
            fleets.ORGANISATION, [*fleet.names, name]
        )
        if rank[0] == name:
            break
    fleet.register(name, 2.0)
    fleet.run(15.0)
    assert not fleet.refused
    assert fleet.gateways[name].owner.counts["granted"]


@pytest.mark.parametrize("count", [1, 8])
def test_gateways_that_are_cut_off_for_long_keep_no_quota(count):
    """Load: four times a quota. They took all others for gone after 30 s."""
    fleet = _make_fleet(size=24)
    names = [fleet.find_owner(), *fleet.names[: count - 1]]
    fleet.cut_off(names)
    fleet.run(40.0)
    fleet.load(fleet.quota.rate * 4.0, 17_000, 10.0, names=names)
    fleet.run(10.0)
    assert not fleet.gateways[names[0]].owner.is_active(fleet.now)
    assert sum(cost for _, cost in fleet.sent) <= (
        fleets.BOUNDS.find_slack(fleet.quota) / 2
    )


def test_a_lowered_quota_holds_in_the_next_window():
    """Load: three times a quota, which is lowered to a third."""
    fleet = _make_fleet()
    _load(fleet, 3.0, 30.0)
    fleet.run(10.0)
    fleet.quota = fleets.make_quota(100_000)
    for gateway in fleet.gateways.values():
        fleet.after(
            fleet.random.uniform(0.0, 3.0),
            lambda view=gateway.view: setattr(view, "quota", fleet.quota),
        )
    fleet.run(3.0)
    fleet.sent.clear()
    fleet.run(16.0)
    assert fleet.find_excess() <= fleets.BOUNDS.find_slack(fleet.quota)


def test_requests_that_do_not_run_are_not_charged():
    """Load: twice a quota, which no endpoint runs."""
    fleet = _make_fleet()
    fleet.load(fleet.quota.rate * 2.0, 17_000, 5.0, is_run=False)
    fleet.run(6.0)
    assert len(fleet.refused) < 0.02 * len(fleet.waits)


def test_a_flood_costs_few_messages():
    """Load: 50 times a quota in short requests, 41,000 a second."""
    fleet = _make_fleet()
    fleet.load(fleet.quota.rate * 50, 383, 2.0)
    fleet.run(1.0)
    fleet.messages.clear()
    fleet.run(1.0)
    assert sum(fleet.messages.values()) < 1_500
    assert fleet.find_excess() <= fleets.BOUNDS.find_slack(fleet.quota)
    states = {state for _, state in fleet.refused}
    assert states == {quotas.State.OVER_QUOTA}
