"""Checks that servers which leave get no requests later on."""

from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import journals
from sardinewharf.soak.invariants import checks
from sardinewharf.soak.invariants import timelines

_DRAIN_S = deployment_lib.GUARANTEES.endpoint_drain_ms / 1000
_READY = "ready"
_WRONG_SERVER_STATUS = 421


class DrainCheck(checks.Check):
    """Checks the arrivals at servers whose entry says that they leave."""

    def check(self) -> None:
        """Checks all arrivals."""
        sent = self.record.list_attempts()
        for arrival in self.record.arrived:
            attempt = sent.get(arrival.request)
            if attempt is None or self._is_misdirected(arrival):
                continue
            self._check_entry(attempt, arrival)

    def _is_misdirected(self, arrival: journals.Arrived) -> bool:
        """Returns whether the server said that it is not the right one."""
        refusal = self.record.refused.get((arrival.request, arrival.server))
        return refusal is not None and refusal.status == _WRONG_SERVER_STATUS

    def _check_entry(
        self, attempt: callers.Attempt, arrival: journals.Arrived
    ) -> None:
        left_at = self._find_drain(arrival)
        if left_at is None or not _is_late(attempt, left_at):
            return
        if self.record.timeline.is_in_touch(
            attempt.gateway, left_at, attempt.sent_at
        ):
            late_s = attempt.sent_at - left_at
            self.add_finding(
                checks.Invariant.DRAIN,
                f"{attempt.request} from {attempt.gateway} reached"
                f" {arrival.server} {late_s:.2f} s after its entry left",
            )

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


def _is_late(attempt: callers.Attempt, left_at: float) -> bool:
    return attempt.sent_at > left_at + _DRAIN_S + timelines.CLOCK_SLACK_S
