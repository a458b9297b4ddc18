"""Checks that requests which crash servers are stopped."""

import collections

from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak.invariants import checks

# Crashes of a request after which its further arrivals are counted.
_MAX_CRASHES = 3
# Arrivals that are allowed once all gateways must know of the crashes.
_MAX_LATE = 3
_CONTACT_S = deployment_lib.GUARANTEES.recovery_ms / 1000


class CrashCheck(checks.Check):
    """Counts how often a request arrives after it has crashed servers."""

    def check(self) -> None:
        """Checks nothing, since it is not known yet which faults excuse it."""

    def check_final(self, now: float) -> None:
        """Checks each request that crashes servers."""
        sent = self.record.list_attempts()
        arrivals = collections.defaultdict(list)
        for note in self.record.arrived:
            if note.request in sent and sent[note.request].sent_body:
                arrivals[sent[note.request].sent_body].append(note)
        crashes = collections.defaultdict(list)
        for note in self.record.crashed:
            crashes[sent[note.request].sent_body].append(note.at)
        for body, times in crashes.items():
            if len(times) >= _MAX_CRASHES:
                third_at = sorted(times)[_MAX_CRASHES - 1]
                self._check_request(body, third_at, arrivals[body], sent)

    def _check_request(self, body, third_at, arrivals, sent) -> None:
        late = [
            note
            for note in arrivals
            if note.at > third_at + _CONTACT_S
            and self._must_know(sent[note.request].gateway, third_at, note.at)
        ]
        if len(late) > _MAX_LATE:
            self.add_finding(
                checks.Invariant.CRASHES,
                f"{body.decode()} reached servers {len(late)} times after its"
                f" third crash: {[note.request for note in late]}",
            )

    def _must_know(self, gateway: str, third_at: float, at: float) -> bool:
        """Returns whether a gateway was in touch since the third crash."""
        return self.record.timeline.is_in_touch(gateway, third_at, at)
