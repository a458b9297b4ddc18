"""Remembers when causes last ran without a crash of their endpoint.

Examples:
    >>> log = CompletionLog(capacity=2)
    >>> log.record(b"a", 1.0); log.record(b"b", 2.0); log.record(b"c", 3.0)
    >>> log.read(b"a"), log.read(b"c")
    (-inf, 3.0)
"""

import collections
import math

# Fingerprints that are remembered, those that completed last.
_CAPACITY = 8_192


class CompletionLog:
    """When requests with a cause last ran without a crash, for the latest.

    Args:
        capacity: Fingerprints that are remembered.
    """

    def __init__(self, capacity: int = _CAPACITY):
        self._capacity = capacity
        self._completed_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def record(self, fingerprint: bytes, now: float) -> None:
        """Records that a request ran without a crash."""
        self._completed_at[fingerprint] = now
        self._completed_at.move_to_end(fingerprint)
        if len(self._completed_at) > self._capacity:
            self._completed_at.popitem(last=False)

    def read(self, fingerprint: bytes) -> float:
        """Returns when one last did so; minus infinity if not known."""
        return self._completed_at.get(fingerprint, -math.inf)
