"""Runs one seed of the soak test: faults, callers and invariant checks."""

import asyncio
import dataclasses
import pathlib
import time

from sardinewharf import clocks
from sardinewharf.soak import callers
from sardinewharf.soak import crashes
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak import invariants
from sardinewharf.soak import late_callers
from sardinewharf.soak import operators
from sardinewharf.soak import schedules

_CHECK_INTERVAL_S = 1.0
_SAMPLE_INTERVAL_S = 0.1
_POLL_INTERVAL_S = 0.05
# Time after the last fault. 12 s are granted for recovery and 15 s for weights;
# the rest shows that the deployment stays in that state.
_RECOVERY_OBSERVATION_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class SoakSettings:
    """Settings of a soak run.

    Attributes:
        seed: Seed of the random choice of faults and requests.
        seconds: Time span within which faults start and end.
        family: Name of the only family of faults to inject; empty for all
            faults.
        size: Numbers of processes.
    """

    seed: int
    seconds: float = 20.0
    family: str = ""
    size: deployment_lib.DeploymentSize = deployment_lib.DeploymentSize()


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a soak run.

    Attributes:
        faults: Injected faults.
        requests: Number of requests sent.
        served: Number of requests served.
        unanswered: Number of requests whose connection ended without a byte.
        cut: Number of requests whose response was incomplete.
        findings: Violated invariants.
    """

    faults: list[faults_lib.Fault]
    requests: int
    served: int
    unanswered: int
    cut: int
    findings: list[invariants.Finding]


def run_soak(settings: SoakSettings, folder: pathlib.Path) -> Outcome:
    """Runs a seed and writes logs and journals to a folder."""
    deployment = deployment_lib.Deployment(folder, settings.size)
    try:
        deployment.start()
        return asyncio.run(_run_soak(settings, deployment))
    finally:
        deployment.close()


async def _run_soak(
    settings: SoakSettings, deployment: deployment_lib.Deployment
) -> Outcome:
    operator = operators.Operator(deployment)
    await asyncio.to_thread(operator.write_manifest)
    pool = callers.CallerPool(deployment, operator, settings.seed)
    faults = schedules.draw_faults(
        settings.seed, deployment, settings.seconds, settings.family
    )
    timeline = invariants.Timeline(clocks.read_monotonic(), faults)
    checker = invariants.InvariantChecker(deployment, pool, operator, timeline)
    late = [
        late_callers.LateCallers(
            pool, fault.name, timeline.started_at + fault.at
        )
        for fault in faults
        if isinstance(fault, faults_lib.BusyRestart)
    ]
    crashing = [
        crashes.CrashingCaller(
            pool,
            fault.order,
            deployment.gateways,
            clocks.Deadline(timeline.started_at + fault.at),
            clocks.Deadline(timeline.started_at + settings.seconds),
        )
        for fault in faults
        if isinstance(fault, faults_lib.CrashingRequest)
    ]
    sending = [
        asyncio.create_task(row.run()) for row in (pool, *late, *crashing)
    ]
    checking = [
        asyncio.create_task(_check_periodically(checker)),
        asyncio.create_task(_sample_periodically(checker)),
    ]
    try:
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(
                    _inject_fault(
                        fault, timeline.started_at, deployment, operator
                    )
                )
        await asyncio.sleep(_RECOVERY_OBSERVATION_S)
    finally:
        for task in (*sending, *checking):
            task.cancel()
        results = await asyncio.gather(
            *sending, *checking, return_exceptions=True
        )
    for result in results:
        if isinstance(result, Exception):
            raise result
    checker.check_final(clocks.read_monotonic())
    pool.write_attempts(deployment.folder / "attempts.jsonl")
    ended = [a for a in pool.attempts if a.ended_at and not a.disconnected_at]
    return Outcome(
        faults,
        len(pool.attempts),
        checker.count_served(),
        sum(a.was_sent and not a.status for a in ended),
        sum(a.status > 0 and not a.is_complete for a in ended),
        list(checker.findings),
    )


async def _check_periodically(checker: invariants.InvariantChecker) -> None:
    while True:
        await asyncio.sleep(_CHECK_INTERVAL_S)
        checker.check()


async def _sample_periodically(checker: invariants.InvariantChecker) -> None:
    while True:
        await asyncio.sleep(_SAMPLE_INTERVAL_S)
        checker.sample()


def _end_fault(
    fault: faults_lib.Fault,
    deployment: deployment_lib.Deployment,
    operator: operators.Operator,
) -> None:
    while not fault.can_end(deployment):
        time.sleep(_POLL_INTERVAL_S)
    fault.end(deployment, operator)


async def _inject_fault(
    fault: faults_lib.Fault,
    started_at: float,
    deployment: deployment_lib.Deployment,
    operator: operators.Operator,
) -> None:
    await asyncio.sleep(fault.at + started_at - clocks.read_monotonic())
    await asyncio.to_thread(fault.begin, deployment, operator)
    await asyncio.sleep(fault.until + started_at - clocks.read_monotonic())
    await asyncio.to_thread(_end_fault, fault, deployment, operator)
    fault.until = clocks.read_monotonic() - started_at
