"""Checks the owner of a quota without a network."""

import pytest

from sardinewharf import quotas
from sardinewharf.quotas import quorum
from sardinewharf.quotas.tests import fleets

_QUOTA = fleets.make_quota(1_000)


class _Peers(quotas.PeerWatch):
    """Peers that all are heard all the time."""

    def hears_majority(self, now):
        return True

    def is_fleet_new(self):
        return False


def _drop(name, message):
    """Sends nothing."""


@pytest.fixture
def owner():
    view = fleets.View(_QUOTA, ["vm-0"])
    peers = _Peers("vm-0", view, _drop, 0.0, 0.0)
    made = quotas.Owner("vm-0", fleets.BOUNDS, view, peers, _drop, 0.0)
    made.check_membership(0.0)
    return made


def _ask(number, tokens, **amounts):
    return quotas.Ask("vm-9", number, "org-1", tokens, **amounts)


def test_a_repeated_ask_is_granted_once(owner):
    """A lost grant took its tokens twice."""
    grants = [owner.handle_ask(_ask(1, 900), 100.0) for _ in range(3)]
    assert [grant.verdict for grant in grants] == [quotas.Verdict.GRANTED] * 3
    second = owner.handle_ask(_ask(2, 0, extra=9_000), 100.0)
    assert second.tokens < 300


def test_a_quota_that_is_configured_late_has_an_active_owner(owner):
    """Requests were refused for 3 s after the first quota was configured."""
    grant = owner.handle_ask(_ask(1, 900), 5_000.0)
    assert grant.verdict is quotas.Verdict.GRANTED


def test_a_refused_request_would_be_admitted_when_it_was_told(owner):
    """All callers came back together, and all but one were refused again."""
    owner.handle_ask(_ask(0, 5_000), 100.0)
    waits = [
        owner.handle_ask(_ask(number, 1_000), 100.0).wait_ms
        for number in range(1, 5)
    ]
    assert [b - a for a, b in zip(waits, waits[1:], strict=False)] == [
        1_000
    ] * 3
    for number, wait_ms in enumerate(waits, 5):
        grant = owner.handle_ask(_ask(number, 1_000), 100.0 + wait_ms / 1_000)
        assert grant.verdict is quotas.Verdict.GRANTED


def test_a_process_that_was_frozen_begins_with_an_empty_bucket(owner):
    """It granted a burst that another gateway had granted meanwhile."""
    for step in range(200):
        owner.check(100.0 + step * 0.05)
    owner.handle_ask(_ask(1, 1), 110.0)
    owner.check(110.0)
    tenure = owner._tenures["org-1"]
    owner.handle_ask(_ask(2, 1), 114.0)
    assert owner._tenures["org-1"] is not tenure
    assert owner._tenures["org-1"].bucket.fill(114.0) < 1_001.0


def test_an_owner_that_leaves_keeps_no_quotas(owner):
    owner.resign()
    grant = owner.handle_ask(_ask(1, 1), 100.0)
    assert grant.verdict is quotas.Verdict.INACTIVE


def test_an_organisation_without_a_quota_is_not_limited(owner):
    owner._directory.quota = None
    grant = owner.handle_ask(_ask(1, 10**9), 100.0)
    assert grant.verdict is quotas.Verdict.UNLIMITED


def test_a_quorum_is_lost_when_most_gateways_are_silent():
    """An owner that was cut off went on for 2 s."""
    probed = []
    view = fleets.View(_QUOTA, [f"vm-{n}" for n in range(20)])
    peers = quotas.PeerWatch(
        "vm-0", view, lambda name, message: probed.append(name), 0.0, 0.0
    )
    checked = quorum.Quorum("vm-0", view, peers)
    checked.require(10.0)
    for name in probed[:5]:
        peers.record(name, 10.01)
    assert checked.is_reached(10.02)
    checked.advance(10.25)
    checked.require(10.26)
    checked.advance(10.5)
    assert checked.has_lost(10.51)
    assert not checked.is_reached(10.51)
