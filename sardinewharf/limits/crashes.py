"""Detects requests that crash the endpoints that run them.

A lost connection alone proves no crash. Only if the endpoint cannot be reached
right afterwards, it counts as crashed, and the requests that ran there as
suspect.

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
    ``suspects.SuspectTable``, which stores the crashes.
"""

from sardinewharf.limits import suspects

# Time after which a request is forgotten that is no longer repeated, in
# seconds.
_QUARANTINE_S = 600.0
# Time after a lost connection within which a failure to connect to the endpoint
# confirms that it crashed.
_CONFIRMATION_WINDOW_S = 1.5


class CrashTable:
    """Lost connections, and the crashes that they turned out to be."""

    def __init__(self) -> None:
        self._suspects = suspects.SuspectTable(_QUARANTINE_S)
        self._lost_connections: dict[str, list[tuple[bytes, float]]] = {}

    def record_lost_connection(
        self, fingerprint: bytes, incarnation: str, now: float
    ) -> None:
        """Records that a connection ended before the request's response.

        Args:
            fingerprint: Fingerprint of the request.
            incarnation: Incarnation of the endpoint that ran it.
            now: When the connection ended.
        """
        lost_connections = self._lost_connections.setdefault(incarnation, [])
        lost_connections.append((fingerprint, now))

    def record_unreachable(self, incarnation: str, now: float) -> None:
        """Records a failure to connect to an endpoint.

        It turns the connections lost there shortly before into crashes.
        """
        for fingerprint, at in self._lost_connections.pop(incarnation, ()):
            if now - at <= _CONFIRMATION_WINDOW_S:
                crash = suspects.Crash(fingerprint, incarnation, at)
                self._suspects.record_crash(crash, now)

    def forget_old(self, now: float) -> None:
        """Drops lost connections that were not confirmed as crashes in time."""
        self._lost_connections = {
            incarnation: lost_connections
            for incarnation, lost_connections in self._lost_connections.items()
            if now - lost_connections[-1][1] <= _CONFIRMATION_WINDOW_S
        }

    def merge(self, crash: suspects.Crash, now: float) -> None:
        """Merges a crash that another gateway observed."""
        self._suspects.record_crash(crash, now)

    def list_crashes(self, now: float) -> tuple[suspects.Crash, ...]:
        """Returns the crashes that still count."""
        return self._suspects.list_crashes(now)

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a request has crashed too many endpoints to run."""
        return self._suspects.is_quarantined(fingerprint, now)
