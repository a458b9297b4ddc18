"""Checks that servers which ask for a pause get it."""

import bisect
import collections
import math

from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak import journals
from sardinewharf.soak.invariants import checks

# A gateway has read a refusal after this time.
_READ_S = 0.5
_MAX_ARRIVALS = 2
_BACKOFF_STATUS = 503
# Faults of a gateway and its links.
_VM_FAULTS = (
    faults_lib.Kill,
    faults_lib.Restart,
    faults_lib.Pause,
    faults_lib.LinkFault,
)


class BackoffCheck(checks.Check):
    """Checks arrivals after refusals with a ``Retry-After``."""

    def check(self) -> None:
        """Checks nothing, since it is not known yet which faults excuse it."""

    def check_final(self, now: float) -> None:
        """Checks all refusals."""
        sent = self.record.list_attempts()
        arrivals = collections.defaultdict(list)
        for note in self.record.arrived:
            if note.request in sent:
                gateway = sent[note.request].gateway
                arrivals[gateway, note.server].append(note.at)
        for times in arrivals.values():
            times.sort()
        for refusal in self.record.refused:
            if refusal.request in sent:
                gateway = sent[refusal.request].gateway
                times = arrivals[gateway, refusal.server]
                self._check_refusal(refusal, gateway, times)

    def _check_refusal(
        self, refusal: journals.Refused, gateway: str, arrivals: list[float]
    ) -> None:
        pause_s = read_pause(refusal.retry_after)
        if refusal.status != _BACKOFF_STATUS or not pause_s:
            return
        since = refusal.at + _READ_S
        until = min(
            refusal.at + pause_s,
            self.record.find_restart(refusal.server, refusal.at),
        )
        count = bisect.bisect_left(arrivals, until) - bisect.bisect_right(
            arrivals, since
        )
        if count > _MAX_ARRIVALS and not self._is_excused(
            refusal, gateway, until
        ):
            self.add_finding(
                checks.Invariant.BACKOFF,
                f"{count} requests from {gateway} reached {refusal.server}"
                f" within {pause_s} s after it refused {refusal.request}",
            )

    def _is_excused(
        self, refusal: journals.Refused, gateway: str, until: float
    ) -> bool:
        """Returns whether the gateway may not know of a refusal.

        A fault of the server may keep the refusal from it, a fault of its own
        or of its links may make it forget it.
        """
        timeline = self.record.timeline
        own = {gateway, f"front-{gateway}", f"store-{gateway}"}
        server = {refusal.server.split(".")[0]}
        return timeline.affects_any(
            own, refusal.at, until, _VM_FAULTS
        ) or timeline.harms_any(server, refusal.at, refusal.at)


def read_pause(retry_after: str) -> float:
    """Returns the seconds of a ``Retry-After``; 0 if it has no sound number.

    Examples:
        >>> [read_pause(text) for text in ("2.5", "-3", "soon", "nan", "")]
        [2.5, 0.0, 0.0, 0.0, 0.0]
    """
    try:
        pause_s = float(retry_after)
    except ValueError:
        return 0.0
    return pause_s if 0 < pause_s < math.inf else 0.0
