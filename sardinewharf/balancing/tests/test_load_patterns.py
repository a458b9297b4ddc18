"""Tests the load patterns of the modules on simulated engines."""

import random
import statistics

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf.standins import batch_engine

SPEC = catalog.EngineSpec(24, 130_000, 18_432, 370_000.0, ("m",), 12)
ESTIMATES = balancing.EngineEstimates()
SHORT_TOKENS = 380
LONG_TOKENS = 17_000


def make_traffic(seed, seconds, short_per_s, long_per_s):
    """Returns requests in order of arrival, as (at_ms, tokens, prompt_key).

    Short prompts share 20 prefixes and long ones 172.
    """
    rng = random.Random(seed)
    traffic = []
    for per_s, tokens, prompt_keys in (
        (short_per_s, SHORT_TOKENS, 20),
        (long_per_s, LONG_TOKENS, 172),
    ):
        arrives_ms = 0.0
        while arrives_ms < seconds * 1_000:
            arrives_ms += rng.expovariate(per_s) * 1_000
            prompt_key = f"{tokens}/{rng.randrange(prompt_keys)}"
            traffic.append((arrives_ms, tokens, prompt_key))
    return sorted(traffic)


def make_state(engine):
    load = fleet.EndpointLoad(engine.running, engine.unprefilled_tokens, 0)
    return balancing.EngineState(engine.name, "fd", load)


def choose_by_load(states, size):
    return min(states, key=lambda s: s.load.running).id


def choose_by_cost(states, size):
    return balancing.choose_engine(states, size, SPEC, "fd", ESTIMATES).id


def simulate_traffic(
    choose, use_priorities, seed=1, engines=7, long_per_s=14.0
):
    """Runs ten seconds of traffic to its end and returns the requests."""
    fleet_ = {
        f"e{i}": batch_engine.BatchEngine(f"e{i}", batch_engine.BatchCosts())
        for i in range(engines)
    }
    requests = []
    for arrives_ms, tokens, prompt_key in make_traffic(
        seed, 10, 150.0, long_per_s
    ):
        for engine in fleet_.values():
            engine.run_until(arrives_ms)
        size = balancing.PromptSize(prompt_key, int(tokens * 0.7), tokens, 60)
        name = choose([make_state(e) for e in fleet_.values()], size)
        priority = 0
        if use_priorities:
            priority = balancing.choose_priority(0, tokens, ESTIMATES.split)
        request = batch_engine.BatchRequest(arrives_ms, tokens, 60, priority)
        fleet_[name].add(request)
        requests.append(request)
    for engine in fleet_.values():
        engine.run_until(120_000.0)
    return requests


def list_first_ms(requests, tokens):
    """Returns the sorted times to first token of all prompts of a length."""
    return sorted(
        r.first_token_ms - r.arrived_ms
        for r in requests
        if r.prompt_tokens == tokens
    )


def test_short_prompts_do_not_wait_behind_cold_long_ones():
    """All caches are cold, and seven engines barely keep up with the load."""
    baseline = list_first_ms(
        simulate_traffic(choose_by_load, use_priorities=False), SHORT_TOKENS
    )
    requests = simulate_traffic(choose_by_cost, use_priorities=True)
    short = list_first_ms(requests, SHORT_TOKENS)
    in_target = sum(ms <= 400.0 for ms in short) / len(short)
    baseline_in_target = sum(ms <= 400.0 for ms in baseline) / len(baseline)
    assert in_target >= 0.99
    assert in_target > baseline_in_target
    assert statistics.median(short) < statistics.median(baseline)


def test_long_prompts_are_still_served_beside_short_ones():
    requests = simulate_traffic(
        choose_by_cost, use_priorities=True, long_per_s=8.0
    )
    long = list_first_ms(requests, LONG_TOKENS)
    assert all(r.ended_ms is not None for r in requests)
    assert sum(ms <= 800.0 for ms in long) / len(long) >= 0.5


def test_priorities_alone_shorten_the_wait_of_short_prompts():
    late = list_first_ms(
        simulate_traffic(choose_by_load, use_priorities=False), SHORT_TOKENS
    )
    ordered = list_first_ms(
        simulate_traffic(choose_by_load, use_priorities=True), SHORT_TOKENS
    )
    assert statistics.mean(ordered) < 0.5 * statistics.mean(late)


def test_one_of_many_prefills_a_prompt_that_became_popular():
    """Forty requests for one uncached prompt arrive during its prefill."""
    prefills = balancing.PrefillTable()
    index = balancing.PrefixCacheIndex(capacity_tokens=100_000)
    started = 0
    for number in range(40):
        now = number * 0.01
        if now >= 0.3:
            prefills.end(7, "e0")
            index.touch("e0", 7, 13_000, now)
        if index.holds("e0", 7) or prefills.find_prefill_engine(7, now):
            continue
        prefills.begin(7, "e0", now)
        started += 1
    assert started == 1


def test_a_prefill_that_never_ends_blocks_nobody_for_long():
    prefills = balancing.PrefillTable()
    prefills.begin(7, "e0", now=0.0)
    assert prefills.find_prefill_engine(7, now=3.9) == "e0"
    assert prefills.find_prefill_engine(7, now=4.1) is None


def test_an_unresponsive_peer_leaves_no_prefill_behind():
    prefills = balancing.PrefillTable()
    prefills.begin(7, "e0", now=0.0, owner="vm-2")
    assert prefills.keep_only("vm-2", set())
    assert prefills.find_prefill_engine(7, now=0.1) is None


def test_cached_prompts_bring_requests_back_to_their_engine():
    idle = fleet.EndpointLoad()
    size = balancing.PromptSize("rules", 13_000, 17_000, 60, fetch_ms=50.0)
    cached = balancing.PrefixSource.CACHED
    fetched = balancing.PrefixSource.FETCHED
    states = [
        balancing.EngineState(f"e{i}", "fd", idle, shared=fetched)
        for i in range(6)
    ]
    free = balancing.choose_engine(states, size, SPEC, "fd", ESTIMATES).id
    other = next(s.id for s in states if s.id != free)
    states = [
        balancing.EngineState(
            s.id, "fd", idle, shared=cached if s.id == other else fetched
        )
        for s in states
    ]
    chosen = balancing.choose_engine(states, size, SPEC, "fd", ESTIMATES)
    assert chosen.shared is cached or chosen.cost_ms < 70.0


def test_rollouts_leave_most_engines_serving_whatever_the_load():
    for count in (1, 2, 3, 6, 9, 30):
        states = [
            balancing.EngineRolloutState(f"e{i}", 1, False, i)
            for i in range(count)
        ]
        for wait in (0.0, 100.0, 900.0):
            chosen = balancing.choose_engines_to_update(
                states, 2, balancing.RolloutPace(mean_wait_ms=wait)
            )
            assert 1 <= len(chosen) <= max(1, count // 2)
            if wait == 900.0:
                assert len(chosen) == 1


def simulate_rollout(engines, update_share):
    """Runs a rollout to busy engines.

    Returns:
        The elapsed share of the time limit at its end, and how many engines
        loaded at the same time at most.
    """
    ends = {}
    done = set()
    most_at_once = 0
    elapsed = 0.0
    while len(done) < engines and elapsed < 2.0:
        done |= {name for name, end in ends.items() if end <= elapsed}
        states = [
            balancing.EngineRolloutState(
                f"e{i}",
                2 if f"e{i}" in done else 1,
                f"e{i}" in ends and f"e{i}" not in done,
                i,
            )
            for i in range(engines)
        ]
        pace = balancing.RolloutPace(900.0, elapsed, update_share)
        for name in balancing.choose_engines_to_update(states, 2, pace):
            ends[name] = elapsed + update_share
        most_at_once = max(most_at_once, len(set(ends) - done))
        elapsed += 0.005
    return elapsed, most_at_once


def test_a_rollout_to_many_busy_engines_ends_in_time():
    """Thirty busy engines were updated one at a time for half of the limit.

    Each took a quarter of the limit. At the limit most had the old weights,
    and the few others were given all requests.
    """
    for engines in (3, 6, 9, 30, 60):
        for update_share in (0.1, 0.2, 0.25):
            elapsed, most_at_once = simulate_rollout(engines, update_share)
            assert elapsed < 1.0, (engines, update_share)
            assert most_at_once <= max(1, engines * 0.34)
    assert simulate_rollout(6, 0.1)[1] <= 2


def test_unusable_engines_are_left_out_of_a_rollout():
    states = [
        balancing.EngineRolloutState(f"e{i}", 1, False, i, is_usable=i > 1)
        for i in range(9)
    ]
    pace = balancing.RolloutPace(mean_wait_ms=100.0)
    assert balancing.choose_engines_to_update(states, 2, pace) == ["e2", "e3"]


def test_the_first_engine_with_new_weights_is_not_chosen_by_all():
    """Guards against a rush to the first updated engine of a large fleet.

    The load pattern: 195 gateways know little of each other's requests. All
    preferred the one engine with new weights, which refused 170 requests in a
    second.
    """
    for current, most in ((1, 0.2), (6, 0.6)):
        states = [
            balancing.EngineState(
                f"e{i}",
                "fd",
                fleet.EndpointLoad(4, 0, 0),
                has_outdated_weights=i >= current,
            )
            for i in range(24)
        ]
        chosen = [
            balancing.choose_engine(
                states,
                balancing.PromptSize(f"p{number}", 92, 383, 8),
                SPEC,
                "fd",
                ESTIMATES,
            ).id
            for number in range(400)
        ]
        updated = sum(int(name[1:]) < current for name in chosen)
        assert updated <= most * len(chosen)
