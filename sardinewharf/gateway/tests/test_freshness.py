"""Checks that the steps by which a change reaches a gateway fit their bound.

A configuration was in force too late: each step had a limit of its own, and
their sum was above the time that the operators guarantee.
"""

import pytest

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf.gateway import admission
from sardinewharf.gateway import changes
from sardinewharf.gateway import freshness
from sardinewharf.gateway import messages
from sardinewharf.gateway import peers
from sardinewharf.gateway import refusals
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway.tests import stores


@pytest.mark.parametrize("apply_s", [1.0, 2.0, 3.0, 4.0, 10.0])
def test_a_follower_reads_a_change_in_time(apply_s):
    limits = freshness.split_apply_time(apply_s)
    assert limits.sum_follower_steps() <= apply_s


@pytest.mark.parametrize("apply_s", [1.0, 2.0, 3.0, 4.0, 10.0])
def test_followers_accept_what_a_sound_watcher_has(apply_s):
    limits = freshness.split_apply_time(apply_s)
    assert limits.sum_watcher_steps() < limits.max_update_age_s


@pytest.mark.parametrize("apply_s", [2.0, 3.0, 4.0])
def test_a_gateway_that_hears_nothing_reads_a_change_in_time(apply_s):
    """Another gateway's digest states the revision; one digest may be lost.

    A query that gets no response may be in progress when the change is due.
    """
    limits = freshness.split_apply_time(apply_s)
    digests_s = 2 * peers.GOSSIP_INTERVAL_S
    queries_s = 2 * limits.response_timeout_s
    assert digests_s + limits.catch_up_s + queries_s <= apply_s


@pytest.mark.parametrize("apply_s", [1.0, 2.0, 3.0, 4.0, 10.0])
def test_unknown_routes_are_refused_as_such_while_the_store_responds(apply_s):
    limits = freshness.split_apply_time(apply_s)
    assert limits.sum_lone_watcher_steps() <= limits.max_unknown_age_s
    assert limits.max_unknown_age_s < apply_s


def test_a_route_is_not_called_unknown_by_a_replica_that_is_too_old(
    monkeypatch,
):
    """Callers got 404 for a route that had been in force for the whole bound.

    A replica of up to 2.3 s ago was taken as proof that a route does not exist,
    also where a new route has to be served within 2.0 s.
    """
    now = 100.0
    monkeypatch.setattr(clocks, "read_monotonic", lambda: now)
    replica = replica_lib.Replica(stores.MemoryLog())
    replica.replace(
        [changes.ConfigurationChange(catalog.Configuration(version=1))]
    )
    replica.record_confirmation(now)
    controller = admission.AdmissionController(
        replica, settings_lib.Guarantees(apply_ms=2_000)
    )
    headers = messages.CallerHeaders(
        ids.RequestId("r"),
        "h",
        "",
        clocks.Deadline.after(1.0),
        prompt=None,
        resume_after=None,
        forwarded_headers=(),
    )
    now += 2.1
    with pytest.raises(refusals.RefusedError) as caught:
        controller.admit(headers, "/new/")
    assert caught.value.refusal.reason is refusals.Reason.NOT_CURRENT


def test_leaving_endpoints_are_known_in_time_where_less_is_allowed_for_them():
    """Followers could hear of a leaving endpoint later than it is to be left.

    The limits followed from the time for configurations alone.
    """
    guarantees = settings_lib.Guarantees(
        apply_ms=3_000, endpoint_drain_ms=1_500
    )
    limits = freshness.split_guarantees(guarantees)
    assert limits.sum_follower_steps() <= 1.5
