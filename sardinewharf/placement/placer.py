"""Orders the engines of a failure domain to load their target weights."""

import asyncio
from collections.abc import Callable
import dataclasses

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import endpoints
from sardinewharf import leases
from sardinewharf import logs
from sardinewharf.placement import assignment
from sardinewharf.placement import rollout

_log = logs.get_logger("placement")
# Low bits of the fencing token, which hold the configuration version.
_VERSION_BITS = 24


@dataclasses.dataclass(frozen=True, slots=True)
class PlacerSettings:
    """Settings of the placement leader.

    Attributes:
        failure_domain: Failure domain whose engines it controls.
        loads_at_once: Maximum number of engines that load at the same time.
        pause_seconds: Pause between two reconciliations.
        load_seconds: Time limit for loading; an engine that takes longer has
            failed.
        failures_to_halt: Number of failed engines that halts the rollout.
    """

    failure_domain: str
    loads_at_once: int = 2
    pause_seconds: float = 0.5
    load_seconds: float = 60.0
    failures_to_halt: int = 2


class Placer:
    """Sends load orders to engines while this daemon holds the leader lease.

    Args:
        holder: Holds the active configuration.
        directory: The known endpoints and their reports.
        engines: Client for the model engines.
        leader_lease: Leader lease of the failure domain.
        is_eligible: Returns whether this daemon may become the leader.
        settings: Limits and intervals.

    Attributes:
        halted: Why the rollout is halted; empty if it is not.
    """

    def __init__(
        self,
        holder: configuration.ConfigurationHolder,
        directory: endpoints.Directory,
        engines: endpoints.ModelEngine,
        leader_lease: leases.LeaderLease,
        is_eligible: Callable[[], bool],
        settings: PlacerSettings,
    ):
        self._holder = holder
        self._directory = directory
        self._engines = engines
        self._leader_lease = leader_lease
        self._is_eligible = is_eligible
        self._settings = settings
        self._version = 0
        self._cached_assignment: tuple[object, assignment.Assignment] = ((), {})
        self._load_deadlines: dict[str, clocks.Deadline] = {}
        self._failed: set[str] = set()
        self.halted = ""

    @property
    def is_leader(self) -> bool:
        """Whether this daemon holds the leader lease."""
        return self._leader_lease.find_deadline() is not None

    async def run(self) -> None:
        """Acquires the lease and reconciles engines until it is cancelled."""
        while True:
            if self._is_eligible() and self._holder.is_ready:
                await self._leader_lease.acquire_or_renew()
                if self._leader_lease.find_deadline() is not None:
                    await self._reconcile()
            await asyncio.sleep(self._settings.pause_seconds)

    async def _reconcile(self) -> None:
        """Orders the next engines to load; does nothing while halted."""
        snapshot = self._holder.snapshot
        if snapshot.version != self._version:
            self._start_version(snapshot.version)
        states = self._list_engine_states(snapshot.document)
        self._detect_failures(states)
        if self.halted:
            return
        chosen = rollout.choose_engines_to_load(
            [state for state in states if state.engine not in self._failed],
            _list_min_engines(snapshot.document),
            self._settings.loads_at_once,
        )
        for state in chosen:
            await self._send_order(state, snapshot.version)

    def _start_version(self, version: int) -> None:
        """Forgets the deadlines and failures of the previous version."""
        self._version = version
        self._load_deadlines.clear()
        self._failed.clear()
        self.halted = ""

    def _list_engine_states(
        self, document: configuration.Document
    ) -> list[rollout.EngineWeightsState]:
        """Returns the states of the engines that have sent a report."""
        own_domain = self._settings.failure_domain
        known = [
            endpoint
            for endpoint in self._directory.list_engines()
            if endpoint.vm.failure_domain == own_domain and endpoint.reported_at
        ]
        assigned = self._assign(document, tuple(e.endpoint for e in known))
        return [
            rollout.EngineWeightsState(
                endpoint.endpoint,
                endpoint.report.weights,
                assigned[endpoint.endpoint],
                bool(endpoint.report.loading),
            )
            for endpoint in known
        ]

    def _assign(
        self, document: configuration.Document, engines: tuple[str, ...]
    ) -> assignment.Assignment:
        """Returns the assignment, computed again only after a change."""
        key = (self._version, engines)
        if self._cached_assignment[0] != key:
            new_assignment = assignment.assign_models(document, engines)
            self._cached_assignment = (key, new_assignment)
        return self._cached_assignment[1]

    def _detect_failures(
        self, states: list[rollout.EngineWeightsState]
    ) -> None:
        """Records engines that load for too long; may halt the rollout."""
        for state in states:
            deadline = self._load_deadlines.get(state.engine)
            if state.is_done:
                self._load_deadlines.pop(state.engine, None)
            elif deadline is not None and deadline.is_past():
                self._failed.add(state.engine)
        if len(self._failed) >= self._settings.failures_to_halt:
            self._halt()

    def _halt(self) -> None:
        """Halts the rollout until the next configuration version."""
        if self.halted:
            return
        names = ", ".join(sorted(self._failed))
        self.halted = (
            f"Version {self._version}: {names} did not load the weights in"
            " time. Confirm a plan with other weights, or restart them."
        )
        _log.error("{}", self.halted)

    async def _send_order(
        self, state: rollout.EngineWeightsState, version: int
    ) -> None:
        """Orders an engine to load its target weights, with a fencing token."""
        deadline = self._leader_lease.find_deadline()
        endpoint = self._directory.find(state.engine)
        if deadline is None or endpoint is None:
            return
        fence = (self._leader_lease.epoch << _VERSION_BITS) + version
        order = endpoints.Order(fence, dict(state.target))
        requested_at = clocks.read_monotonic()
        try:
            report = await self._engines.order(
                endpoint.vm.address, order, deadline
            )
        except endpoints.EndpointError as error:
            _log.warning("Order to engine {} failed: {}.", state.engine, error)
            return
        self._directory.record_report(endpoint.endpoint, report, requested_at)
        limit = clocks.Deadline.after(self._settings.load_seconds)
        self._load_deadlines.setdefault(state.engine, limit)
        _log.info(
            "engine={} wanted={} fence={}", state.engine, state.target, fence
        )


def _list_min_engines(document: configuration.Document) -> dict[str, int]:
    """Returns the minimum number of ready engines of each model or adapter."""
    min_engines = {model.name: model.engines for model in document.models}
    for adapter in document.adapters:
        min_engines[adapter.name] = min_engines[adapter.model]
    return min_engines
