"""Finds endpoints that fail by their answers, and tries them again.

Examples:
    >>> health = HealthTable()
    >>> incarnation = "e"
    >>> for _ in range(3):
    ...     health.record_failure(incarnation, now=0.0)
    >>> health.may_try(incarnation, now=0.1)
    False
    >>> health.may_try(incarnation, now=1.0)
    True
    >>> health.record_trial(incarnation, now=1.0)
    >>> health.may_try(incarnation, now=1.1)
    False
    >>> health.record_success(incarnation)
    >>> health.may_try(incarnation, now=1.1)
    True

References:
    Nygard, "Release It!", 2007, for the circuit breaker.
"""

import dataclasses

from sardinewharf import records

# Failures in a row that take an endpoint out.
_FAILURES_TO_EJECT = 3
# Pause before the first trial request and the longest one, in seconds.
_BASE_EJECTION_S = 0.5
_MAX_EJECTION_S = 2.0
# A trial request that got no answer by now is taken for lost, in seconds.
_TRIAL_TIMEOUT_S = 1.0
# An endpoint that answered this long ago lives, in seconds.
_RECENT_RESPONSE_S = 2.0
# Weight of the newest answer in the share of failures.
_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    paused_until: float = 0.0
    failure_rate: float = 0.0
    last_response_at: float = 0.0


class HealthTable:
    """How well endpoints answered of late, by incarnation.

    Args:
        log: Where endpoints that are left alone are written; None for nowhere.
    """

    def __init__(self, log: records.RecordSink | None = None) -> None:
        self._log = log
        self._known: dict[str, _Health] = {}

    def may_try(self, incarnation: str, now: float) -> bool:
        """Returns whether requests may go to an endpoint."""
        health = self._known.get(incarnation)
        if health is None:
            return True
        return now >= max(health.ejected_until, health.paused_until)

    def is_last_resort(self, incarnation: str, now: float) -> bool:
        """Returns whether one that is left alone may be tried for want of any.

        It failed or was slow, but has answered of late; one that said that it
        takes no requests is not asked again.
        """
        health = self._known.get(incarnation)
        if health is None or now < health.paused_until:
            return False
        return now - health.last_response_at < _RECENT_RESPONSE_S

    def read_failure_rate(self, incarnation: str) -> float:
        """Returns the share of answers that failed of late, 0 to 1."""
        health = self._known.get(incarnation)
        return health.failure_rate if health else 0.0

    def record_response(self, incarnation: str, now: float) -> None:
        """Notes bytes of an endpoint."""
        self._known.setdefault(incarnation, _Health()).last_response_at = now

    def read_last_response_at(self, incarnation: str) -> float:
        """Returns when an endpoint was last heard; 0 if never."""
        health = self._known.get(incarnation)
        return health.last_response_at if health else 0.0

    def record_trial(self, incarnation: str, now: float) -> None:
        """Notes a request; one that tries a failed endpoint goes alone."""
        health = self._known.get(incarnation)
        if health is not None and health.ejections:
            health.ejected_until = now + _TRIAL_TIMEOUT_S

    def record_success(self, incarnation: str) -> None:
        """Notes a whole answer."""
        health = self._known.get(incarnation)
        if health is not None:
            if health.ejections and self._log is not None:
                self._log.write(records.events.EndpointReopened(incarnation))
            health.failures = 0
            health.ejections = 0
            health.ejected_until = 0.0
            health.paused_until = 0.0
            health.failure_rate *= 1 - _SMOOTHING

    def record_failure(self, incarnation: str, now: float) -> None:
        """Notes an answer that failed or did not come."""
        health = self._known.setdefault(incarnation, _Health())
        health.failures += 1
        health.failure_rate += _SMOOTHING * (1 - health.failure_rate)
        if health.ejections or health.failures >= _FAILURES_TO_EJECT:
            self._eject(incarnation, health, now)

    def record_unreachable(self, incarnation: str, now: float) -> None:
        """Notes that no connection could be made."""
        health = self._known.setdefault(incarnation, _Health())
        self._eject(incarnation, health, now)

    def pause(self, incarnation: str, until: float) -> None:
        """Leaves an endpoint alone that is well but takes no requests."""
        health = self._known.setdefault(incarnation, _Health())
        health.paused_until = max(health.paused_until, until)

    def _eject(self, incarnation: str, health: _Health, now: float) -> None:
        pause = min(_MAX_EJECTION_S, _BASE_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + pause
        if self._log is not None:
            self._log.write(
                records.events.EndpointClosed(
                    incarnation, health.failures, pause
                )
            )
