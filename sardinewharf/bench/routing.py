"""Compares routing policies on one seeded trace at three request rates."""

import dataclasses
import statistics
import sys

from sardinewharf import bench
from sardinewharf import load
from sardinewharf import routing
from sardinewharf.bench import simulation

_REQUESTS = 3000
_HEADER = (
    "policy",
    "hit rate",
    "limit",
    "recomputed",
    "p50 s",
    "p95 s",
    "p99 s",
    "imbalance",
    "decision us",
)
# Requests per second: a light load, the rate from which CostPolicy with a price
# of 1 no longer keeps up, and 10% above it.
REQUEST_RATES = {"almagro": (14.0, 28.0, 30.8), "traversa": (21.0, 42.0, 46.2)}
DEPLOYMENTS = {
    "almagro": simulation.Deployment(
        engines=6, daemons=9, first_token_weight=2.0, recompute_weight=1.0
    ),
    "traversa": simulation.Deployment(
        engines=9, daemons=9, first_token_weight=1.0, recompute_weight=2.0
    ),
}


def _make_full_scan_factory(policy_kind, *arguments):
    """Returns a factory of routers that apply a policy to all engines."""

    def make(engines: dict, seed: int) -> routing.Router:
        return simulation.FullScanRouter(policy_kind(*arguments), seed=seed)

    return make


def _make_router_factory(policy_kind, *arguments):
    """Returns a factory of the daemons' routers with another policy."""

    def make(engines: dict, seed: int) -> routing.Router:
        return routing.Router(policy_kind(*arguments), seed=seed)

    return make


def _make_exact_state_router(engines: dict, seed: int) -> routing.Router:
    return simulation.ExactStateRouter(routing.AdaptivePolicy(), engines)


BASELINES = {
    "random": _make_full_scan_factory(routing.RandomPolicy),
    "round robin": _make_full_scan_factory(routing.RoundRobinPolicy),
    "least loaded": _make_full_scan_factory(routing.LeastLoadedPolicy),
    "rendezvous": _make_full_scan_factory(routing.RendezvousPolicy),
}
# The price is the weight of recomputation against waiting. "ours" is the policy
# of the daemons, "truth" the same policy with exact knowledge of every queue
# and cache.
POLICIES = {
    "price 1": _make_router_factory(routing.CostPolicy, 1.0),
    "price 2": _make_router_factory(routing.CostPolicy, 2.0),
    "price 4": _make_router_factory(routing.CostPolicy, 4.0),
    "ours": _make_router_factory(routing.AdaptivePolicy),
    "truth": _make_exact_state_router,
}


def make_trace_settings(rate: float, shift: int = 0) -> load.TraceSettings:
    """Returns the settings of a trace with a given request rate.

    Args:
        rate: Mean number of requests per second.
        shift: Number of requests after which other prefixes become the most
            popular; 0 for never.
    """
    return load.TraceSettings(
        requests=_REQUESTS, rate=rate, seed=11, shift_every=shift
    )


def main() -> None:
    """Prints the tables."""
    for name, deployment in DEPLOYMENTS.items():
        for rate in REQUEST_RATES[name]:
            _compare(f"{name}, {rate:g} requests/s", deployment, rate)
    for name, deployment in DEPLOYMENTS.items():
        _compare_faults(name, deployment, REQUEST_RATES[name][1])
    _time_decisions()


def _compare(
    title: str, deployment: simulation.Deployment, rate: float
) -> None:
    trace_settings = make_trace_settings(rate)
    trace = load.make_trace(trace_settings)
    limit = simulation.find_optimal_hit_rate(
        trace, trace_settings, deployment.cache_blocks * deployment.engines
    )
    rows = []
    for name, make in (BASELINES | POLICIES).items():
        result = simulation.Simulation(deployment, make).run(
            trace, trace_settings
        )
        rows.append(_make_row(name, result, limit))
    bench.print_table(title, _HEADER, rows)


def _compare_faults(
    name: str, deployment: simulation.Deployment, rate: float
) -> None:
    replace = dataclasses.replace
    cases = {
        "none": (deployment, 0),
        "an engine restarts empty": (
            replace(deployment, kill_at_share=0.5),
            0,
        ),
        "popular prefixes change": (deployment, _REQUESTS // 6),
        "half of the cache events lost": (
            replace(deployment, event_loss=0.5, event_lag=2.0),
            0,
        ),
        "load reports 2 s late": (replace(deployment, report_lag=2.0), 0),
        "half of the events lost, reports 2 s late": (
            replace(deployment, event_loss=0.5, event_lag=2.0, report_lag=2.0),
            0,
        ),
    }
    rows = []
    for case, (changed, shift) in cases.items():
        trace_settings = make_trace_settings(rate, shift)
        trace = load.make_trace(trace_settings)
        limit = simulation.find_optimal_hit_rate(
            trace, trace_settings, changed.cache_blocks * changed.engines
        )
        result = simulation.Simulation(changed, POLICIES["ours"]).run(
            trace, trace_settings
        )
        rows.append(_make_row(case, result, limit))
    header = ("fault", *_HEADER[1:])
    bench.print_table(
        f"{name}, policy of the daemons at {rate:g} requests/s", header, rows
    )


def _make_row(
    name: str, result: simulation.Result, limit: float
) -> tuple[object, ...]:
    quantiles = [
        result.find_ttft_quantile(share) for share in (0.5, 0.95, 0.99)
    ]
    return (
        name,
        result.hit_rate,
        limit,
        result.recomputed,
        *quantiles,
        result.imbalance,
        result.decision_us,
    )


def _time_decisions() -> None:
    rows = []
    for engines in (9, 27, 90, 267):
        deployment = simulation.Deployment(engines=engines, daemons=1)
        trace_settings = make_trace_settings(3.0 * engines)
        trace = load.make_trace(trace_settings)
        results = [
            simulation.Simulation(deployment, POLICIES["ours"]).run(
                trace, trace_settings
            )
            for _ in range(3)
        ]
        rows.append(
            (engines, statistics.median(r.decision_us for r in results))
        )
    bench.print_table("Time of a routing decision", ("engines", "us"), rows)
    sys.stdout.flush()


if __name__ == "__main__":
    main()
