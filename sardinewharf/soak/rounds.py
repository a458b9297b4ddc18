"""Plays one seed of the soak: faults in series, callers, and the checks."""

import asyncio
import dataclasses
import pathlib
import time

from sardinewharf import clocks
from sardinewharf.soak import callers
from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak import field as field_lib
from sardinewharf.soak import operators
from sardinewharf.soak import oracle as oracle_lib
from sardinewharf.soak import schedules

_CHECK_S = 1.0
_POLL_S = 0.05
# The page grants twelve seconds for recovery and fifteen for weights; the
# rest shows that they last.
_TAIL_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """What a seed is played with.

    Attributes:
        seed: Decides faults and requests.
        seconds: Span in which faults begin and end.
        plan: Processes to start.
    """

    seed: int
    seconds: float = 20.0
    plan: field_lib.Plan = field_lib.Plan()


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a round has shown.

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


def play(settings: Round, folder: pathlib.Path) -> Outcome:
    """Plays a round, with its logs and journals in a folder."""
    field = field_lib.Field(folder, settings.plan)
    try:
        field.start()
        return asyncio.run(_play(settings, field))
    finally:
        field.close()


async def _play(settings: Round, field: field_lib.Field) -> Outcome:
    operator = operators.Operator(field)
    await asyncio.to_thread(operator.write)
    crowd = callers.Crowd(field, operator, settings.seed)
    drawn = schedules.draw_faults(settings.seed, field, settings.seconds)
    story = oracle_lib.Story(clocks.read_monotonic(), drawn)
    oracle = oracle_lib.Oracle(field, crowd, operator, story)
    sending = asyncio.create_task(crowd.run())
    checking = asyncio.create_task(_check(oracle))
    try:
        async with asyncio.TaskGroup() as group:
            for fault in drawn:
                group.create_task(
                    _inject(fault, story.started_at, field, operator)
                )
        await asyncio.sleep(_TAIL_S)
    finally:
        for task in (sending, checking):
            task.cancel()
        await asyncio.gather(sending, checking, return_exceptions=True)
    oracle.check_end(clocks.read_monotonic())
    return Outcome(
        drawn,
        len(crowd.attempts),
        oracle.count_served(),
        list(oracle.findings),
    )


async def _check(oracle: oracle_lib.Oracle) -> None:
    while True:
        await asyncio.sleep(_CHECK_S)
        oracle.check()


def _end(
    fault: faults_lib.Fault,
    field: field_lib.Field,
    operator: operators.Operator,
) -> None:
    while not fault.is_over(field):
        time.sleep(_POLL_S)
    fault.end(field, operator)


async def _inject(
    fault: faults_lib.Fault,
    started_at: float,
    field: field_lib.Field,
    operator: operators.Operator,
) -> None:
    await asyncio.sleep(fault.at + started_at - clocks.read_monotonic())
    await asyncio.to_thread(fault.begin, field, operator)
    await asyncio.sleep(fault.until + started_at - clocks.read_monotonic())
    await asyncio.to_thread(_end, fault, field, operator)
    fault.until = clocks.read_monotonic() - started_at
