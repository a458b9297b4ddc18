"""Finds endpoints that fail by their answers, and tries them again.

Examples:
    >>> health = HealthTable()
    >>> endpoint_id = ids.EndpointId("e")
    >>> for _ in range(3):
    ...     health.note_failure(endpoint_id, now=0.0)
    >>> health.may_try(endpoint_id, now=0.1)
    False
    >>> health.may_try(endpoint_id, now=1.0)
    True
    >>> health.note_trial(endpoint_id, now=1.0)
    >>> health.may_try(endpoint_id, now=1.1)
    False
    >>> health.note_success(endpoint_id)
    >>> health.may_try(endpoint_id, now=1.1)
    True

References:
    Nygard, "Release It!", 2007, for the circuit breaker.
"""

import dataclasses

from sardinewharf import ids
from sardinewharf import records

# Failures in a row that take an endpoint out.
_FAILURES_TO_OPEN = 3
# Pause before the first trial request and the longest one, in seconds.
_PAUSE_S = 0.5
_MAX_PAUSE_S = 2.0
# A trial request that got no answer by now is taken for lost, in seconds.
_TRIAL_S = 1.0
# Weight of the newest answer in the share of failures.
_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class _Health:
    failures: int = 0
    opens: int = 0
    closed_until: float = 0.0
    failure_share: float = 0.0


class HealthTable:
    """How well endpoints answered of late.

    Args:
        log: Where endpoints that are left alone are written; None for nowhere.
    """

    def __init__(self, log: records.RecordSink | None = None) -> None:
        self._log = log
        self._known: dict[ids.EndpointId, _Health] = {}

    def may_try(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Returns whether requests may go to an endpoint."""
        health = self._known.get(endpoint_id)
        return health is None or now >= health.closed_until

    def read_failure_share(self, endpoint_id: ids.EndpointId) -> float:
        """Returns the share of answers that failed of late, 0 to 1."""
        health = self._known.get(endpoint_id)
        return health.failure_share if health else 0.0

    def note_trial(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Notes a request; one that tries a failed endpoint goes alone."""
        health = self._known.get(endpoint_id)
        if health is not None and health.opens:
            health.closed_until = now + _TRIAL_S

    def note_success(self, endpoint_id: ids.EndpointId) -> None:
        """Notes a whole answer."""
        health = self._known.get(endpoint_id)
        if health is not None:
            if health.opens and self._log is not None:
                self._log.write(records.events.EndpointReopened(endpoint_id))
            health.failures = 0
            health.opens = 0
            health.closed_until = 0.0
            health.failure_share *= 1 - _SMOOTHING

    def note_failure(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Notes an answer that failed or did not come."""
        health = self._known.setdefault(endpoint_id, _Health())
        health.failures += 1
        health.failure_share += _SMOOTHING * (1 - health.failure_share)
        if health.opens or health.failures >= _FAILURES_TO_OPEN:
            self._open(endpoint_id, health, now)

    def note_unreached(self, endpoint_id: ids.EndpointId, now: float) -> None:
        """Notes that no connection could be made."""
        health = self._known.setdefault(endpoint_id, _Health())
        self._open(endpoint_id, health, now)

    def pause(self, endpoint_id: ids.EndpointId, until: float) -> None:
        """Leaves an endpoint alone that is well but takes no requests."""
        health = self._known.setdefault(endpoint_id, _Health())
        health.closed_until = max(health.closed_until, until)

    def forget(self, endpoint_id: ids.EndpointId) -> None:
        """Forgets an endpoint that is gone or began anew."""
        self._known.pop(endpoint_id, None)

    def _open(
        self, endpoint_id: ids.EndpointId, health: _Health, now: float
    ) -> None:
        pause = min(_MAX_PAUSE_S, _PAUSE_S * 2**health.opens)
        health.opens += 1
        health.closed_until = now + pause
        if self._log is not None:
            self._log.write(
                records.events.EndpointClosed(
                    endpoint_id, health.failures, pause
                )
            )
