"""Finds requests that crash the endpoints that run them.

A lost connection alone says little: only if its endpoint cannot be reached
right after, it has died, and what ran there is suspect.

Examples:
    >>> crashes = CrashTable()
    >>> for number in range(3):
    ...     engine = f"e{number}"
    ...     crashes.record_lost_connection(b"f", engine, now=float(number))
    ...     crashes.record_unreachable(engine, now=number + 0.1)
    >>> crashes.is_quarantined(b"f", now=3.0)
    True
    >>> crashes.is_quarantined(b"g", now=3.0)
    False

See Also:
    ``suspects.SuspectTable``, which keeps the deaths.
"""

from sardinewharf.limits import suspects

# Endpoints that may die of a request before it is refused.
_MAX_CRASHES_PER_REQUEST = 3
# Time that a death counts, in seconds.
_QUARANTINE_S = 60.0
# An endpoint that cannot be reached this long after a loss died of it, in
# seconds.
_CONFIRMATION_WINDOW_S = 1.5


class CrashTable:
    """Losses, and the deaths that they turned out to be."""

    def __init__(self) -> None:
        self._suspects = suspects.SuspectTable(_QUARANTINE_S)
        self._losses: dict[str, list[tuple[bytes, float]]] = {}

    def record_lost_connection(
        self, fingerprint: bytes, incarnation: str, now: float
    ) -> None:
        """Notes that a request's connection ended without an answer."""
        losses = self._losses.setdefault(incarnation, [])
        losses.append((fingerprint, now))

    def record_unreachable(self, incarnation: str, now: float) -> None:
        """Notes that an endpoint takes no connections."""
        for fingerprint, at in self._losses.pop(incarnation, ()):
            if now - at <= _CONFIRMATION_WINDOW_S:
                crash = suspects.Crash(fingerprint, incarnation, at)
                self._suspects.record_crash(crash, now)

    def forget_old(self, now: float) -> None:
        """Forgets losses that no death followed."""
        self._losses = {
            incarnation: losses
            for incarnation, losses in self._losses.items()
            if now - losses[-1][1] <= _CONFIRMATION_WINDOW_S
        }

    def merge(self, crash: suspects.Crash, now: float) -> None:
        """Takes in a death that another gateway saw."""
        self._suspects.record_crash(crash, now)

    def list_crashes(self, now: float) -> tuple[suspects.Crash, ...]:
        """Returns the deaths that still count."""
        return self._suspects.list_crashes(now)

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a request may not run any more."""
        self._suspects.list_crashes(now)
        return (
            self._suspects.count_crashes(fingerprint)
            >= _MAX_CRASHES_PER_REQUEST
        )
