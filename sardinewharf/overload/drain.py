"""Measures how fast requests are sent, for waits and Retry-After.

Examples:
    >>> rate = DrainRate()
    >>> rate.read(now=0.0) is None
    True
    >>> for tenth in range(100):
    ...     rate.record(50, now=tenth / 10)
    >>> round(rate.read(now=10.0).estimate_wait(requests=100, work=2_000))
    4
"""

import dataclasses
import math
import random

# Time after which a request counts 1/e, in seconds.
_DECAY_S = 2.0
# Time that has to be measured before the rate is known, in seconds.
_MIN_MEASURED_S = 0.5
# The rate is measured anew after a pause of this length, in seconds: nothing
# tells whether requests were missing or room.
_MAX_PAUSE_S = 3.0
# Callers that were refused come back within this factor of the expected wait,
# not all at once.
_MAX_SPREAD = 1.5
# Bounds of the Retry-After, in seconds.
_MIN_RETRY_AFTER_S = 0.2
_MAX_RETRY_AFTER_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A rate at which requests are sent.

    Attributes:
        requests_per_s: Requests per second.
        work_per_s: Work of these requests per second.
    """

    requests_per_s: float
    work_per_s: float

    def estimate_wait(self, requests: int, work: int) -> float:
        """Returns the time until some requests are sent, in seconds.

        Slots or memory may be scarce, and few requests tell little of the work
        of others. So it is the shorter one of the times by number and by work.
        """
        if not requests:
            return 0.0
        if not self.requests_per_s or not self.work_per_s:
            return math.inf
        return min(requests / self.requests_per_s, work / self.work_per_s)


class DrainRate:
    """Requests and their work per second, as decaying means."""

    def __init__(self) -> None:
        self._requests = 0.0
        self._work = 0.0
        self._began_at = -math.inf
        self._at = -math.inf

    def record(self, work: int, now: float) -> None:
        """Records a request of some work."""
        if now - self._at > _MAX_PAUSE_S:
            self._began_at = now
            self._requests = self._work = 0.0
        else:
            decay = math.exp(-(now - self._at) / _DECAY_S)
            self._requests *= decay
            self._work *= decay
        self._at = now
        self._requests += 1
        self._work += work

    def read(self, now: float) -> Drain | None:
        """Returns the present rate; None if it is not known."""
        if now - self._at > _MAX_PAUSE_S:
            return None
        measured_s = now - self._began_at
        if measured_s < _MIN_MEASURED_S:
            return None
        decay = math.exp(-(now - self._at) / _DECAY_S)
        scale = decay / (_DECAY_S * -math.expm1(-measured_s / _DECAY_S))
        return Drain(self._requests * scale, self._work * scale)


def choose_retry_after(wait_s: float) -> float:
    """Returns the Retry-After of a request that was refused, in seconds.

    Args:
        wait_s: Expected wait of another request of its rank.

    Examples:
        >>> 2.0 <= choose_retry_after(2.0) <= 3.0
        True
        >>> 0.2 <= choose_retry_after(0.0) <= 0.3
        True
        >>> choose_retry_after(math.inf)
        10.0
    """
    spread = random.uniform(1.0, _MAX_SPREAD)
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s) * spread)
