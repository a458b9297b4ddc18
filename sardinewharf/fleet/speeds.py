"""Learns how fast each endpoint is from the times that its responses take.

Each time is compared with the one expected when the endpoint was chosen, which
takes the slowness into account that it reported. What remains is that it is
always faster or slower than it states: the machine differs, or its statements
are false. So it is learned slowly, and few samples hardly count.

Examples:
    >>> table = SpeedTable()
    >>> table.read("e", now=0.0)
    1.0
    >>> for _ in range(60):
    ...     table.record("e", expected_ms=100.0, took_ms=180.0, now=0.0)
    >>> 1.6 < table.read("e", now=1.0) < 1.8
    True
"""

import dataclasses
import math

MIN_LEARNED = 0.5
MAX_LEARNED = 2.0
# A sample counts as at most this factor away from the expected time: it may be
# due to a queue that was not known, and not to the endpoint.
_MAX_RATIO = 3.0
# Weight of the expected time, in samples.
_EXPECTED_WEIGHT = 6.0
# Number of samples that the mean is of at most.
_MAX_WEIGHT = 40.0
# Time in which the weight of a sample falls to a third, in seconds. Machines
# keep their speed, but the load beside them may not stay.
_DECAY_S = 60.0
# An endpoint without samples is forgotten after this time, in seconds.
_KEEP_S = 600.0


@dataclasses.dataclass(slots=True)
class _Learned:
    """What was learned of an endpoint.

    Attributes:
        at: Time of the latest sample.
        weight: Weight of all samples at that time.
        log_sum: Weighted sum of the logarithms of their ratios.
    """

    at: float
    weight: float = 0.0
    log_sum: float = 0.0

    def compute_decay(self, now: float) -> float:
        """Returns the share of their weight that the samples still have."""
        return math.exp(-max(0.0, now - self.at) / _DECAY_S)


class SpeedTable:
    """Learned slowness of endpoints, by incarnation."""

    def __init__(self) -> None:
        self._learned: dict[str, _Learned] = {}

    def __len__(self) -> int:
        return len(self._learned)

    def record(
        self, incarnation: str, expected_ms: float, took_ms: float, now: float
    ) -> None:
        """Records how long an endpoint took for a request.

        Args:
            incarnation: The endpoint.
            expected_ms: Time that was expected when it was chosen.
            took_ms: Time that it took.
            now: The present time, on the monotonic clock.
        """
        if expected_ms <= 0.0:
            return
        ratio = min(max(took_ms / expected_ms, 1 / _MAX_RATIO), _MAX_RATIO)
        learned = self._learned.setdefault(incarnation, _Learned(now))
        decay = learned.compute_decay(now)
        if learned.weight:
            decay = min(decay, (_MAX_WEIGHT - 1.0) / learned.weight)
        learned.weight = learned.weight * decay + 1.0
        learned.log_sum = learned.log_sum * decay + math.log(ratio)
        learned.at = now

    def read(self, incarnation: str, now: float) -> float:
        """Returns how long work takes at an endpoint; 1.0 is as expected.

        Args:
            incarnation: The endpoint.
            now: The present time, on the monotonic clock.
        """
        learned = self._learned.get(incarnation)
        if learned is None:
            return 1.0
        decay = learned.compute_decay(now)
        log_mean = learned.log_sum * decay
        log_mean /= learned.weight * decay + _EXPECTED_WEIGHT
        return min(max(math.exp(log_mean), MIN_LEARNED), MAX_LEARNED)

    def forget_old(self, now: float) -> None:
        """Forgets the endpoints without samples for a long time."""
        self._learned = {
            incarnation: learned
            for incarnation, learned in self._learned.items()
            if now - learned.at <= _KEEP_S
        }
