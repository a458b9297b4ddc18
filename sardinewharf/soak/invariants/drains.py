"""Checks that servers which leave get no requests later on."""

import bisect
import collections

from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak import journals
from sardinewharf.soak.invariants import checks
from sardinewharf.soak.invariants import records
from sardinewharf.soak.invariants import timelines

_DRAIN_S = deployment_lib.GUARANTEES.endpoint_drain_ms / 1000
_LATE_S = _DRAIN_S + timelines.CLOCK_SLACK_S
_READY = "ready"
_WRONG_SERVER_STATUS = 421
# After these a gateway may not know what a server said before.
_FORGETTING = (faults_lib.Kill, faults_lib.Restart, faults_lib.Pause)


class DrainCheck(checks.Check):
    """Checks the arrivals at servers that leave.

    A server leaves if its entry says so, or a response that a gateway has
    passed on.

    Args:
        record: What was recorded so far.
    """

    def __init__(self, record: records.Record):
        super().__init__(record)
        # When each gateway passed on such responses, by gateway and server.
        self._passed: dict[tuple[str, str], list[float]] = {}

    def check(self) -> None:
        """Checks nothing, since it is not known yet which faults excuse it."""

    def check_final(self, now: float) -> None:
        """Checks all arrivals."""
        self._passed = self._list_passed()
        sent = self.record.list_attempts()
        misdirected = {
            (refusal.request, refusal.server)
            for refusal in self.record.refused
            if refusal.status == _WRONG_SERVER_STATUS
        }
        for arrival in self.record.arrived:
            attempt = sent.get(arrival.request)
            is_misdirected = (arrival.request, arrival.server) in misdirected
            if attempt is not None and not is_misdirected:
                self._check_entry(attempt, arrival)
                self._check_passed(attempt, arrival)

    def _list_passed(self) -> dict[tuple[str, str], list[float]]:
        """Returns when each gateway passed on that a server leaves."""
        sent = self.record.list_attempts()
        passed = collections.defaultdict(list)
        for note in self.record.leaving:
            attempt = sent.get(note.request)
            if attempt is not None and attempt.stamp == f"{note.server}.stamp":
                passed[attempt.gateway, note.server].append(attempt.ended_at)
        return {key: sorted(times) for key, times in passed.items()}

    def _check_entry(
        self, attempt: callers.Attempt, arrival: journals.Arrived
    ) -> None:
        left_at = self._find_drain(arrival)
        if left_at is None or attempt.sent_at <= left_at + _LATE_S:
            return
        if self.record.timeline.is_in_touch(
            attempt.gateway, left_at, attempt.sent_at
        ):
            self._add_late(attempt, arrival, left_at, "its entry left")

    def _find_drain(self, arrival: journals.Arrived) -> float | None:
        """Returns when the server's entry left, if it still has at arrival."""
        left_at = None
        for note in self.record.states.get(arrival.server, []):
            if note.at > arrival.at:
                break
            if isinstance(note, journals.Started) or note.state == _READY:
                left_at = None
            elif left_at is None:
                left_at = note.at
        return left_at

    def _check_passed(
        self, attempt: callers.Attempt, arrival: journals.Arrived
    ) -> None:
        times = self._passed.get((attempt.gateway, arrival.server), [])
        count = bisect.bisect_left(times, attempt.sent_at - _LATE_S)
        if not count:
            return
        # The last one that is old enough is followed by the fewest faults.
        left_at = times[count - 1]
        is_new = self.record.find_restart(arrival.server, left_at) < arrival.at
        if not is_new and not self.record.timeline.affects_any(
            {attempt.gateway}, left_at, attempt.sent_at, _FORGETTING
        ):
            self._add_late(attempt, arrival, left_at, "it said that it leaves")

    def _add_late(
        self,
        attempt: callers.Attempt,
        arrival: journals.Arrived,
        left_at: float,
        event: str,
    ) -> None:
        late_s = attempt.sent_at - left_at
        self.add_finding(
            checks.Invariant.DRAIN,
            f"{attempt.request} from {attempt.gateway} reached"
            f" {arrival.server} {late_s:.2f} s after {event}",
        )
