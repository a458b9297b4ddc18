"""Refuses requests that crash the endpoints that run them."""

import math

import xxhash

from sardinewharf import clocks
from sardinewharf import limits
from sardinewharf import records
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import settings as settings_lib

# Time after which a request is forgotten that is no longer repeated, in
# seconds.
QUARANTINE_S = 600.0
# Time between the trials of two gateways, in which the second one hears of the
# first one's, in seconds.
_TRIAL_STAGGER_S = 0.3
# Longest Retry-After, in seconds.
_MAX_RETRY_AFTER_S = 120.0


class Quarantine:
    """Decides whether requests that ran when endpoints crashed may run.

    Args:
        settings: Settings of the gateway.
        replica: Names the other gateways.
        suspects: The crashes.
        log: Receives a record of each trial.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        suspects: limits.SuspectTable,
        log: records.RecordSink,
    ):
        self._settings = settings
        self._replica = replica
        self._suspects = suspects
        self._log = log

    def may_run(self, request: requests.Request) -> bool:
        """Returns whether a request may run now, and records that it came."""
        now = clocks.read_monotonic()
        fingerprint = request.fingerprint
        self._suspects.record_repeat(fingerprint, now)
        if not self._suspects.is_quarantined(fingerprint, now):
            return True
        if math.isinf(self._suspects.read_trial_time(fingerprint)):
            return False
        delay_s = self._find_trial_delay(fingerprint)
        return not self._suspects.is_quarantined(fingerprint, now, delay_s)

    def record_run(self, request: requests.Request) -> None:
        """Records that a request is sent to an endpoint."""
        now = clocks.read_monotonic()
        trial = self._suspects.record_run(request.fingerprint, now)
        if not trial:
            return
        self._log.write(
            records.events.SuspectTried(
                request=request.headers.request_id,
                fingerprint=request.fingerprint.hex(),
                trial=trial,
            )
        )

    def explain(self, request: requests.Request) -> str:
        """Returns why a request is quarantined, for the caller and the log.

        The log has a line ``endpoint_crashed`` with the same fingerprint for
        each crash.
        """
        now = clocks.read_monotonic()
        crashes = self._suspects.count_crashes(request.fingerprint, now)
        return (
            f"{crashes} endpoints crashed while they ran it (fingerprint"
            f" {request.fingerprint.hex()})"
        )

    def choose_retry_after(self, request: requests.Request) -> float:
        """Returns when a quarantined request may be repeated, in seconds."""
        trial_at = self._suspects.read_trial_time(request.fingerprint)
        left_s = trial_at - clocks.read_monotonic()
        return min(max(left_s, 1.0), _MAX_RETRY_AFTER_S)

    def _find_trial_delay(self, fingerprint: bytes) -> float:
        """Returns how much later than others this gateway may try a request.

        Gateways take turns in an order that each request has of its own, with
        time in between to hear of each other's trials.
        """
        own = _rank(self._settings.name, fingerprint)
        earlier = sum(
            _rank(name, fingerprint) < own for name in self._replica.members
        )
        return earlier * _TRIAL_STAGGER_S


def _rank(name: str, fingerprint: bytes) -> int:
    return xxhash.xxh3_64_intdigest(name.encode() + fingerprint)
