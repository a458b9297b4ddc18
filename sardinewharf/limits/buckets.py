"""Limits a rate while allowing short bursts.

Examples:
    >>> bucket = TokenBucket(rate=2.0, burst=2.0, now=0.0)
    >>> [bucket.take(now=0.0) for _ in range(3)]
    [0.0, 0.0, 0.5]
    >>> bucket.take(now=0.5)
    0.0
"""


class TokenBucket:
    """A token bucket.

    Args:
        rate: Tokens a second.
        burst: Most tokens kept.
        now: Current time in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float):
        self.rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def take(self, now: float, tokens: float = 1.0) -> float:
        """Takes tokens; returns 0, or the seconds until there are enough."""
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self.rate
        )
        self._refilled_at = now
        if self._tokens >= tokens:
            self._tokens -= tokens
            return 0.0
        return (tokens - self._tokens) / self.rate

    def add(self, tokens: float) -> None:
        """Adds tokens that were earned otherwise than by time."""
        self._tokens = min(self._burst, self._tokens + tokens)
