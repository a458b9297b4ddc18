"""Checks that sound requests are served beside parts that crash servers."""

import math

from sardinewharf.soak import callers
from sardinewharf.soak import crashes as crashes_lib
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak.invariants import checks
from sardinewharf.soak.invariants import crashes

_CONTACT_S = deployment_lib.GUARANTEES.recovery_ms / 1000
# Sound requests must be served this often, as a share of before.
_MIN_SHARE = 0.5
# Fewer requests say nothing.
_MIN_REQUESTS = 20
# The crashes themselves are what sound requests are compared beside.
_CRASH_FAULTS = (faults_lib.CrashingRequest, faults_lib.CrashRisk)


class SoundCheck(checks.Check):
    """Counts sound requests before a part crashed servers, and after.

    They are those streams which crash nothing; all share their first part with
    those that do. Requests beside other faults are left out.
    """

    def check(self) -> None:
        """Checks nothing, since it is not known yet which faults excuse it."""

    def check_final(self, now: float) -> None:
        """Checks each part that crashes servers."""
        crashed = crashes.list_crashes(self.record)
        first_at = min(map(min, crashed.values()), default=math.inf)
        before = [row for row in self._list_sound() if row.sent_at < first_at]
        for order, times in crashed.items():
            if crashes_lib.read_order(order).is_part:
                self._check_part(order, times, before)

    def _check_part(
        self, order: bytes, times: list[float], before: list[callers.Attempt]
    ) -> None:
        counted = sorted(times)[: crashes.MAX_PART_CRASHES]
        settled_at = counted[-1] + 2 * _CONTACT_S
        end = max(
            row.sent_at
            for row in self.record.pool.attempts
            if row.crash_order == order
        )
        after = [
            row
            for row in self._list_sound()
            if settled_at <= row.sent_at < end
            and self.record.timeline.is_in_touch(
                row.gateway, counted[-1], row.ended_at
            )
        ]
        if min(len(before), len(after)) < _MIN_REQUESTS:
            return
        shares = [_count_served(rows) for rows in (before, after)]
        if shares[1] < _MIN_SHARE * shares[0]:
            self.add_finding(
                checks.Invariant.SOUND,
                f"of {len(after)} sound requests {shares[1]:.2f} were served"
                f" beside {order.decode()}, {shares[0]:.2f} before",
            )

    def _list_sound(self) -> list[callers.Attempt]:
        timeline = self.record.timeline
        return [
            row
            for row in self.record.pool.attempts
            if row.is_stream
            and row.was_sent
            and not row.crash_order
            and not row.disconnected_at
            and row.status not in (401, 403, 404)
            and timeline.is_calm_beside(
                _CRASH_FAULTS, row.sent_at, row.ended_at
            )
        ]


def _count_served(attempts: list[callers.Attempt]) -> float:
    """Returns the share of requests that were served."""
    served = [row.status == 200 and row.is_complete for row in attempts]
    return sum(served) / len(served)
