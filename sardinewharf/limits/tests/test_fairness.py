"""Tests how slots are shared between organisations."""

import asyncio
import collections

from sardinewharf import clocks
from sardinewharf import limits


async def serve(gate, rounds):
    """Ends running requests, one in each round."""
    for _ in range(rounds):
        await asyncio.sleep(0)
        gate.leave()
    await asyncio.sleep(0)


async def fill(gate, organisation, weight, count, served, priority=5):
    async def enter():
        deadline = clocks.Deadline.after(5.0)
        if await gate.enter(organisation, weight, priority, deadline):
            served.append(organisation)

    tasks = [asyncio.create_task(enter()) for _ in range(count)]
    await asyncio.sleep(0)
    return tasks


async def test_refused_requests_do_not_cost_an_organisation_its_share():
    """Many refused requests once starved the organisation of lower weight.

    9 of its requests were served, against 208 of the other organisation.
    """
    gate = limits.FairGate(slots=1, queue_limit=8)
    assert await gate.enter("x", 1.0, 5, clocks.Deadline.after(1.0))
    served = []
    tasks = []
    for _ in range(30):
        tasks += await fill(gate, "light", 1.0, 6, served)
        tasks += await fill(gate, "heavy", 3.0, 6, served)
        await serve(gate, 4)
    counts = collections.Counter(served)
    assert 2 <= counts["heavy"] / counts["light"] <= 4, counts
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_a_higher_priority_goes_first():
    gate = limits.FairGate(slots=1, queue_limit=8)
    assert await gate.enter("x", 1.0, 5, clocks.Deadline.after(1.0))
    served = []
    tasks = await fill(gate, "usual", 1.0, 3, served)
    tasks += await fill(gate, "urgent", 1.0, 1, served, priority=9)
    await serve(gate, 4)
    await asyncio.gather(*tasks)
    assert served[0] == "urgent"


async def test_slots_are_not_lost_when_callers_give_up():
    gate = limits.FairGate(slots=1, queue_limit=8)
    assert await gate.enter("x", 1.0, 5, clocks.Deadline.after(1.0))
    late = clocks.Deadline.after(0.01)
    assert not await gate.enter("y", 1.0, 5, late)
    gate.leave()
    assert gate.running == 0
    assert gate.waiting == 0
