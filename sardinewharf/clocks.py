"""Reads clocks, and represents time limits as deadlines, not durations.

Examples:
    >>> deadline = Deadline.after(5.0, now=100.0)
    >>> deadline.remaining(now=103.0)
    2.0
    >>> deadline.is_past(now=105.0)
    True
"""

import dataclasses
import time


def read_monotonic() -> float:
    """Returns the monotonic time of this machine, in seconds.

    Unlike ``time.monotonic``, it advances while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall() -> float:
    """Returns the wall-clock time, in seconds since the epoch."""
    return time.time()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """A point in time on this machine's monotonic clock.

    Attributes:
        at: Monotonic time in seconds.

    Examples:
        >>> Deadline(10.0) < Deadline(11.0)
        True
    """

    at: float

    @classmethod
    def after(cls, seconds: float, now: float | None = None) -> "Deadline":
        """Returns the deadline that is ``seconds`` from now."""
        start = read_monotonic() if now is None else now
        return cls(start + seconds)

    def remaining(self, now: float | None = None) -> float:
        """Returns the seconds left, never below zero."""
        current = read_monotonic() if now is None else now
        return max(0.0, self.at - current)

    def is_past(self, now: float | None = None) -> bool:
        """Returns whether the deadline has been reached."""
        return self.remaining(now) <= 0.0

    def earlier(self, other: "Deadline") -> "Deadline":
        """Returns the earlier of two deadlines."""
        return min(self, other)
