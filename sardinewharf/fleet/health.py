"""Finds endpoints that fail by their answers, and tries them again.

Examples:
    >>> health = HealthTable()
    >>> incarnation = "e"
    >>> for _ in range(3):
    ...     health.note_failure(incarnation, now=0.0)
    >>> health.may_try(incarnation, now=0.1)
    False
    >>> health.may_try(incarnation, now=1.0)
    True
    >>> health.note_trial(incarnation, now=1.0)
    >>> health.may_try(incarnation, now=1.1)
    False
    >>> health.note_success(incarnation)
    >>> health.may_try(incarnation, now=1.1)
    True

References:
    Nygard, "Release It!", 2007, for the circuit breaker.
"""

import dataclasses

from sardinewharf import records

# Failures in a row that take an endpoint out.
_FAILURES_TO_OPEN = 3
# Pause before the first trial request and the longest one, in seconds.
_PAUSE_S = 0.5
_MAX_PAUSE_S = 2.0
# A trial request that got no answer by now is taken for lost, in seconds.
_TRIAL_S = 1.0
# An endpoint that answered this long ago lives, in seconds.
_HEARD_S = 2.0
# Weight of the newest answer in the share of failures.
_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class _Health:
    failures: int = 0
    opens: int = 0
    closed_until: float = 0.0
    paused_until: float = 0.0
    failure_share: float = 0.0
    heard_at: float = 0.0


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
        return now >= max(health.closed_until, health.paused_until)

    def is_last_resort(self, incarnation: str, now: float) -> bool:
        """Returns whether one that is left alone may be tried for want of any.

        It failed or was slow, but has answered of late; one that said that it
        takes no requests is not asked again.
        """
        health = self._known.get(incarnation)
        if health is None or now < health.paused_until:
            return False
        return now - health.heard_at < _HEARD_S

    def read_failure_share(self, incarnation: str) -> float:
        """Returns the share of answers that failed of late, 0 to 1."""
        health = self._known.get(incarnation)
        return health.failure_share if health else 0.0

    def note_heard(self, incarnation: str, now: float) -> None:
        """Notes bytes of an endpoint."""
        self._known.setdefault(incarnation, _Health()).heard_at = now

    def read_heard_at(self, incarnation: str) -> float:
        """Returns when an endpoint was last heard; 0 if never."""
        health = self._known.get(incarnation)
        return health.heard_at if health else 0.0

    def note_trial(self, incarnation: str, now: float) -> None:
        """Notes a request; one that tries a failed endpoint goes alone."""
        health = self._known.get(incarnation)
        if health is not None and health.opens:
            health.closed_until = now + _TRIAL_S

    def note_success(self, incarnation: str) -> None:
        """Notes a whole answer."""
        health = self._known.get(incarnation)
        if health is not None:
            if health.opens and self._log is not None:
                self._log.write(records.events.EndpointReopened(incarnation))
            health.failures = 0
            health.opens = 0
            health.closed_until = 0.0
            health.paused_until = 0.0
            health.failure_share *= 1 - _SMOOTHING

    def note_failure(self, incarnation: str, now: float) -> None:
        """Notes an answer that failed or did not come."""
        health = self._known.setdefault(incarnation, _Health())
        health.failures += 1
        health.failure_share += _SMOOTHING * (1 - health.failure_share)
        if health.opens or health.failures >= _FAILURES_TO_OPEN:
            self._open(incarnation, health, now)

    def note_unreached(self, incarnation: str, now: float) -> None:
        """Notes that no connection could be made."""
        health = self._known.setdefault(incarnation, _Health())
        self._open(incarnation, health, now)

    def pause(self, incarnation: str, until: float) -> None:
        """Leaves an endpoint alone that is well but takes no requests."""
        health = self._known.setdefault(incarnation, _Health())
        health.paused_until = max(health.paused_until, until)

    def _open(self, incarnation: str, health: _Health, now: float) -> None:
        pause = min(_MAX_PAUSE_S, _PAUSE_S * 2**health.opens)
        health.opens += 1
        health.closed_until = now + pause
        if self._log is not None:
            self._log.write(
                records.events.EndpointClosed(
                    incarnation, health.failures, pause
                )
            )
