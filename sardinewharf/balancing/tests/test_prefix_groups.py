"""Tests how requests are grouped by the parts of their shared prompts.

The load pattern: shared prompts of two levels. Of one kind, all begin with the
same part; of another, 40 first parts have 2,600 second ones. If the whole
shared prompt determines the engine, each of 30 engines prefills most of the 40
parts after every change of weights.
"""

import collections
import random
import statistics

from sardinewharf import balancing
from sardinewharf.balancing import prefix_groups

ENGINES = 30


def make_prompts(seed, count):
    """Returns prompts as (ids of the shared parts, tokens)."""
    rng = random.Random(seed)
    prompts = []
    for _ in range(count):
        if rng.random() < 0.17:
            prompts.append((("rules", f"layout {rng.randrange(800)}"), 12_000))
        else:
            form = rng.randrange(40)
            field = f"field {form}/{rng.randrange(65)}"
            prompts.append(((f"form {form}", field), 2_400))
    return prompts


def count_prefills(find_group):
    """Returns how many tokens of first parts of forms the engines prefill."""
    prefilled = set()
    for part_ids, _ in make_prompts(seed=2, count=3_000):
        if part_ids[0] == "rules":
            continue
        engines = [f"e{i}" for i in range(ENGINES)]
        engine = balancing.rank_preferred(find_group(part_ids), engines)[0]
        prefilled.add((engine, part_ids[0]))
    return len(prefilled)


def make_demand(engines=ENGINES, prompts=600):
    demand = prefix_groups.PrefixDemand()
    for part_ids, tokens in make_prompts(seed=1, count=prompts):
        demand.record(part_ids, tokens)
    return lambda part_ids: demand.find_group(part_ids, engines)


def test_requests_with_the_same_first_part_share_an_engine():
    assert count_prefills("/".join) > 800
    assert count_prefills(make_demand()) < 100


def test_a_part_that_most_requests_share_does_not_bring_them_to_one_engine():
    for engines in (6, 9, 30, 60):
        find_group = make_demand(engines)
        assert find_group(("rules", "layout 5")) == "rules/layout 5"


def test_gateways_that_see_few_requests_mostly_agree():
    """Each of 195 gateways sees two prompts a second."""
    prompts = make_prompts(seed=3, count=400)
    groups = []
    for seed in range(10):
        demand = prefix_groups.PrefixDemand()
        for part_ids, tokens in make_prompts(seed, 60):
            demand.record(part_ids, tokens)
        groups.append([demand.find_group(ids, ENGINES) for ids, _ in prompts])
    most_common = [
        collections.Counter(column).most_common(1)[0][1] / len(column)
        for column in zip(*groups, strict=True)
    ]
    assert statistics.fmean(most_common) > 0.8


def test_the_counts_are_bounded_and_stay_finite():
    demand = prefix_groups.PrefixDemand()
    for number in range(20_000):
        demand.record((f"part {number}", "x"), 5_000)
    assert len(demand._tokens) <= 2_000
    assert demand._total < 1e12


def test_a_prompt_without_shared_parts_has_no_group():
    demand = prefix_groups.PrefixDemand()
    demand.record((), 500)
    assert demand.find_group((), ENGINES) == ""
