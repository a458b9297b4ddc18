"""Estimates how long to wait for a response before it counts as lost.

Most responses take a few milliseconds, but on VMs that are short of processor
time they take many times as long. A fixed time-out would then take gateways
that respond late for silent ones, again and again.

Examples:
    >>> estimator = RoundTripEstimator()
    >>> estimator.find_timeout(0.09)
    0.09
    >>> for _ in range(50):
    ...     estimator.record(0.2)
    >>> 0.2 <= estimator.find_timeout(0.09) <= 0.25
    True

References:
    RFC 6298, "Computing TCP's Retransmission Timer".
"""

# Weights of the latest round trip in the mean and in the deviation.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4.0
# Longest time-out, in seconds: a request must still be decided in time.
_MAX_TIMEOUT_S = 0.6


class RoundTripEstimator:
    """Smoothed round trips to all other gateways."""

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record(self, round_trip_s: float) -> None:
        """Records the time from a first message to the response, in seconds."""
        if self._mean_s is None:
            self._mean_s = round_trip_s
            self._deviation_s = round_trip_s / 2
            return
        error_s = round_trip_s - self._mean_s
        self._deviation_s += _DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )
        self._mean_s += _MEAN_WEIGHT * error_s

    def find_timeout(self, shortest_s: float) -> float:
        """Returns how long to wait, at least so many seconds."""
        if self._mean_s is None:
            return shortest_s
        timeout_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return max(shortest_s, min(_MAX_TIMEOUT_S, timeout_s))
