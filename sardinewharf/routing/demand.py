"""Measures how much engine time the requests of each prefix need.

Examples:
    >>> table = DemandTable(limit=2, window_seconds=10.0)
    >>> for second in range(100):
    ...     table.add(b"hot", 1.0, now=float(second))
    >>> round(table.read(b"hot", now=99.0), 1)
    1.1
    >>> table.read(b"cold", now=99.0)
    0.0
"""

import math
import random


class DemandTable:
    """A bounded table of exponentially decaying sums.

    Args:
        limit: Maximum number of prefixes. When the table is full, a new prefix
            replaces the one with the lowest demand in a random sample.
        window_seconds: Time constant of the decay.

    References:
        Metwally et al., "Efficient Computation of Frequent and Top-k Elements
        in Data Streams", ICDT 2005, on keeping only the largest entries.
    """

    _EVICTION_SAMPLE = 8

    def __init__(self, limit: int, window_seconds: float):
        self._limit = limit
        self._window = window_seconds
        self._entries: dict[bytes, tuple[float, float]] = {}
        self._random = random.Random(0)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, key: bytes, amount: float, now: float) -> None:
        """Adds an amount to the demand for a prefix."""
        if key not in self._entries and len(self._entries) >= self._limit:
            self._evict(now)
        total = self._decay(key, now) + amount
        self._entries[key] = (total, now)

    def read(self, key: bytes, now: float) -> float:
        """Returns the demand for a prefix, as an amount per second."""
        return self._decay(key, now) / self._window

    def list_highest_demand(
        self, count: int, now: float
    ) -> list[tuple[bytes, float]]:
        """Returns the prefixes with the highest demand and that demand.

        The highest demand comes first.
        """
        demands = [(key, self.read(key, now)) for key in self._entries]
        demands.sort(key=lambda pair: pair[1], reverse=True)
        return demands[:count]

    def _decay(self, key: bytes, now: float) -> float:
        """Returns the sum of a prefix, decayed since its last change."""
        total, at = self._entries.get(key, (0.0, now))
        return total * math.exp((at - now) / self._window)

    def _evict(self, now: float) -> None:
        """Removes the prefix with the lowest demand in a random sample."""
        count = min(self._EVICTION_SAMPLE, len(self._entries))
        sample = self._random.sample(list(self._entries), count)
        del self._entries[min(sample, key=lambda key: self._decay(key, now))]
