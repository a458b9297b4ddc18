"""Tests how a gateway estimates load from the reports of its peers.

The load pattern: 85 gateways share 30 engines. Each has one or two prompts at
an engine and reports every two seconds, and the engine's queue holds the
prompts of all of them.
"""

import random
import statistics

from sardinewharf import fleet
from sardinewharf import ids

ENGINE = ids.EndpointId("e1")
TOKENS = 17_000
TOKENS_PER_MS = 50.0


def make_table(peers, at=0.0):
    table = fleet.LoadTable()
    for number in range(peers):
        load = fleet.EndpointLoad(1, TOKENS, TOKENS)
        table.merge_peer(f"vm-{number}", {ENGINE: load}, now=at)
    return table


def test_an_engine_prefills_the_prompts_of_many_peers_in_turn():
    """Each peer's load must shrink at the rate of the whole queue.

    It once shrank as if the engine prefilled that peer's prompts alone.
    """
    table = make_table(peers=20)
    prefilled = TOKENS_PER_MS * 500
    remaining = table.read(ENGINE, 0.5, TOKENS_PER_MS).prompt_tokens
    assert abs(remaining - (20 * TOKENS - prefilled)) < 20
    assert table.read(ENGINE, 0.9, TOKENS_PER_MS).prompt_tokens > 10 * TOKENS


def test_a_single_prompt_is_prefilled_in_its_time():
    table = make_table(peers=1)
    assert table.read(ENGINE, 0.5, TOKENS_PER_MS).prompt_tokens == 0


def estimate_running(seed, peers, interval_s):
    """Returns a gateway's estimate of a load of one request for each peer.

    Each peer reports at random times, with this mean interval.
    """
    rng = random.Random(seed)
    table = fleet.LoadTable()
    table.set_report_interval(interval_s)
    for number in range(peers):
        reported_at = -rng.expovariate(1 / interval_s)
        load = fleet.EndpointLoad(1, TOKENS, TOKENS)
        table.merge_peer(f"vm-{number}", {ENGINE: load}, now=reported_at)
    return table.read(ENGINE, now=0.0).running


def test_the_reports_of_some_peers_stand_for_all():
    """Of 195 gateways each hears a peer about every five seconds.

    Reports counted for three seconds, and each only for its own peer: engines
    with full queues looked almost idle.
    """
    for peers, interval_s in ((6, 0.2), (72, 1.8), (194, 4.85)):
        estimates = [
            estimate_running(seed, peers, interval_s) for seed in range(200)
        ]
        mean = statistics.fmean(estimates)
        assert 0.8 * peers < mean < 1.2 * peers


def test_gateways_of_a_large_fleet_estimate_differently():
    """If all see the same engine as the least loaded, all choose it."""
    estimates = {estimate_running(seed, 194, 4.85) for seed in range(50)}
    assert len(estimates) > 10


def test_reports_of_peers_that_fell_silent_end():
    table = make_table(peers=10)
    assert table.read(ENGINE, now=0.9).running == 10
    assert table.read(ENGINE, now=3.5).running == 0


def test_a_peer_is_counted_by_its_last_report():
    table = make_table(peers=2)
    table.merge_peer("vm-0", {}, now=0.1)
    assert table.read(ENGINE, now=0.1).running == 1
