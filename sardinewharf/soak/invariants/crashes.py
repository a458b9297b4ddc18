"""Checks that requests and parts which crash servers are stopped."""

import collections

from sardinewharf.soak import crashes as crashes_lib
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak.invariants import checks
from sardinewharf.soak.invariants import records

# Crashes of a request, and of a part, after which further arrivals are counted.
_MAX_CRASHES = 3
MAX_PART_CRASHES = 5
# Arrivals that are allowed once all gateways must know of the crashes.
_MAX_LATE = 3
_CONTACT_S = deployment_lib.GUARANTEES.recovery_ms / 1000


class CrashCheck(checks.Check):
    """Counts arrivals of what has crashed servers."""

    def check(self) -> None:
        """Checks nothing, since it is not known yet which faults excuse it."""

    def check_final(self, now: float) -> None:
        """Checks each request and part that crashes servers."""
        sent = self.record.list_attempts()
        arrivals = collections.defaultdict(list)
        for note in self.record.arrived:
            if note.request in sent and sent[note.request].crash_order:
                arrivals[sent[note.request].crash_order].append(note)
        for order, times in list_crashes(self.record).items():
            is_part = crashes_lib.read_order(order).is_part
            allowed = MAX_PART_CRASHES if is_part else _MAX_CRASHES
            if len(times) >= allowed:
                last_at = sorted(times)[allowed - 1]
                self._check_order(order, last_at, arrivals[order], sent)

    def _check_order(self, order, last_at, arrivals, sent) -> None:
        late = [
            note
            for note in arrivals
            if note.at > last_at + _CONTACT_S
            and self._must_know(sent[note.request].gateway, last_at, note.at)
        ]
        if len(late) > _MAX_LATE:
            self.add_finding(
                checks.Invariant.CRASHES,
                f"{order.decode()} reached servers {len(late)} times after its"
                f" last crash that is allowed:"
                f" {[note.request for note in late]}",
            )

    def _must_know(self, gateway: str, last_at: float, at: float) -> bool:
        """Returns whether a gateway was in touch since the last crash."""
        return self.record.timeline.is_in_touch(gateway, last_at, at)


def list_crashes(record: records.Record) -> dict[bytes, list[float]]:
    """Returns the times at which each order has crashed servers."""
    sent = record.list_attempts()
    crashed = collections.defaultdict(list)
    for note in record.crashed:
        crashed[sent[note.request].crash_order].append(note.at)
    return crashed
