"""Tests what is measured of engines and prompts, on simulated engines.

The load pattern: deployments differ in the speed of their engines and in the
lengths of their prompts. A constant that fits one makes all choices of another
wrong: prompts of 2,400 tokens were taken for long ones and waited where those
of 12,000 were prefilled, while engines kept for short prompts stood idle.
"""

import math
import random

import pytest

from sardinewharf import balancing
from sardinewharf.balancing import prefill_rates
from sardinewharf.balancing import prompt_lengths
from sardinewharf.standins import batch_engine

# Mean and coefficient of variation of the tokens of short and of long prompts,
# and the share of requests with long ones.
TRAFFIC = {
    "labels and layouts": ((383, 0.6), (17_000, 0.3), 0.09),
    "checks and proofs": ((2_370, 1.0), (12_000, 0.6), 0.17),
}


def draw_tokens(rng, mean, variation):
    sigma = math.sqrt(math.log(1 + variation**2))
    return int(rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma))


def run_engine(tokens_per_ms, utilization, seed=1, prompts=400):
    """Runs prompts on one engine.

    Returns:
        The prompt tokens that each request found queued and brought, and its
        time to first token in milliseconds.
    """
    rng = random.Random(seed)
    engine = batch_engine.BatchEngine(
        "e", batch_engine.BatchCosts(prefill_tokens_per_ms=tokens_per_ms)
    )
    seen = []
    now_ms = 0.0
    for _ in range(prompts):
        tokens = draw_tokens(rng, 12_000, 0.8)
        now_ms += rng.expovariate(utilization * tokens_per_ms / 12_000)
        engine.run_until(now_ms)
        queued = engine.unprefilled_tokens
        request = batch_engine.BatchRequest(now_ms, tokens, 40)
        engine.add(request)
        seen.append((queued + tokens, request))
    engine.run_until(now_ms + 600_000)
    return [(x, r.first_token_ms - r.arrived_ms) for x, r in seen]


@pytest.mark.parametrize("tokens_per_ms", [20.0, 50.0, 92.0, 250.0])
def test_the_rate_is_measured_at_any_speed(tokens_per_ms):
    estimator = prefill_rates.PrefillRateEstimator()
    for tokens, took_ms in run_engine(tokens_per_ms, utilization=0.6):
        estimator.record(tokens, took_ms)
    # Decode steps between the chunks make it slower than prefill alone.
    assert 0.4 * tokens_per_ms < estimator.tokens_per_ms < 1.1 * tokens_per_ms


def test_an_engine_that_hangs_does_not_determine_the_rate():
    estimator = prefill_rates.PrefillRateEstimator()
    for number, (tokens, took_ms) in enumerate(run_engine(92.0, 0.6)):
        estimator.record(tokens, took_ms + (8_000.0 if not number % 20 else 0))
    assert 20.0 < estimator.tokens_per_ms < 110.0


def test_times_that_do_not_depend_on_the_length_keep_the_rate_finite():
    estimator = prefill_rates.PrefillRateEstimator()
    for number in range(2_000):
        estimator.record(8_000 + number % 7, 100.0)
    assert 5.0 <= estimator.tokens_per_ms <= 1_000.0


def test_the_rate_is_sensible_before_the_first_requests():
    assert 25.0 < prefill_rates.PrefillRateEstimator().tokens_per_ms < 100.0


@pytest.mark.parametrize("name", TRAFFIC)
@pytest.mark.parametrize("seed", range(4))
def test_most_short_and_long_prompts_are_told_apart(name, seed):
    short, long, long_share = TRAFFIC[name]
    rng = random.Random(seed)
    lengths = prompt_lengths.PromptLengths()
    shorts, longs = [], []
    for _ in range(600):
        is_long = rng.random() < long_share
        tokens = draw_tokens(rng, *(long if is_long else short))
        (longs if is_long else shorts).append(tokens)
        lengths.record(tokens)
    boundary = lengths.split.long_tokens
    assert sum(t < boundary for t in shorts) > 0.85 * len(shorts)
    assert sum(t for t in longs if t >= boundary) > 0.85 * sum(longs)


def test_prompts_of_one_length_have_no_boundary_above_them():
    lengths = prompt_lengths.PromptLengths()
    for _ in range(200):
        lengths.record(2_000)
    assert lengths.split.long_tokens > 2_000


def test_the_boundary_follows_the_demand():
    lengths = prompt_lengths.PromptLengths()
    for tokens in [400, 17_000] * 300:
        lengths.record(tokens)
    before = lengths.split.long_tokens
    for tokens in [9_000, 120_000] * 3_000:
        lengths.record(tokens)
    assert before < 17_000
    assert 9_000 < lengths.split.long_tokens < 120_000


def test_short_prompts_do_not_count_for_the_rate():
    """They overtake the queue, and would make it look fast."""
    estimator = balancing.EngineEstimator()
    before = estimator.read().prefill_tokens_per_ms
    for _ in range(500):
        estimator.record_first_token(300, 60_000, 30.0)
    assert estimator.read().prefill_tokens_per_ms == before


@pytest.mark.parametrize(
    ("prefill", "queued", "first_ms"),
    [
        pytest.param(17_000, 50_000, 1_400.0, id="long, queued"),
        pytest.param(2_000, 500, 110.0, id="medium, no queue"),
        pytest.param(2_000, 50_000, None, id="overtakes the queue"),
        pytest.param(300, 0, None, id="short"),
    ],
)
def test_the_first_token_is_expected_only_where_it_shows_the_speed(
    prefill, queued, first_ms
):
    estimates = balancing.EngineEstimates()
    assert estimates.expect_first_ms(prefill, queued) == first_ms
