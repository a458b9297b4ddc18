"""Keeps requests that are sent again within a budget over sliding windows.

The budget of the whole deployment is split between its gateways, so that the
sum over all keeps it in any window without a word between them.

Examples:
    >>> budget = WindowBudget(BudgetShare(0.5, extra=2.0, window_s=10.0))
    >>> budget.take(now=0.0), budget.take(now=0.0), budget.take(now=0.0)
    (True, True, False)
    >>> budget.count_request(now=1.0); budget.count_request(now=1.0)
    >>> budget.take(now=1.0), budget.take(now=1.0)
    (True, False)
    >>> budget.take(now=12.0)
    True

See Also:
    ``retries.RetryBudget``, which has no window.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetShare:
    """One gateway's part of a budget.

    Attributes:
        ratio: Repeats for each request of its own.
        extra: Repeats beyond those, in a window.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class WindowBudget:
    """A budget of repeats over a sliding window.

    Args:
        share: This gateway's part; may be replaced at any time.
    """

    def __init__(self, share: BudgetShare):
        self.share = share
        self._request_times: collections.deque[float] = collections.deque()
        self._retry_times: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        """Counts a request's first send."""
        self._request_times.append(now)
        self._expire(self._request_times, now)

    def read_remaining(self, now: float) -> float:
        """Returns how many repeats are left."""
        self._expire(self._request_times, now)
        self._expire(self._retry_times, now)
        allowed = self.share.extra + self.share.ratio * len(self._request_times)
        return allowed - len(self._retry_times)

    def take(self, now: float) -> bool:
        """Takes one repeat; returns whether there was one."""
        if self.read_remaining(now) < 1.0:
            return False
        self._retry_times.append(now)
        return True

    def _expire(self, times: collections.deque[float], now: float) -> None:
        while times and times[0] <= now - self.share.window_s:
            times.popleft()
