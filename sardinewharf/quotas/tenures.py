"""Holds a time for which a gateway keeps a quota without interruption."""

import dataclasses
import math

from sardinewharf.quotas import buckets

# A gateway that was registered for less than this is not active, in seconds.
_DOUBT_S = 2.5


@dataclasses.dataclass(slots=True)
class Tenure:
    """A time for which this gateway keeps a quota without interruption.

    Attributes:
        before: The gateways of a better rank.
        absences: Since when each of them has been absent.
        active_since: Since when this gateway is active.
        bucket: The tokens.
        slow_until: Until when the bucket fills more slowly.
        credit: Tokens with which it began, beyond those that were not granted.
        doubted_at: When a gateway of a better rank was registered; before all
            times if none was.
        is_settled: Whether the bucket has been given all that it may begin
            with; it is not yet while a fleet starts.
    """

    before: tuple[str, ...]
    absences: tuple[float, ...]
    active_since: float
    bucket: buckets.DebtBucket
    slow_until: float
    credit: float
    is_settled: bool
    doubted_at: float = -math.inf

    def go_on(
        self,
        before: tuple[str, ...],
        absences: list[tuple[float, bool]],
        active_since: float,
        now: float,
    ) -> bool:
        """Returns whether nobody else can have kept the quota since.

        Gateways that were registered since are not active for a while, and are
        absent now.

        Args:
            before: The gateways of a better rank.
            absences: Since when each of them is absent, and whether by silence.
            active_since: Since when this gateway is active.
            now: The time.
        """
        known = dict(zip(self.before, self.absences, strict=True))
        since = dict(zip(before, (at for at, _ in absences), strict=True))
        if self.active_since != active_since:
            return False
        if any(since.get(name) != at for name, at in known.items()):
            return False
        if len(before) > len(known) and now - self.doubted_at > _DOUBT_S:
            return False
        self.before = before
        self.absences = tuple(since.values())
        self.doubted_at = -math.inf
        return True
