"""Drops outdated state of a gateway and adjusts its shares, at intervals."""

import asyncio

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import limits
from sardinewharf import tasks
from sardinewharf.gateway import crashes as crashes_lib
from sardinewharf.gateway import peers as peers_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import staleness
from sardinewharf.gateway import suspect_recorder
from sardinewharf.gateway import tables

_MAINTENANCE_INTERVAL_S = 0.25
# The recorder is asked at this interval, and removes entries less often.
_SUSPECT_CLEANUP_INTERVAL_S = 1.0
# Share of the retry budget that is split between the gateways. The rest covers
# gateways that restart, which begin with an unused budget.
_SPLIT_BUDGET_SHARE = 0.7


class Maintenance:
    """Keeps the state of a gateway up to date while it runs.

    Args:
        guarantees: State the retry budget of all gateways.
        replica: This gateway's replica of the store.
        crashes: Detects endpoints that crashed while they ran requests.
        staleness_monitor: Logs when the replica is stale.
        connections: Connection pools of the endpoints.
        budgets: Retry budget of each service.
        loads: Estimated load of each endpoint.
        notices: What endpoints stated about further requests.
        reports: What endpoints reported of their load.
        prompts: Where shared prompts are cached.
        peers: Exchanges state with the other gateways.
        recorder: Keeps suspects in the store.
        failures: Contains and counts the failures of single steps.
    """

    def __init__(
        self,
        guarantees: settings_lib.Guarantees,
        replica: replica_lib.Replica,
        crashes: crashes_lib.CrashDetector,
        staleness_monitor: staleness.StalenessMonitor,
        connections: tables.ConnectionTable,
        budgets: tables.RetryBudgetTable,
        loads: fleet.LoadTable,
        notices: fleet.NoticeTable,
        reports: fleet.ReportTable,
        prompts: prompts_lib.PromptTable,
        peers: peers_lib.Peers,
        recorder: suspect_recorder.SuspectRecorder,
        failures: tasks.FailureCounter,
    ):
        self._guarantees = guarantees
        self._replica = replica
        self._crashes = crashes
        self._staleness_monitor = staleness_monitor
        self._connections = connections
        self._budgets = budgets
        self._loads = loads
        self._notices = notices
        self._reports = reports
        self._prompts = prompts
        self._peers = peers
        self._recorder = recorder
        self._failures = failures
        # The registry's count of changes when connections to removed endpoints
        # were last closed.
        self._handled_changes = -1

    async def run(self) -> None:
        """Drops outdated state and adjusts shares, at regular intervals."""
        steps = (
            self._replica.drop_expired,
            self._crashes.check_registry,
            self._staleness_monitor.check,
            self._adjust_shares,
            self._set_cache_capacity,
            self._forget_old_state,
            self._close_removed_connections,
        )
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            for step in steps:
                with self._failures.contain("tick"):
                    step()

    async def remove_outdated_suspects(self) -> None:
        """Removes outdated entries of suspects, at regular intervals."""
        while True:
            await asyncio.sleep(_SUSPECT_CLEANUP_INTERVAL_S)
            await self._recorder.remove_outdated(set(self._replica.members))

    def _adjust_shares(self) -> None:
        gateways = len(self._replica.members)
        self._budgets.set_share(make_budget_share(self._guarantees, gateways))
        self._loads.set_report_interval(self._peers.estimate_digest_interval())

    def _set_cache_capacity(self) -> None:
        for service in self._replica.configuration.services.values():
            if service.engine is not None:
                self._prompts.set_capacity(service.engine.capacity_tokens)

    def _forget_old_state(self) -> None:
        now = clocks.read_monotonic()
        self._crashes.forget_old(now)
        self._notices.forget_old(self._replica.registry, now)
        self._reports.forget_old(now)

    def _close_removed_connections(self) -> None:
        """Closes connections to endpoints that were removed since."""
        registry = self._replica.registry
        if registry.changes != self._handled_changes:
            self._connections.close_removed(registry)
            self._handled_changes = registry.changes


def make_budget_share(
    guarantees: settings_lib.Guarantees, gateways: int
) -> limits.BudgetShare:
    """Returns one gateway's share of the retry budget.

    Args:
        guarantees: State the retry budget of all gateways.
        gateways: Number of known gateways; 0 counts as one.
    """
    return limits.BudgetShare(
        ratio=guarantees.retry_ratio * _SPLIT_BUDGET_SHARE,
        extra=guarantees.retry_extra * _SPLIT_BUDGET_SHARE / max(1, gateways),
        window_s=guarantees.retry_window_ms / 1000,
    )
