"""Ejects endpoints that fail, and readmits them after a successful trial.

Each endpoint has a circuit breaker. Failures in a row eject it for a time that
doubles with each further failure. After that, one request at a time is sent to
it as a trial until one succeeds.

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

# Failures in a row that eject an endpoint.
_FAILURES_TO_EJECT = 3
# Duration of the first ejection; each further one takes twice as long, up to
# the maximum.
_BASE_EJECTION_S = 0.5
_MAX_EJECTION_S = 2.0
# A trial request without a response after this time counts as lost, and another
# one may be sent.
_TRIAL_TIMEOUT_S = 1.0
# An endpoint that sent data within this time counts as alive.
_RECENT_RESPONSE_S = 2.0
# Weight of the latest response in the failure rate, an exponential average.
_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class _Health:
    """State of an endpoint's circuit breaker; times are monotonic, in seconds.

    Attributes:
        failures: Failures since the last success.
        ejections: Ejections since the last success; 0 if it is not ejected.
        ejected_until: When the next trial request may be sent.
        paused_until: Until when it rejects new requests.
        failure_rate: Share of recent responses that failed.
        last_response_at: When data last arrived.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    paused_until: float = 0.0
    failure_rate: float = 0.0
    last_response_at: float = 0.0


class HealthTable:
    """Recent successes and failures of endpoints, by incarnation.

    Args:
        log: Receives a record of each ejection and readmission; None for none.
    """

    def __init__(self, log: records.RecordSink | None = None) -> None:
        self._log = log
        self._known: dict[str, _Health] = {}

    def may_try(self, incarnation: str, now: float) -> bool:
        """Returns whether requests may be sent to an endpoint."""
        return now >= self.read_usable_at(incarnation)

    def read_usable_at(self, incarnation: str) -> float:
        """Returns from when on requests may be sent to an endpoint."""
        health = self._known.get(incarnation)
        if health is None:
            return 0.0
        return max(health.ejected_until, health.paused_until)

    def is_last_resort(self, incarnation: str, now: float) -> bool:
        """Returns whether to try an ejected endpoint if no other is available.

        It is tried if it failed or was slow but has sent data recently. An
        endpoint that rejects new requests is not tried while it is paused.
        """
        health = self._known.get(incarnation)
        if health is None or now < health.paused_until:
            return False
        return now - health.last_response_at < _RECENT_RESPONSE_S

    def read_failure_rate(self, incarnation: str) -> float:
        """Returns the share of recent responses that failed, 0 to 1."""
        health = self._known.get(incarnation)
        return health.failure_rate if health else 0.0

    def record_response(self, incarnation: str, now: float) -> None:
        """Records that data arrived from an endpoint."""
        self._known.setdefault(incarnation, _Health()).last_response_at = now

    def read_last_response_at(self, incarnation: str) -> float:
        """Returns when data last arrived from an endpoint; 0 if never."""
        health = self._known.get(incarnation)
        return health.last_response_at if health else 0.0

    def record_trial(self, incarnation: str, now: float) -> None:
        """Records a request that is sent to an endpoint.

        A request to an ejected endpoint is a trial. No other is sent there
        until the trial ends or times out.
        """
        health = self._known.get(incarnation)
        if health is not None and health.ejections:
            health.ejected_until = now + _TRIAL_TIMEOUT_S

    def record_success(self, incarnation: str) -> None:
        """Records a complete response, which readmits the endpoint."""
        health = self._known.get(incarnation)
        if health is not None:
            if health.ejections and self._log is not None:
                self._log.write(records.events.EndpointReadmitted(incarnation))
            health.failures = 0
            health.ejections = 0
            health.ejected_until = 0.0
            health.paused_until = 0.0
            health.failure_rate *= 1 - _SMOOTHING

    def record_failure(self, incarnation: str, now: float) -> None:
        """Records a response that failed or never arrived."""
        health = self._known.setdefault(incarnation, _Health())
        health.failures += 1
        health.failure_rate += _SMOOTHING * (1 - health.failure_rate)
        if health.ejections or health.failures >= _FAILURES_TO_EJECT:
            self._eject(incarnation, health, now)

    def record_unreachable(self, incarnation: str, now: float) -> None:
        """Ejects an endpoint at once that is unreachable or unresponsive."""
        health = self._known.setdefault(incarnation, _Health())
        self._eject(incarnation, health, now)

    def pause(self, incarnation: str, until: float) -> None:
        """Stops requests to a healthy endpoint that rejects new ones."""
        health = self._known.setdefault(incarnation, _Health())
        health.paused_until = max(health.paused_until, until)

    def _eject(self, incarnation: str, health: _Health, now: float) -> None:
        """Ejects an endpoint for a time that doubles with each ejection."""
        duration_s = min(
            _MAX_EJECTION_S, _BASE_EJECTION_S * 2**health.ejections
        )
        health.ejections += 1
        health.ejected_until = now + duration_s
        if self._log is not None:
            self._log.write(
                records.events.EndpointEjected(
                    incarnation, health.failures, duration_s
                )
            )
