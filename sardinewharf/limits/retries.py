"""Limits retries to a share of the requests, to prevent retry storms.

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
    """A budget of retries, refilled by requests and, slowly, over time.

    The refill over time lets a daemon with few callers retry again after a
    fault that used up the whole reserve.

    Args:
        ratio: Retries added by each request.
        reserve: Maximum number of unused retries, and those at the start.
        retries_per_s: Retries added per second.
        now: Current monotonic time in seconds; None reads the clock.
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
        """Records a request, which adds to the budget."""
        self._bucket.add(self._ratio)

    def take(self, now: float | None = None) -> bool:
        """Takes one retry from the budget, if there is one.

        Args:
            now: Current monotonic time in seconds; None reads the clock.

        Returns:
            Whether a retry was left.
        """
        return not self._bucket.take(_read_clock(now))


def _read_clock(now: float | None) -> float:
    return clocks.read_monotonic() if now is None else now
