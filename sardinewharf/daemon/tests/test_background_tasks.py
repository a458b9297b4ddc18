"""Checks that no background task of a daemon ends by an error."""

import asyncio
import collections

import pytest
import pytest_asyncio

from sardinewharf import claims
from sardinewharf import configuration
from sardinewharf import daemons
from sardinewharf import placement
from sardinewharf import tasks
from sardinewharf.daemon import polling
from sardinewharf.daemon import service
from sardinewharf.daemon import settings as settings_lib
from sardinewharf.testbed import gateway_harness

# A method that each task calls again and again, by the task's name.
STEPS = {
    "gossip": (daemons.Gossip, "_pick_peers"),
    "news": (daemons.DispatchSender, "_wait_for_next_send"),
    "vm-list": (polling.EndpointPoller, "_sync_poll_tasks"),
    "placer": (placement.Placer, "_reconcile"),
    "configuration": (configuration.ConfigurationWatcher, "run"),
    "count-daemons": (service.Daemon, "_update_daemon_count"),
    "prime": (service.Daemon, "_load_from_store"),
}
# Results of those methods that are not coroutine functions.
RESULTS = {"_pick_peers": [], "_sync_poll_tasks": None}
# Failures after which a task works again.
FAILURES = 2


class InjectedError(Exception):
    """The error that is put into a task."""


@pytest_asyncio.fixture
async def daemon():
    """A daemon without a store, endpoints or other daemons."""
    found = service.Daemon(
        settings_lib.DaemonSettings(
            name="d1",
            failure_domain="fd-1",
            listen="127.0.0.1:1",
            admin_listen="127.0.0.1:2",
            peer_listen="127.0.0.1:3",
            kv="127.0.0.1:4",
            vm_list="127.0.0.1:5",
            operators="op=" + "0" * 64,
            gossip_seconds=0.05,
            vm_list_seconds=0.05,
            _cli_parse_args=False,
        )
    )
    yield found
    await found._close()


@pytest.mark.parametrize("name", STEPS)
async def test_a_task_that_fails_is_started_again(daemon, monkeypatch, name):
    """Guards against a daemon that goes on without one of its tasks."""
    owner, step = STEPS[name]
    later = []
    left = [FAILURES]

    async def wait():
        await asyncio.sleep(0.05)

    def call(self, *arguments):
        if left[0]:
            left[0] -= 1
            raise InjectedError("injected")
        later.append(arguments)
        if step in RESULTS:
            return RESULTS[step]
        return wait()

    monkeypatch.setattr(owner, step, call)
    monkeypatch.setattr(tasks.PROCESS_FAILURES, "counts", collections.Counter())
    holder = daemon.state.holder
    monkeypatch.setattr(type(holder), "is_ready", True)
    monkeypatch.setattr(daemon._placer, "_is_eligible", lambda: True)

    async def acquire_or_renew():
        """Does nothing."""

    lease = daemon._placer._leader_lease
    monkeypatch.setattr(lease, "acquire_or_renew", acquire_or_renew)
    monkeypatch.setattr(lease, "find_deadline", lambda: 1)
    if name == "count-daemons":
        daemon._tasks.keep_running(daemon._update_daemon_count, name)
    else:
        daemon._tasks.keep_running(daemon._bootstrap, "prime")

    async def is_running_again():
        return bool(later)

    await gateway_harness.wait_for(is_running_again, 4.0)
    failures = daemon.describe()["task_failures"]
    assert failures == {f"{name} restarted": FAILURES}


async def test_a_daemon_whose_configuration_keeps_failing_is_not_ready(
    daemon, monkeypatch
):
    """Guards against a ready daemon with a former configuration."""
    monkeypatch.setattr(type(daemon.state.holder), "is_ready", True)

    async def fail():
        raise InjectedError("injected")

    monkeypatch.setattr(daemon._watcher, "run", fail)
    daemon._tasks.keep_running(daemon._bootstrap, "prime")

    async def is_ready():
        return daemon._is_ready()

    async def is_not_ready():
        return not daemon._is_ready()

    await gateway_harness.wait_for(is_ready, 4.0)
    await gateway_harness.wait_for(is_not_ready, 4.0)


def test_committers_are_kept_running(monkeypatch):
    """Guards against a shard whose claims are never committed."""
    kept = []
    monkeypatch.setattr(
        tasks.TaskGroup, "keep_running", lambda _, work, name: kept.append(name)
    )
    claims.ClaimLedger(None, claims.CommitterSettings(shards=2)).start()
    assert kept == ["claims-0", "claims-1"]
