"""When faults were injected into a soak run, and what they affect."""

import dataclasses

from sardinewharf import clocks
from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults as faults_lib

_RECOVERY_S = deployment_lib.GUARANTEES.recovery_ms / 1000
_GRACE_S = deployment_lib.GUARANTEES.grace_ms / 1000
# A gateway's fault affects requests that are sent this soon after its end.
_AFTERMATH_S = 1.0
# Faults are written down slightly later than they begin and end.
CLOCK_SLACK_S = 0.3
# A gateway that was started accepts connections after this time at most.
_STARTUP_S = 15.0
_STORE_FAULTS = (faults_lib.StoreFault, faults_lib.CompactStore)
# Faults of a gateway's VM; a restart is planned, yet the gateway is away.
_VM_FAULTS = (
    faults_lib.Kill,
    faults_lib.Pause,
    faults_lib.Restart,
    faults_lib.LinkFault,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The faults and planned operations of a soak run.

    Attributes:
        started_at: Monotonic time of the start, in seconds.
        faults: Faults, with times relative to the start.
    """

    started_at: float
    faults: list[faults_lib.Fault]

    def is_fault_free(self, since: float, until: float) -> bool:
        """Returns whether no unplanned fault affects a time span.

        A fault also affects the span if it ended less than the recovery bound
        before it.

        Args:
            since: Monotonic time of the span's start, in seconds.
            until: Monotonic time of the span's end, in seconds.
        """
        start = since - _RECOVERY_S - self.started_at
        end = until - self.started_at
        unplanned = [f for f in self.faults if not f.is_planned]
        return not faults_lib.overlaps(
            unplanned, clocks.Deadline(start), clocks.Deadline(end)
        )

    def is_calm_beside(
        self, kinds: tuple[type, ...], since: float, until: float
    ) -> bool:
        """Returns whether no unplanned fault of other kinds affects a span.

        Args:
            kinds: Classes of the faults that are not considered.
            since: Monotonic time of the span's start, in seconds.
            until: Monotonic time of the span's end, in seconds.
        """
        others = [
            fault
            for fault in self.faults
            if not fault.is_planned and not isinstance(fault, kinds)
        ]
        return not self._overlaps(others, since, until)

    def is_in_touch(self, gateway: str, since: float, until: float) -> bool:
        """Returns whether a gateway ran and reached the store for some time.

        A fault of the gateway, its links or the store also counts if it ended
        less than the recovery bound before the time span.

        Args:
            gateway: Name of the gateway.
            since: Monotonic time of the span's start, in seconds.
            until: Monotonic time of the span's end, in seconds.
        """
        names = {gateway, f"front-{gateway}", f"store-{gateway}", "store"}
        own = [
            fault
            for fault in self.faults
            if isinstance(fault, _STORE_FAULTS)
            or (isinstance(fault, _VM_FAULTS) and fault.name in names)
        ]
        start = since - _RECOVERY_S - self.started_at
        end = until + CLOCK_SLACK_S - self.started_at
        return not faults_lib.overlaps(
            own, clocks.Deadline(start), clocks.Deadline(end)
        )

    def affects_gateway(
        self, attempt: callers.Attempt, kinds: tuple[type, ...]
    ) -> bool:
        """Returns whether a fault of an attempt's gateway affects it.

        Args:
            attempt: The attempt.
            kinds: Classes of the faults that are considered. A link's faults
                affect only what passes through the proxy.
        """
        link = "" if attempt.is_direct else f"front-{attempt.gateway}"
        return self.affects_any(
            {attempt.gateway, link}, attempt.sent_at, attempt.ended_at, kinds
        )

    def affects_any(
        self,
        names: set[str],
        since: float,
        until: float,
        kinds: tuple[type, ...] = (faults_lib.Fault,),
    ) -> bool:
        """Returns whether a fault of a named process or link affects a span.

        Args:
            names: Names of processes and links.
            since: Monotonic time of the span's start, in seconds.
            until: Monotonic time of the span's end, in seconds.
            kinds: Classes of the faults that are considered.
        """
        own = [f for f in self._list_faults(names) if isinstance(f, kinds)]
        return self._overlaps(own, since, until)

    def harms_any(self, names: set[str], since: float, until: float) -> bool:
        """The same for unplanned faults of all classes."""
        own = [f for f in self._list_faults(names) if not f.is_planned]
        return self._overlaps(own, since, until)

    def _list_faults(self, names: set[str]) -> list[faults_lib.Fault]:
        return [f for f in self.faults if getattr(f, "name", "") in names]

    def _overlaps(
        self, own: list[faults_lib.Fault], since: float, until: float
    ) -> bool:
        start = since - _AFTERMATH_S - self.started_at
        end = until + CLOCK_SLACK_S - self.started_at
        return faults_lib.overlaps(
            own, clocks.Deadline(start), clocks.Deadline(end)
        )

    def find_stop(self, attempt: callers.Attempt) -> float | None:
        """Returns when the shutdown began within which an attempt ended."""
        ended_at = attempt.ended_at - self.started_at
        for fault in self.faults:
            if (
                not isinstance(fault, faults_lib.Restart)
                or fault.name != attempt.gateway
            ):
                continue
            # Until the process has started again, the end is not known.
            end = max(fault.until, fault.at + _GRACE_S)
            if fault.at < ended_at < end + CLOCK_SLACK_S:
                return self.started_at + fault.at
        return None

    def is_gateway_down(self, attempt: callers.Attempt) -> bool:
        """Returns whether a gateway stops, or may not have started yet."""
        return any(
            isinstance(fault, (faults_lib.Kill, faults_lib.Restart))
            and fault.name == attempt.gateway
            and fault.at - CLOCK_SLACK_S
            < attempt.ended_at - self.started_at
            < fault.until + _STARTUP_S
            for fault in self.faults
        )
