"""Checks that the steps by which a change reaches a gateway fit their bound.

A configuration was in force too late: each step had a limit of its own, and
their sum was above the time that the operators guarantee.
"""

import pytest

from sardinewharf.gateway import freshness
from sardinewharf.gateway import peers
from sardinewharf.gateway import sync
from sardinewharf.platform import store


@pytest.mark.parametrize("apply_s", [1.0, 2.0, 3.0, 4.0, 10.0])
def test_a_follower_reads_a_change_in_time(apply_s):
    limits = freshness.split_apply_time(apply_s)
    assert limits.sum_follower_steps() <= apply_s


@pytest.mark.parametrize("apply_s", [1.0, 2.0, 3.0, 4.0, 10.0])
def test_followers_accept_what_a_sound_watcher_has(apply_s):
    limits = freshness.split_apply_time(apply_s)
    assert limits.sum_watcher_steps() < limits.max_update_age_s


@pytest.mark.parametrize("apply_s", [2.0, 3.0, 4.0])
def test_a_watcher_that_hears_nothing_reads_a_change_in_time(apply_s):
    """The watch is given up as soon as others have had the change for a time.

    The change may be made just as a watch begins that is not given up.
    """
    limits = freshness.split_apply_time(apply_s)
    digest_s = 2 * peers.GOSSIP_INTERVAL_S
    probe_s = sync.PROBE_WATCH_TIMEOUT_S + store.RESPONSE_GRACE_S
    steps_s = probe_s + digest_s + limits.catch_up_s + limits.response_timeout_s
    assert steps_s <= apply_s
