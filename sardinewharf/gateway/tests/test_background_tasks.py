"""Checks what the end of each background task of a gateway means.

A task that ended by an error was logged and forgotten, while the gateway
stayed ready and went on with what it knew.
"""

import asyncio

import pytest

from sardinewharf import tasks
from sardinewharf.gateway import broadcasts
from sardinewharf.gateway import caches
from sardinewharf.gateway import peers
from sardinewharf.gateway import rollout
from sardinewharf.gateway import sync
from sardinewharf.gateway import tables
from sardinewharf.gateway.tests import gossips
from sardinewharf.testbed import gateway_harness

# A method that each task calls again and again, by the task's name.
STEPS = {
    "sync": (sync.Synchronizer, "step"),
    "peers": (peers.Peers, "_choose_addresses"),
    "broadcasts": (broadcasts.Broadcaster, "_broadcast"),
    "cache-store": (caches.CacheStoreWatcher, "_update"),
    "office": (rollout.RolloutController, "_may_acquire"),
    "weights": (rollout.RolloutController, "_start_updates"),
}
# Failures after which a task works again.
FAILURES = 2


class InjectedError(Exception):
    """The error that is put into a task."""


def break_step(monkeypatch, owner, name, failures):
    """Lets the first calls of a method fail; returns the later calls."""
    original = getattr(owner, name)
    left = [failures]
    later = []

    def call(self, *arguments):
        if left[0]:
            left[0] -= 1
            raise InjectedError("injected")
        later.append(arguments)
        return original(self, *arguments)

    monkeypatch.setattr(owner, name, call)
    return later


def count_failures(gateway, name, effect=tasks.Effect.RESTARTED):
    return gateway._failures.counts[name, effect]


@pytest.mark.parametrize("name", STEPS)
async def test_a_task_that_fails_is_started_again(harness, monkeypatch, name):
    """Guards against a gateway that goes on without one of its tasks."""
    owner, step = STEPS[name]
    later = break_step(monkeypatch, owner, step, FAILURES)
    if name == "office":
        await harness.store.remove("sardinewharf/placement/weights")
    gateway = harness.gateways[0]
    gateway._schedule_broadcast()

    async def is_running_again():
        return bool(later)

    await gateway_harness.wait_for(is_running_again, 4.0)
    assert count_failures(gateway, name) == FAILURES
    labels = f'{{effect="restarted",task="{name}"}}'
    sample = f"sardinewharf_task_failures_total{labels} {FAILURES}"
    assert sample in gateway._render_metrics().decode()
    assert await harness.is_ready()


async def test_a_registration_that_fails_is_repeated(harness, monkeypatch):
    """Guards against a gateway that no other one finds."""
    original = type(harness.gateways[0]._platform.store).read
    left = [FAILURES]

    async def read(self, key, deadline):
        if key.endswith("vm-1") and left[0]:
            left[0] -= 1
            raise InjectedError("injected")
        return await original(self, key, deadline)

    monkeypatch.setattr(type(harness.gateways[0]._platform.store), "read", read)
    await harness.start_gateway("vm-1")

    async def is_registered():
        return "vm-1" in harness.gateways[0]._replica.members

    await gateway_harness.wait_for(is_registered, 4.0)


async def test_a_registration_that_is_overwritten_is_restored(harness):
    """Guards against a gateway that others lose for good."""
    await harness.start_gateway("vm-1")
    await harness.store.put("sardinewharf/members/vm-1", b"odd")

    async def is_registered():
        return all("vm-1" in g._replica.members for g in harness.gateways)

    await asyncio.sleep(0.3)
    assert not await is_registered()
    await gateway_harness.wait_for(is_registered, 4.0)


async def test_a_gateway_whose_sync_keeps_failing_is_not_ready(
    harness, monkeypatch
):
    """Guards against a ready gateway that uses endpoints that left."""
    break_step(monkeypatch, sync.Synchronizer, "step", 5)

    async def is_not_ready():
        return not await harness.is_ready()

    await gateway_harness.wait_for(is_not_ready, 4.0)
    monkeypatch.setattr(tasks, "_RECOVERY_S", 0.3)
    await harness.wait_until_ready()


async def test_a_step_of_maintenance_that_fails_stops_no_other(
    harness, monkeypatch
):
    """Guards against connections to removed endpoints that stay open."""
    gateway = harness.gateways[0]
    later = break_step(monkeypatch, tables.RetryBudgetTable, "set_share", 10**9)
    handled = gateway._maintenance._handled_changes
    await harness.store.remove("servers/s0")

    async def is_handled():
        return gateway._maintenance._handled_changes > handled

    await gateway_harness.wait_for(is_handled, 2.0)
    assert not later
    assert count_failures(gateway, "tick", tasks.Effect.SKIPPED)


async def test_an_entry_on_which_the_reader_fails_ends_no_watch(
    harness, monkeypatch
):
    """Guards against errors that no decoder is known to raise."""
    gateway = harness.gateways[0]
    reader = gateway._platform.change_reader
    break_step(monkeypatch, type(reader), "read_change", 1)
    await harness.store.put("servers/odd", b"{}")
    await harness.store.remove("servers/s0")

    async def is_removed():
        return gateway._replica.registry.find("s0") is None

    await gateway_harness.wait_for(is_removed, 2.0)
    assert count_failures(gateway, "read-entry", tasks.Effect.SKIPPED) == 1
    assert not count_failures(gateway, "sync")


async def test_a_datagram_whose_handling_fails_stops_no_other(
    harness, monkeypatch
):
    """Guards against one message that ends the exchange of all."""
    await harness.start_gateway("vm-1")
    break_step(monkeypatch, peers.Peers, "_handle_state", 3)
    await asyncio.sleep(1.0)
    await gossips.check_gossips(harness)
    assert any(
        count_failures(g, "datagram", tasks.Effect.SKIPPED)
        for g in harness.gateways
    )


async def test_a_socket_that_was_closed_is_opened_again(harness):
    """Guards against asyncio, which closes a socket at an odd error."""
    await harness.start_gateway("vm-1")
    harness.gateways[0]._peers._transport.abort()
    await asyncio.sleep(0.5)
    await gossips.check_gossips(harness)


async def test_errors_of_callbacks_are_counted(harness):
    """Guards against errors that asyncio logs where no log is kept."""
    gateway = harness.gateways[0]
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(gateway.handle_loop_error)

    def fail():
        raise InjectedError("injected")

    loop.call_later(0.01, fail)
    await asyncio.sleep(0.1)
    loop.set_exception_handler(None)
    assert count_failures(gateway, "callback", tasks.Effect.SKIPPED) == 1


async def test_a_controller_that_is_restarted_acts_in_its_own_tenure(
    harness, monkeypatch
):
    """Guards against orders of a tenure that has ended."""
    gateway = harness.gateways[0]
    controller = gateway._rollout_controller
    lease = controller._leader_lease

    async def is_leader():
        return lease.find_deadline() is not None

    await gateway_harness.wait_for(is_leader)
    epoch = lease.epoch
    lease.step_down()
    later = break_step(
        monkeypatch, rollout.RolloutController, "_may_acquire", 2
    )
    sent = []
    monkeypatch.setattr(
        type(controller._control),
        "order_weights",
        lambda *arguments: sent.append(arguments),
    )
    await harness.store.put(
        f"op/version/{gateway_harness.MODEL}",
        {"model": gateway_harness.MODEL, "version": 9},
    )

    async def has_run():
        return bool(later)

    await gateway_harness.wait_for(has_run, 4.0)
    assert all(order.epoch > epoch for _, _, order, _ in sent)
    assert count_failures(gateway, "office") == 2


async def test_a_task_that_ends_is_not_started_again():
    """A one-shot task may end, and its failure is counted."""
    failures = tasks.FailureCounter()
    group = tasks.TaskGroup(failures)
    runs = []

    async def work():
        runs.append(1)

    await group.keep_running(work, "work")
    assert runs == [1]

    async def fail():
        raise InjectedError("injected")

    await asyncio.gather(group.start(fail(), "once"), return_exceptions=True)
    await asyncio.sleep(0)
    assert failures.counts == {("once", tasks.Effect.ENDED): 1}


async def test_a_task_whose_work_was_cancelled_is_started_again():
    """Guards against a task that ends because it awaited a cancelled one."""
    group = tasks.TaskGroup()
    runs = []

    async def work():
        runs.append(1)
        if len(runs) == 1:
            raise asyncio.CancelledError

    await asyncio.wait_for(group.keep_running(work, "work"), 2.0)
    assert len(runs) == 2


async def test_a_task_that_is_closed_while_it_pauses_ends():
    """Closing a group ends also the tasks that are to be started again."""
    group = tasks.TaskGroup()

    async def fail():
        raise InjectedError("injected")

    group.keep_running(fail, "work")
    await asyncio.sleep(0.05)
    await asyncio.wait_for(group.close(), 1.0)
    assert not len(group)


async def test_a_task_that_fails_as_it_is_cancelled_ends():
    """A group was never closed: the task was started again behind its end."""
    group = tasks.TaskGroup(tasks.FailureCounter())
    runs = []

    async def work():
        runs.append(None)
        try:
            await asyncio.Event().wait()
        finally:
            raise InjectedError

    group.keep_running(work, "failing")
    await asyncio.sleep(0)
    closing = asyncio.ensure_future(group.close())
    done, _ = await asyncio.wait({closing}, timeout=0.5)
    closing.cancel()
    assert done
    assert len(runs) == 1
