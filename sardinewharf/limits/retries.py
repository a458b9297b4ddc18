"""Keeps retries to a share of the requests, so that they cannot storm.

Examples:
    >>> budget = RetryBudget(ratio=0.5, reserve=1.0, retries_per_s=0.1, now=0.0)
    >>> budget.take(now=0.0), budget.take(now=0.0)
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.take(now=0.0)
    True
    >>> budget.take(now=5.0), budget.take(now=10.0)
    (False, True)
"""

from sardinewharf import clocks
from sardinewharf.limits import buckets

_RETRIES_PER_S = 2.0


class RetryBudget:
    """A budget of retries, earned by requests and, slowly, by time.

    What time earns lets a daemon with few callers retry again after a fault
    that took the whole reserve.

    Args:
        ratio: Retries earned by each request.
        reserve: Most retries kept, and those available at the start.
        retries_per_s: Retries earned by each second.
        now: Current time in seconds; None reads the clock.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        reserve: float = 20.0,
        retries_per_s: float = _RETRIES_PER_S,
        now: float | None = None,
    ):
        self._ratio = ratio
        self._bucket = buckets.TokenBucket(
            retries_per_s, reserve, _read_clock(now)
        )

    def earn(self) -> None:
        """Counts a request."""
        self._bucket.add(self._ratio)

    def take(self, now: float | None = None) -> bool:
        """Takes one retry; returns whether there was one.

        Args:
            now: Current time in seconds; None reads the clock.
        """
        return not self._bucket.take(_read_clock(now))


def _read_clock(now: float | None) -> float:
    return clocks.read_monotonic() if now is None else now
