"""Tests the choice among endpoints that report how slow they are."""

import collections
import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import fleet

SPEC = catalog.EngineSpec(24, 130_000, 18_432, 370_000.0, ("m",), 12)
ESTIMATES = balancing.EngineEstimates()
CACHED = balancing.PrefixSource.CACHED
FETCHED = balancing.PrefixSource.FETCHED
COMPUTED = balancing.PrefixSource.COMPUTED
LONG = balancing.PromptSize("rules", 13_000, 17_000, 60, fetch_ms=50.0)
SHORT = balancing.PromptSize("hello", 92, 383, 8)


def make_report(slowness=1.0, running=0, waiting=0):
    return fleet.LoadReport(running, waiting, 24, slowness)


def choose(size, shared, report, running=0, others=None):
    """Returns the choice when only the preferred engine is as described."""
    idle = fleet.EndpointLoad()
    states = [
        balancing.EngineState(
            f"e{i}", "fd", idle, shared=FETCHED, report=make_report()
        )
        for i in range(6)
    ]
    home = balancing.choose_engine(states, size, SPEC, "fd", ESTIMATES)
    states = [
        balancing.EngineState(
            state.id,
            "fd",
            fleet.EndpointLoad(running=running),
            shared=shared,
            report=report,
        )
        if state.id == home.id
        else balancing.EngineState(
            state.id,
            "fd",
            idle,
            shared=others or FETCHED,
            report=make_report(),
        )
        for state in states
    ]
    choice = balancing.choose_engine(states, size, SPEC, "fd", ESTIMATES)
    assert choice.preferred == home.id
    return choice


@pytest.mark.parametrize(
    ("size", "shared", "report", "others", "keeps"),
    [
        pytest.param(
            LONG, CACHED, make_report(1.3), FETCHED, True, id="slightly slow"
        ),
        pytest.param(
            LONG, CACHED, make_report(3.0), FETCHED, False, id="slow, fetched"
        ),
        pytest.param(
            LONG, CACHED, make_report(3.0), COMPUTED, True, id="slow, computed"
        ),
        pytest.param(
            LONG, CACHED, make_report(8.0), COMPUTED, False, id="very slow"
        ),
        pytest.param(
            SHORT, CACHED, make_report(1.3), COMPUTED, True, id="short prompts"
        ),
        pytest.param(
            SHORT, CACHED, make_report(2.5), COMPUTED, False, id="short, slow"
        ),
        pytest.param(
            LONG,
            CACHED,
            make_report(running=24, waiting=8),
            FETCHED,
            False,
            id="queue that only the engine knows",
        ),
        pytest.param(
            LONG, CACHED, fleet.UNKNOWN_LOAD, FETCHED, True, id="no report"
        ),
    ],
)
def test_a_slow_engine_loses_its_prompts_if_that_is_worth_the_delay(
    size, shared, report, others, keeps
):
    choice = choose(size, shared, report, others=others)
    assert (choice.id == choice.preferred) is keeps


def find_longest_queue(size, others, slots_used, slowness=1.0):
    """Returns the longest queue that the preferred engine's requests join.

    Args:
        size: Sizes of the prompt, which is cached at that engine only.
        others: Where the other engines get it from; they are idle.
        slots_used: Requests that run there while others are queued.
        slowness: What it states of its slowness.
    """
    for waiting in range(1, 200):
        report = make_report(slowness, slots_used, waiting)
        choice = choose(size, CACHED, report, others=others)
        if choice.id != choice.preferred:
            return waiting - 1
    return 200


@pytest.mark.parametrize(
    ("size", "others", "slots_used", "longest"),
    [
        pytest.param(SHORT, COMPUTED, 24, 1, id="popular short prompt"),
        pytest.param(LONG, FETCHED, 24, 3, id="popular long prompt"),
        pytest.param(LONG, COMPUTED, 24, 17, id="long, cached nowhere else"),
        pytest.param(LONG, FETCHED, 8, 2, id="memory is full, slots are not"),
        pytest.param(LONG, COMPUTED, 8, 8, id="memory full, cached nowhere"),
    ],
)
def test_no_prompt_waits_for_a_second_while_other_engines_are_idle(
    size, others, slots_used, longest, monkeypatch
):
    """A long prompt joined 29 others, about 1.7 s, beside idle engines."""
    monkeypatch.setattr("random.random", lambda: 0.0)
    assert find_longest_queue(size, others, slots_used) <= longest


@pytest.mark.parametrize(
    ("size", "others", "longest"),
    [
        pytest.param(SHORT, COMPUTED, 3, id="short: it collected 11"),
        pytest.param(LONG, FETCHED, 6, id="long: it collected 19"),
    ],
)
def test_an_engine_that_only_states_to_be_fast_gets_no_long_queue(
    size, others, longest, monkeypatch
):
    monkeypatch.setattr("random.random", lambda: 0.0)
    assert find_longest_queue(size, others, 24, slowness=0.25) <= longest


def test_an_engine_that_fails_is_not_chosen_for_being_fast():
    """What it saves was divided by its success rate, too."""
    idle = fleet.EndpointLoad()
    states = [
        balancing.EngineState("a", "fd", idle, 0.9, report=make_report(0.25)),
        balancing.EngineState("b", "fd", idle, report=make_report()),
    ]
    size = balancing.PromptSize("", 0, 383, 8)
    choice = balancing.choose_engine(states, size, SPEC, "fd", ESTIMATES)
    assert choice.id == "b"


@hypothesis.given(
    strategies.lists(
        strategies.builds(
            make_report,
            strategies.floats(0.25, 8.0),
            strategies.integers(0, 1_000),
            strategies.integers(0, 1_000),
        ),
        min_size=1,
        max_size=5,
    )
)
def test_whatever_is_reported_some_engine_is_chosen(reports):
    """Guards against costs that are infinite or no number."""
    idle = fleet.EndpointLoad()
    states = [
        balancing.EngineState(f"e{i}", "fd", idle, report=report)
        for i, report in enumerate(reports)
    ]
    choice = balancing.choose_engine(states, LONG, SPEC, "fd", ESTIMATES)
    assert 0.0 <= choice.wait_ms < math.inf
    assert 0.0 <= choice.cost_ms < math.inf


def count_choices(make_load, gateways=200):
    """Returns the largest share of gateways that choose the same engine."""
    states = [
        balancing.EngineState(f"e{i}", "fd", make_load(i), report=make_report())
        for i in range(12)
    ]
    size = balancing.PromptSize("", 0, 383, 8)
    chosen = collections.Counter(
        balancing.choose_engine(states, size, SPEC, "fd", ESTIMATES).id
        for _ in range(gateways)
    )
    return chosen.most_common(1)[0][1] / gateways


def test_gateways_with_the_same_view_choose_different_engines(monkeypatch):
    """All chose the least busy engine until they heard of each other."""
    monkeypatch.setattr("random.random", random.Random(1).random)

    def make_load(number):
        return fleet.EndpointLoad(10 + number // 4, 5_000)

    assert count_choices(make_load) <= 0.6


def test_a_much_busier_engine_is_not_chosen_at_random(monkeypatch):
    monkeypatch.setattr("random.random", random.Random(1).random)

    def make_load(number):
        return fleet.EndpointLoad(2 if number == 5 else 20, 5_000 * number)

    assert count_choices(make_load) >= 0.5


def test_engines_without_a_report_are_chosen_as_before():
    """The cost of each engine must not change by any rounding."""
    load = fleet.EndpointLoad(30, 40_000, 140_000)
    states = [balancing.EngineState(f"e{i}", "fd", load) for i in range(6)]
    choice = balancing.choose_engine(states, LONG, SPEC, "fd2", ESTIMATES)
    assert choice.cost_ms == 800.0 + 45.0 + 7 * 15.0 + 520.0 + 2403.6 + 2.0
    assert choice.wait_ms == 800.0


@pytest.mark.parametrize(
    ("slowness", "lowest", "highest"),
    [
        pytest.param((1.0, 1.0), 0.45, 0.55, id="even servers"),
        pytest.param((1.0, 2.0), 0.6, 0.7, id="one half as fast"),
        pytest.param((0.5, 1.0), 0.6, 0.7, id="one twice as fast"),
        pytest.param((1.0, 8.0), 0.6, 0.7, id="one slows down much"),
    ],
)
def test_servers_get_requests_by_their_speed(slowness, lowest, highest):
    """Requests fill up two servers that answer none meanwhile."""
    running = collections.Counter()
    for _ in range(36):
        states = [
            balancing.ServerState(
                name,
                "fd",
                24,
                fleet.EndpointLoad(running[name]),
                report=make_report(value),
            )
            for name, value in zip("ab", slowness, strict=True)
        ]
        running[balancing.choose_server(states, "fd")] += 1
    assert lowest <= running["a"] / 36 <= highest
    assert max(running.values()) <= 24
