"""Orders the engines of a failure domain into the wanted state."""

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
_VERSION_BITS = 24


@dataclasses.dataclass(frozen=True, slots=True)
class PlacerSettings:
    """How a placer works.

    Attributes:
        failure_domain: Whose engines it orders.
        loads_at_once: Engines that load weights at a time.
        pause_seconds: Time between looks.
        load_seconds: An engine that needs longer has failed.
        failures_to_halt: Failed engines that halt a rollout.
    """

    failure_domain: str
    loads_at_once: int = 2
    pause_seconds: float = 0.5
    load_seconds: float = 60.0
    failures_to_halt: int = 2


class Placer:
    """Orders engines while this daemon holds the office.

    Args:
        holder: The configuration.
        directory: The endpoints.
        engines: Speaks to model engines.
        tenure: The hold on the office.
        is_able: Whether this daemon may take the office.
        settings: How it works.

    Attributes:
        halted: Why the rollout stands still, or empty.
    """

    def __init__(
        self,
        holder: configuration.ConfigurationHolder,
        directory: endpoints.Directory,
        engines: endpoints.ModelEngine,
        tenure: leases.LeaderLease,
        is_able: Callable[[], bool],
        settings: PlacerSettings,
    ):
        self._holder = holder
        self._directory = directory
        self._engines = engines
        self._tenure = tenure
        self._is_able = is_able
        self._settings = settings
        self._version = 0
        self._assigned: tuple[object, assignment.Assignment] = ((), {})
        self._ordered: dict[str, clocks.Deadline] = {}
        self._failed: set[str] = set()
        self.halted = ""

    @property
    def is_placing(self) -> bool:
        """Whether this daemon holds the office."""
        return self._tenure.find_deadline() is not None

    async def run(self) -> None:
        """Works until it is cancelled."""
        while True:
            if self._is_able() and self._holder.is_ready:
                await self._tenure.acquire_or_renew()
                if self._tenure.find_deadline() is not None:
                    await self._place()
            await asyncio.sleep(self._settings.pause_seconds)

    async def _place(self) -> None:
        snapshot = self._holder.snapshot
        if snapshot.version != self._version:
            self._begin(snapshot.version)
        loads = self._list_loads(snapshot.document)
        self._watch_failures(loads)
        if self.halted:
            return
        chosen = rollout.choose_orders(
            [load for load in loads if load.engine not in self._failed],
            _list_quorums(snapshot.document),
            self._settings.loads_at_once,
        )
        for load in chosen:
            await self._order(load, snapshot.version)

    def _begin(self, version: int) -> None:
        self._version = version
        self._ordered.clear()
        self._failed.clear()
        self.halted = ""

    def _list_loads(
        self, document: configuration.Document
    ) -> list[rollout.EngineLoad]:
        own = self._settings.failure_domain
        known = [
            endpoint
            for endpoint in self._directory.list_engines()
            if endpoint.vm.failure_domain == own and endpoint.reported_at
        ]
        wanted = self._assign(document, tuple(e.endpoint for e in known))
        return [
            rollout.EngineLoad(
                endpoint.endpoint,
                endpoint.report.weights,
                wanted[endpoint.endpoint],
                bool(endpoint.report.loading),
            )
            for endpoint in known
        ]

    def _assign(
        self, document: configuration.Document, engines: tuple[str, ...]
    ) -> assignment.Assignment:
        key = (self._version, engines)
        if self._assigned[0] != key:
            found = assignment.assign_models(document, engines)
            self._assigned = (key, found)
        return self._assigned[1]

    def _watch_failures(self, loads: list[rollout.EngineLoad]) -> None:
        for load in loads:
            deadline = self._ordered.get(load.engine)
            if load.is_done:
                self._ordered.pop(load.engine, None)
            elif deadline is not None and deadline.is_past():
                self._failed.add(load.engine)
        if len(self._failed) >= self._settings.failures_to_halt:
            self._halt()

    def _halt(self) -> None:
        if self.halted:
            return
        names = ", ".join(sorted(self._failed))
        self.halted = (
            f"Version {self._version}: {names} did not load the weights in"
            " time. Confirm a plan with other weights, or restart them."
        )
        _log.error("{}", self.halted)

    async def _order(self, load: rollout.EngineLoad, version: int) -> None:
        deadline = self._tenure.find_deadline()
        endpoint = self._directory.find(load.engine)
        if deadline is None or endpoint is None:
            return
        fence = (self._tenure.epoch << _VERSION_BITS) + version
        order = endpoints.Order(fence, dict(load.wanted))
        asked_at = clocks.read_monotonic()
        try:
            report = await self._engines.order(
                endpoint.vm.address, order, deadline
            )
        except endpoints.EndpointError as error:
            _log.warning("Engine {} took no order: {}.", load.engine, error)
            return
        self._directory.note_report(endpoint.endpoint, report, asked_at)
        limit = clocks.Deadline.after(self._settings.load_seconds)
        self._ordered.setdefault(load.engine, limit)
        _log.info(
            "engine={} wanted={} fence={}", load.engine, load.wanted, fence
        )


def _list_quorums(document: configuration.Document) -> dict[str, int]:
    quorums = {model.name: model.engines for model in document.models}
    for adapter in document.adapters:
        quorums[adapter.name] = quorums[adapter.model]
    return quorums
