"""Keeps retries to a share of the requests, so that they cannot storm.

Examples:
    >>> budget = RetryBudget(ratio=0.5, reserve=1.0, floor=0.1)
    >>> budget.take(now=0.0), budget.take(now=0.0)
    (True, False)
    >>> budget.earn(); budget.earn()
    >>> budget.take(now=0.0)
    True
    >>> budget.take(now=5.0), budget.take(now=10.0)
    (False, True)
"""

from sardinewharf import clocks

_FLOOR_PER_S = 2.0


class RetryBudget:
    """A budget of retries, earned by requests and, slowly, by time.

    What time earns lets a daemon with few callers retry again after a fault
    that took the whole reserve.

    Args:
        ratio: Retries earned by each request.
        reserve: Most retries kept, and those available at the start.
        floor: Retries earned by each second.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        reserve: float = 20.0,
        floor: float = _FLOOR_PER_S,
    ):
        self._ratio = ratio
        self._reserve = reserve
        self._floor = floor
        self._left = reserve
        self._earned_at: float | None = None

    def earn(self) -> None:
        """Counts a request."""
        self._add(self._ratio)

    def take(self, now: float | None = None) -> bool:
        """Takes one retry; returns whether there was one.

        Args:
            now: Current time in seconds; None reads the clock.
        """
        at = clocks.read_monotonic() if now is None else now
        if self._earned_at is not None:
            self._add(self._floor * (at - self._earned_at))
        self._earned_at = at
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def _add(self, retries: float) -> None:
        self._left = min(self._reserve, self._left + retries)
