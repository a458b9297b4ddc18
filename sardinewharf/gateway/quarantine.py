"""Refuses requests that crash the endpoints that run them.

A request may do so by itself, or by a part of its prompt that other requests
share. What has crashed too few endpoints for a quarantine, and is not known to
have completed, runs one request at a time.
"""

import asyncio
import math

import xxhash

from sardinewharf import clocks
from sardinewharf import limits
from sardinewharf import records
from sardinewharf.gateway import exchange as exchange_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import settings as settings_lib

# Time after which a request or part is forgotten that is no longer repeated, in
# seconds.
QUARANTINE_S = 600.0
# Time between the trials of two gateways, in which the second one hears of the
# first one's, in seconds.
_TRIAL_STAGGER_S = 0.3
# Later than this a request may be tried of which several parts are quarantined,
# in seconds: one with a single such part tells more.
_JOINT_TRIAL_DELAY_S = 5.0
# Later than others a gateway may try a suspect that hears less than half of the
# registered ones, in seconds. It may be cut off from them, but these may also
# have gone for good.
_CUT_OFF_TRIAL_DELAY_S = 60.0
# Longest Retry-After, in seconds.
_MAX_RETRY_AFTER_S = 120.0
# Longest wait for another run of a suspect, in seconds and as a share of the
# remaining time; that of a stream that has begun, whose caller waits for the
# next event.
_MAX_HOLD_S = 2.0
_HOLD_SHARE = 0.5
_MAX_STREAM_HOLD_S = 0.5
# Time between two looks at whether the other run has ended, in seconds.
_HOLD_POLL_S = 0.03


class Quarantine:
    """Decides whether requests that ran when endpoints crashed may run.

    Args:
        settings: Settings of the gateway.
        replica: Names the other gateways.
        suspects: The crashes.
        log: Receives a record of each trial.
        exchange: Tells whether other gateways are heard. One that is cut off
            from them begins trials much later, since they begin theirs.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        suspects: limits.SuspectTable,
        log: records.RecordSink,
        exchange: exchange_lib.StateExchange,
    ):
        self._settings = settings
        self._replica = replica
        self._suspects = suspects
        self._log = log
        self._exchange = exchange

    def may_run(self, call: requests.Call) -> bool:
        """Returns whether a request may run now, and records that it came."""
        if not len(self._suspects):
            return True
        now = clocks.read_monotonic()
        for cause in call.request.causes:
            self._suspects.record_repeat(cause.fingerprint, now)
        found = self._list_quarantined(call.request)
        is_joint = sum(bool(cause.part) for cause in found) > 1
        delay_s = _JOINT_TRIAL_DELAY_S if is_joint else 0.0
        return all(self._may_try(call, c, now, delay_s) for c in found)

    def must_wait(self, call: requests.Call) -> bool:
        """Returns whether a request has to wait for another run of a suspect.

        It waits for a limited time in all, so that a suspect that is sound is
        not held up for long.
        """
        if not len(self._suspects):
            return False
        now = clocks.read_monotonic()
        if all(
            self._suspects.read_hold(c.fingerprint, call.suspect_run_at) <= now
            for c in call.request.causes
        ):
            return False
        if call.hold_limit is None:
            has_begun = call.first_byte_at is not None
            limit_s = _MAX_STREAM_HOLD_S if has_begun else _MAX_HOLD_S
            left_s = call.deadline.remaining() * _HOLD_SHARE
            call.hold_limit = clocks.Deadline.after(min(limit_s, left_s), now)
        return not call.hold_limit.is_past(now)

    async def wait_for_turn(
        self, call: requests.Call, latest_start: clocks.Deadline
    ) -> bool:
        """Waits while another run of a suspect has to end first.

        Args:
            call: The request.
            latest_start: When the request must be sent.

        Returns:
            Whether it waited, so that it has to be checked again.
        """
        has_waited = False
        while self.must_wait(call) and self.may_run(call):
            if latest_start.is_past():
                break
            has_waited = True
            await asyncio.sleep(_HOLD_POLL_S)
        return has_waited

    def record_run(self, call: requests.Call) -> None:
        """Records that a request is sent to an endpoint."""
        now = clocks.read_monotonic()
        own_run_at = -math.inf if call.may_have_run else call.suspect_run_at
        for cause in call.request.causes:
            trial = self._suspects.record_run(
                cause.fingerprint, now, own_run_at
            )
            if trial:
                self._log_trial(call.request, cause, trial)
        call.suspect_run_at = now

    def explain(self, request: requests.Request) -> str:
        """Returns why a request is quarantined, for the caller and the log.

        The log has a line ``endpoint_crashed`` with the same fingerprint or
        part for each crash.
        """
        now = clocks.read_monotonic()
        return "; ".join(
            self._explain_cause(cause, now)
            for cause in self._list_quarantined(request)
        )

    def _explain_cause(self, cause: limits.Cause, now: float) -> str:
        crashes = self._suspects.count_crashes(cause.fingerprint, now)
        ran = "it"
        if cause.part:
            ran = f"requests with the prompt part {cause.part}"
        return (
            f"{crashes} endpoints crashed while they ran {ran} (fingerprint"
            f" {cause.fingerprint.hex()})"
        )

    def choose_retry_after(self, request: requests.Request) -> float:
        """Returns when a quarantined request may be repeated, in seconds."""
        trial_at = max(
            (
                self._suspects.read_trial_time(cause.fingerprint)
                for cause in request.causes
            ),
            default=-math.inf,
        )
        left_s = trial_at - clocks.read_monotonic()
        return min(max(left_s, 1.0), _MAX_RETRY_AFTER_S)

    def _list_quarantined(
        self, request: requests.Request
    ) -> list[limits.Cause]:
        """Returns what of a request has crashed too many endpoints."""
        return [
            cause
            for cause in request.causes
            if self._suspects.has_crashed_enough(cause.fingerprint)
        ]

    def _may_try(
        self,
        call: requests.Call,
        cause: limits.Cause,
        now: float,
        delay_s: float,
    ) -> bool:
        """Returns whether a request may be a trial of a quarantined cause."""
        fingerprint = cause.fingerprint
        if not call.may_have_run and self._suspects.is_own_trial(
            fingerprint, call.suspect_run_at
        ):
            # No endpoint took it, so that its trial is still to come.
            return True
        if not self._exchange.hears_most_peers():
            delay_s += _CUT_OFF_TRIAL_DELAY_S
        if not self._suspects.is_quarantined(fingerprint, now, delay_s):
            delay_s += self._find_trial_delay(fingerprint)
        return not self._suspects.is_quarantined(fingerprint, now, delay_s)

    def _find_trial_delay(self, fingerprint: bytes) -> float:
        """Returns how much later than others this gateway may try a suspect.

        Gateways take turns in an order that each suspect has of its own, with
        time in between to hear of each other's trials.
        """
        own = _rank(self._settings.name, fingerprint)
        earlier = sum(
            _rank(name, fingerprint) < own for name in self._replica.members
        )
        return earlier * _TRIAL_STAGGER_S

    def _log_trial(
        self, request: requests.Request, cause: limits.Cause, trial: int
    ) -> None:
        self._log.write(
            records.events.SuspectTried(
                request=request.headers.request_id,
                fingerprint=cause.fingerprint.hex(),
                trial=trial,
                part=cause.part,
            )
        )


def _rank(name: str, fingerprint: bytes) -> int:
    return xxhash.xxh3_64_intdigest(name.encode() + fingerprint)
