"""Keeps the tokens of one quota.

The bucket may go into debt by one request, so that short requests, which need
few tokens, do not keep long ones from ever finding enough.

Examples:
    >>> quota = catalog.Quota(rate=10.0, burst=20.0)
    >>> bucket = DebtBucket(quota, 20.0, debt_limit=30.0, level=20.0, now=0.0)
    >>> bucket.take(40, now=0.0), bucket.take(1, now=1.0)
    (True, False)
    >>> bucket.count_wait(1, now=1.0)
    1.1
    >>> bucket.take(1, now=2.2)
    True
"""

from sardinewharf import catalog

# Longest time after which a refused request is promised to be admitted. Callers
# that are refused for longer than that ask again in between, in seconds.
_MAX_PROMISE_S = 30.0


class DebtBucket:
    """A token bucket that a request may leave in debt.

    Args:
        quota: The quota.
        capacity: Most tokens that it may hold.
        debt_limit: Largest debt that a request may leave. One that costs more
            than the capacity and this debt is admitted when the bucket is full.
        level: Tokens at the start.
        now: Current monotonic time in seconds.

    Attributes:
        capacity: Most tokens that it may hold.
    """

    def __init__(
        self,
        quota: catalog.Quota,
        capacity: float,
        debt_limit: float,
        level: float,
        now: float,
    ):
        self._quota = quota
        self.capacity = capacity
        self._debt_limit = debt_limit
        self._level = level
        self._filled_at = now
        # Until then, what is added was promised to requests refused before.
        self._promised_until = now

    @property
    def quota(self) -> catalog.Quota:
        """The quota whose tokens the bucket holds."""
        return self._quota

    def set_quota(
        self,
        quota: catalog.Quota,
        capacity: float,
        debt_limit: float,
        now: float,
    ) -> None:
        """Applies a changed quota from now on."""
        self.fill(now)
        self._quota = quota
        self.capacity = capacity
        self._debt_limit = debt_limit
        self._level = min(self._level, capacity)

    def fill(self, now: float, share: float = 1.0) -> float:
        """Adds the tokens of the time since the last call.

        Args:
            now: The time.
            share: Share of the rate at which tokens were added meanwhile.

        Returns:
            The tokens in the bucket; below 0 if it is in debt.
        """
        added = max(0.0, now - self._filled_at) * self._quota.rate * share
        self._filled_at = max(self._filled_at, now)
        self._level = min(self.capacity, self._level + added)
        return self._level

    def skip(self, now: float) -> None:
        """Adds no tokens for the time since the last call."""
        self._filled_at = max(self._filled_at, now)

    def take(self, tokens: float, now: float) -> bool:
        """Returns whether a request of this cost is admitted."""
        if self.fill(now) < self._find_need(tokens):
            return False
        self._level -= tokens
        return True

    def take_extra(self, tokens: float, reserve: float, now: float) -> int:
        """Takes up to so many tokens, and leaves a reserve."""
        taken = int(max(0.0, min(tokens, self.fill(now) - reserve)))
        self._level -= taken
        return taken

    def put(self, tokens: float, now: float) -> None:
        """Returns tokens that were not used."""
        self.fill(now)
        self._level = min(self.capacity, self._level + tokens)

    def promise(self, tokens: float, now: float) -> float:
        """Returns the seconds after which a refused request is admitted.

        Requests that were refused before are assumed to come back as they were
        told, and to be admitted first.
        """
        at = max(now + self.count_wait(tokens, now), self._promised_until)
        latest = now + _MAX_PROMISE_S
        self._promised_until = min(latest, at + tokens / self._quota.rate)
        return min(latest, at) - now

    def count_promised(self, now: float) -> float:
        """Returns for how many seconds refused requests will come back."""
        return max(0.0, self._promised_until - now)

    def count_wait(self, tokens: float, now: float) -> float:
        """Returns the seconds until a request of this cost is admitted."""
        missing = self._find_need(tokens) - self.fill(now)
        return max(0.0, missing / self._quota.rate)

    def _find_need(self, tokens: float) -> float:
        """Returns the level at which a request of this cost is admitted."""
        need = max(1.0, tokens - self._debt_limit)
        return min(self.capacity, need)
