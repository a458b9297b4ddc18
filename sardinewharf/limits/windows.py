"""Limits retries to a budget over a sliding window.

The budget of the whole deployment is split between its gateways, so that all of
them together stay within it in any window without communicating.

Examples:
    >>> budget = WindowBudget(BudgetShare(0.5, extra=2.0, window_s=10.0))
    >>> budget.take(now=0.0), budget.take(now=0.0), budget.take(now=0.0)
    (True, True, False)
    >>> budget.count_request(now=1.0); budget.count_request(now=1.0)
    >>> budget.take(now=1.0), budget.take(now=1.0)
    (True, False)
    >>> budget.take(now=12.0)
    True
    >>> budget.has_spare(now=12.0), budget.take(now=12.0)
    (True, True)
    >>> budget.has_spare(now=12.0)
    False

See Also:
    ``retries.RetryBudget``, which has no window.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetShare:
    """One gateway's part of a retry budget.

    Attributes:
        ratio: Retries per request that this gateway sends for the first time.
        extra: Additional retries in each window.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class WindowBudget:
    """A budget of retries over a sliding window.

    Args:
        share: This gateway's part of the budget; may be replaced at any time.
    """

    def __init__(self, share: BudgetShare):
        self.share = share
        self._request_times: collections.deque[float] = collections.deque()
        self._retry_times: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        """Records that a request is sent for the first time."""
        self._request_times.append(now)
        self._expire(self._request_times, now)

    def read_remaining(self, now: float) -> float:
        """Returns how many retries are left."""
        self._expire(self._request_times, now)
        self._expire(self._retry_times, now)
        allowed = self.share.extra + self.share.ratio * len(self._request_times)
        return allowed - len(self._retry_times)

    def has_spare(self, now: float) -> bool:
        """Returns whether half of the retries or more are left."""
        remaining = self.read_remaining(now)
        allowed = remaining + len(self._retry_times)
        return remaining >= max(1.0, allowed / 2)

    def take(self, now: float) -> bool:
        """Takes one retry; returns whether there was one left."""
        if self.read_remaining(now) < 1.0:
            return False
        self._retry_times.append(now)
        return True

    def _expire(self, times: collections.deque[float], now: float) -> None:
        """Removes the times that are no longer in the window."""
        while times and times[0] <= now - self.share.window_s:
            times.popleft()
