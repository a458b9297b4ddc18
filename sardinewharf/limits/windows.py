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
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        """Counts a request's first send."""
        self._requests.append(now)
        self._forget(self._requests, now)

    def read_left(self, now: float) -> float:
        """Returns how many repeats are left."""
        self._forget(self._requests, now)
        self._forget(self._repeats, now)
        allowed = self.share.extra + self.share.ratio * len(self._requests)
        return allowed - len(self._repeats)

    def take(self, now: float) -> bool:
        """Takes one repeat; returns whether there was one."""
        if self.read_left(now) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, times: collections.deque[float], now: float) -> None:
        while times and times[0] <= now - self.share.window_s:
            times.popleft()
