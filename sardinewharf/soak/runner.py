"""Plays one seed of the soak: faults in series, callers, and the checks."""

import asyncio
import dataclasses
import pathlib
import time

from sardinewharf import clocks
from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak import operators
from sardinewharf.soak import oracle as oracle_lib
from sardinewharf.soak import schedules

_CHECK_S = 1.0
_POLL_S = 0.05
# The page grants twelve seconds for recovery and fifteen for weights; the
# rest shows that they last.
_TAIL_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class SoakSettings:
    """What a seed is played with.

    Attributes:
        seed: Decides faults and requests.
        seconds: Span in which faults begin and end.
        plan: Processes to start.
    """

    seed: int
    seconds: float = 20.0
    plan: deployment_lib.Plan = deployment_lib.Plan()


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a seed has shown.

    Attributes:
        faults: Faults that were played.
        requests: Requests sent.
        served: Those served.
        findings: Broken promises.
    """

    faults: list[faults_lib.Fault]
    requests: int
    served: int
    findings: list[oracle_lib.Finding]


def play(settings: SoakSettings, folder: pathlib.Path) -> Outcome:
    """Plays a seed, with its logs and journals in a folder."""
    deployment = deployment_lib.Deployment(folder, settings.plan)
    try:
        deployment.start()
        return asyncio.run(_play(settings, deployment))
    finally:
        deployment.close()


async def _play(
    settings: SoakSettings, deployment: deployment_lib.Deployment
) -> Outcome:
    operator = operators.Operator(deployment)
    await asyncio.to_thread(operator.write)
    pool = callers.CallerPool(deployment, operator, settings.seed)
    drawn = schedules.draw_faults(settings.seed, deployment, settings.seconds)
    timeline = oracle_lib.Timeline(clocks.read_monotonic(), drawn)
    oracle = oracle_lib.Oracle(deployment, pool, operator, timeline)
    sending = asyncio.create_task(pool.run())
    checking = asyncio.create_task(_check(oracle))
    try:
        async with asyncio.TaskGroup() as group:
            for fault in drawn:
                group.create_task(
                    _inject(fault, timeline.started_at, deployment, operator)
                )
        await asyncio.sleep(_TAIL_S)
    finally:
        for task in (sending, checking):
            task.cancel()
        await asyncio.gather(sending, checking, return_exceptions=True)
    oracle.check_end(clocks.read_monotonic())
    return Outcome(
        drawn,
        len(pool.attempts),
        oracle.count_served(),
        list(oracle.findings),
    )


async def _check(oracle: oracle_lib.Oracle) -> None:
    while True:
        await asyncio.sleep(_CHECK_S)
        oracle.check()


def _end(
    fault: faults_lib.Fault,
    deployment: deployment_lib.Deployment,
    operator: operators.Operator,
) -> None:
    while not fault.is_over(deployment):
        time.sleep(_POLL_S)
    fault.end(deployment, operator)


async def _inject(
    fault: faults_lib.Fault,
    started_at: float,
    deployment: deployment_lib.Deployment,
    operator: operators.Operator,
) -> None:
    await asyncio.sleep(fault.at + started_at - clocks.read_monotonic())
    await asyncio.to_thread(fault.begin, deployment, operator)
    await asyncio.sleep(fault.until + started_at - clocks.read_monotonic())
    await asyncio.to_thread(_end, fault, deployment, operator)
    fault.until = clocks.read_monotonic() - started_at
