"""Stores the state of endpoints, from the VM list, reports and other daemons.

The first signal that an endpoint leaves takes effect, and a VM list that lags
behind does not revert it. Only a report of a new incarnation does.
"""

from collections.abc import Iterable
import dataclasses
import enum

from sardinewharf import ids
from sardinewharf import inventory
from sardinewharf.endpoints import reports

_NO_REPORT = reports.LoadReport(running=0)


class EndpointState(enum.Enum):
    """State of an endpoint, which decides whether it is sent new requests.

    ``UNSEEN``: listed, but without a report so far. ``LIVE``: has reported
    since its last failure. ``LEAVING``: its VM is about to be removed.
    ``DOWN``: failed since its last report.
    """

    UNSEEN = "unseen"
    LIVE = "live"
    LEAVING = "leaving"
    DOWN = "down"


@dataclasses.dataclass(slots=True)
class Endpoint:
    """The last known state of an endpoint.

    Attributes:
        endpoint: Its id, which is the name of its VM.
        vm: The VM as listed.
        report: Its last report.
        reported_at: When that report was requested, on this process's
            monotonic clock; 0 if there was no report.
        is_leaving: Whether any signal said that it leaves.
        is_down: Whether it failed since its last report.
        failures: Number of consecutive failures.
        failed_at: When it last failed, on this process's monotonic clock.
    """

    endpoint: ids.EndpointId
    vm: inventory.Vm
    report: reports.LoadReport = _NO_REPORT
    reported_at: float = 0.0
    is_leaving: bool = False
    is_down: bool = False
    failures: int = 0
    failed_at: float = 0.0

    @property
    def state(self) -> EndpointState:
        """Whether the endpoint is sent new requests."""
        if self.is_leaving:
            return EndpointState.LEAVING
        if self.is_down:
            return EndpointState.DOWN
        if not self.reported_at:
            return EndpointState.UNSEEN
        return EndpointState.LIVE

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent."""
        return self.state in (EndpointState.LIVE, EndpointState.UNSEEN)


class Directory:
    """The endpoints that this daemon knows.

    Attributes:
        version: Increases when an endpoint is added or removed, or changes its
            state, weights or incarnation, so that derived data can be
            recomputed.
    """

    def __init__(self) -> None:
        self._endpoints: dict[ids.EndpointId, Endpoint] = {}
        self.version = 0

    def __iter__(self):
        return iter(self._endpoints.values())

    def __len__(self) -> int:
        return len(self._endpoints)

    def find(self, endpoint: ids.EndpointId) -> Endpoint | None:
        """Returns an endpoint by its id."""
        return self._endpoints.get(endpoint)

    def merge(self, vms: Iterable[inventory.Vm]) -> None:
        """Replaces the VM list; endpoints that are not listed are removed."""
        listed = {vm.vm: vm for vm in vms}
        for name in list(self._endpoints):
            if name not in listed:
                del self._endpoints[name]
                self.version += 1
        for vm in listed.values():
            self._merge_vm(vm)

    def _merge_vm(self, vm: inventory.Vm) -> None:
        endpoint = ids.EndpointId(vm.vm)
        known = self._endpoints.get(endpoint)
        if known is None or known.vm.address != vm.address:
            known = Endpoint(endpoint, vm)
            self._endpoints[endpoint] = known
            self.version += 1
        if vm.state is inventory.VmState.LEAVING:
            self.record_leaving(endpoint)

    def record_leaving(
        self,
        endpoint: ids.EndpointId,
        incarnation: ids.Incarnation | None = None,
    ) -> bool:
        """Records that an endpoint leaves.

        Args:
            endpoint: Id of the endpoint.
            incarnation: The incarnation that leaves; None for any.

        Returns:
            Whether this was not known before.
        """
        known = self._endpoints.get(endpoint)
        if known is None or known.is_leaving:
            return False
        if incarnation not in (None, known.report.incarnation):
            return False
        known.is_leaving = True
        self.version += 1
        return True

    def record_report(
        self,
        endpoint: ids.EndpointId,
        report: reports.LoadReport,
        requested_at: float,
        alive_at: float | None = None,
    ) -> None:
        """Records an endpoint's own report, unless a newer one is known.

        Args:
            endpoint: Id of the endpoint.
            report: Its report.
            requested_at: When it was requested, on this process's monotonic
                clock. The time of receipt would be wrong: a response that is
                read late may come from an endpoint that has crashed since.
            alive_at: A time at which the endpoint was certainly alive; None if
                that is ``requested_at``.
        """
        known = self._endpoints.get(endpoint)
        if known is None or requested_at <= known.reported_at:
            return
        before = (known.state, known.report.weights, known.report.incarnation)
        has_restarted = known.report.incarnation != report.incarnation
        known.report = report
        known.reported_at = requested_at
        confirmed_at = requested_at if alive_at is None else alive_at
        if has_restarted or known.failed_at < confirmed_at:
            known.is_down = False
            known.failures = 0
        if report.leaving:
            known.is_leaving = True
        elif has_restarted and known.vm.state is inventory.VmState.LIVE:
            known.is_leaving = False
        after = (known.state, report.weights, report.incarnation)
        if before != after:
            self.version += 1

    def record_failure(self, endpoint: ids.EndpointId, at: float) -> None:
        """Records that an endpoint could not be reached at a time."""
        known = self._endpoints.get(endpoint)
        if known is None:
            return
        known.failed_at = max(known.failed_at, at)
        known.failures += 1
        if not known.is_down:
            known.is_down = True
            self.version += 1

    def list_application_servers(self, service: str) -> list[Endpoint]:
        """Returns the usable servers of an application, least loaded first."""
        found = [
            e
            for e in self._endpoints.values()
            if e.vm.kind is inventory.EndpointKind.APPLICATION
            and e.vm.service == service
            and e.is_usable
        ]
        return sorted(found, key=lambda e: (e.report.running, e.endpoint))

    def list_engines(self) -> list[Endpoint]:
        """Returns the usable model engines, ordered by id.

        If none is usable, those that are down are returned: the fault may be in
        the network between this daemon and them, and an attempt costs nothing
        more.
        """
        engines = [
            e
            for e in self._endpoints.values()
            if e.vm.kind is inventory.EndpointKind.MODEL_ENGINE
            and not e.is_leaving
        ]
        found = [e for e in engines if e.is_usable] or engines
        return sorted(found, key=lambda e: e.endpoint)

    def list_serving(
        self, target: str, weights: ids.WeightsVersion, min_engines: int
    ) -> list[Endpoint]:
        """Returns the usable engines that serve a model or an adapter.

        Engines with other weights are included only while fewer than
        ``min_engines`` have the target version, so that a rollout never
        interrupts the service.

        Args:
            target: Name of the model or adapter.
            weights: The target weights version.
            min_engines: Minimum number of ready engines the model needs.
        """
        serving = [e for e in self.list_engines() if target in e.report.weights]
        ready = [e for e in serving if e.report.weights[target] == weights]
        return ready if len(ready) >= min_engines else serving
