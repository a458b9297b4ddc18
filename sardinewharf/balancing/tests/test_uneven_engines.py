"""Tests the choice among endpoints that report how slow they are."""

import collections

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
