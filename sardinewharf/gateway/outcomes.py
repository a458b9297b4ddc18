"""Decides what the response to an attempt means, and records how it ended."""

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf.gateway import attempt_log
from sardinewharf.gateway import crash_probes
from sardinewharf.gateway import crashes as crashes_lib
from sardinewharf.gateway import notices as notices_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import tables

# An endpoint that refused a request gets no others for this long, in seconds.
_REFUSAL_BACKOFF_S = 0.15
# The same after status 421, Misdirected Request.
_MISDIRECTED_BACKOFF_S = 1.0
# Statuses by which callers are promised that their request has not run and
# never will. They are not forwarded: an endpoint that did not run a request
# states that in a header.
_PROMISES = frozenset({408, 421, 429, 503})
# A stream that goes on for this long after its first event has passed the start
# of its response, where a bad prompt shows, in seconds.
_PROGRESS_S = 0.2
# Statuses of refusals by endpoints that may have room a moment later.
_FULL_STATUSES = frozenset({429, 503})
_MISDIRECTED = 421

_Outcome = attempt_log.AttemptOutcome


class Outcomes:
    """Classifies responses of endpoints and records how attempts ended.

    Args:
        registry: The known endpoints.
        health: Failures and ejections of each endpoint.
        budgets: Retry budget of each service.
        crashes: Detects endpoints that crashed while they ran requests.
        crash_prober: Probes endpoints whose connections were lost.
        suspects: Requests that ran when endpoints crashed.
        notices: Records what endpoints state about further requests.
        reports: Receives what endpoints report of their load.
        log: Logs and counts attempts.
    """

    def __init__(
        self,
        registry: fleet.Registry,
        health: fleet.HealthTable,
        budgets: tables.RetryBudgetTable,
        crashes: crashes_lib.CrashDetector,
        crash_prober: crash_probes.CrashProber,
        suspects: limits.SuspectTable,
        notices: notices_lib.NoticeRecorder,
        reports: fleet.ReportTable,
        log: attempt_log.AttemptLog,
    ):
        self._registry = registry
        self._health = health
        self._budgets = budgets
        self._crashes = crashes
        self._crash_prober = crash_prober
        self._suspects = suspects
        self._notices = notices
        self._reports = reports
        self._log = log

    def classify(self, call: requests.Call, attempt: requests.Attempt) -> bool:
        """Returns whether a response is to be forwarded.

        A response that is not is recorded, so that the request may be retried.
        """
        head = attempt.head
        request_id = call.request.headers.request_id
        if not attempt.is_answered_by(head, request_id):
            attempt.discard_connection()
            self.record_loss(
                call,
                attempt,
                "the answer is to another request",
                _Outcome.MISMATCHED,
            )
            return False
        self._notices.record(call, attempt)
        self._record_weights(call, attempt)
        self._record_report(attempt)
        if head.is_not_run:
            if _proves_not_run(attempt, request_id):
                self._record_not_run(call, attempt)
            else:
                self.record_loss(
                    call,
                    attempt,
                    f"status {head.status} and not run, without proof",
                    _Outcome.CONTRADICTORY,
                )
            return False
        if head.is_success:
            names_request = head.request_id == request_id
            if names_request and head.is_stamped and not head.is_encoded:
                return True
            self.record_loss(call, attempt, "the answer is not the endpoint's")
            return False
        return self._classify_failure(call, attempt)

    def _classify_failure(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> bool:
        """Returns whether an error response is to be forwarded.

        A status that promises that nothing ran is not, since the endpoint did
        not state that. An error 5xx of a request that may be repeated is
        forwarded only if the retry budget is used up.
        """
        head = attempt.head
        if head.status in _PROMISES:
            self._record_unconfirmed(call, attempt)
            return False
        if head.status < 500 or not call.may_run_again:
            return True
        budget = self._budgets.find(call.service)
        if budget.read_remaining(clocks.read_monotonic()) < 1.0:
            return True
        self.record_loss(call, attempt, f"status {head.status}")
        return False

    def _record_not_run(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        """Records that an endpoint refused a request without running it."""
        call.runs -= 1
        endpoint = attempt.target.endpoint
        status = attempt.head.status
        self._record_failure(
            call, attempt, f"not run, status {status}", _Outcome.NOT_RUN
        )
        if status in _FULL_STATUSES:
            call.full.add(endpoint.id)
        backoff_s = (
            _MISDIRECTED_BACKOFF_S
            if status == _MISDIRECTED
            else _REFUSAL_BACKOFF_S
        )
        self._health.pause(
            endpoint.incarnation, clocks.read_monotonic() + backoff_s
        )

    def _record_unconfirmed(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        """Records a status that may be that of a run, though it denies it.

        Other than 5xx, it need not be a fault of the endpoint.
        """
        status = attempt.head.status
        self._record_failure(
            call,
            attempt,
            f"status {status} without the statement that it was not run",
            _Outcome.UNCONFIRMED,
        )
        if status >= 500:
            self._health.record_failure(
                attempt.target.endpoint.incarnation, clocks.read_monotonic()
            )

    def _record_weights(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        """Records the weights version that a response states."""
        head = attempt.head
        prompt = call.request.headers.prompt
        if head.weights and prompt is not None:
            self._registry.record_weights(
                attempt.target.endpoint.id, prompt.model, head.weights
            )

    def _record_report(self, attempt: requests.Attempt) -> None:
        """Records the load that a response reports, if it states a slowness.

        Refusals report it, too. Status 421 may come from another endpoint that
        has taken over the address.
        """
        load = attempt.head.load
        if load is None or load.slowness is None:
            return
        if attempt.head.status == _MISDIRECTED:
            return
        self._reports.record(
            attempt.target.endpoint.incarnation,
            fleet.LoadReport(
                load.running, load.waiting, load.slots, load.slowness
            ),
            clocks.read_monotonic(),
        )

    def record_loss(
        self,
        call: requests.Call,
        attempt: requests.Attempt,
        detail: str,
        outcome: attempt_log.AttemptOutcome = _Outcome.LOST,
    ) -> None:
        """Records that an attempt failed after the request was sent."""
        self._record_failure(call, attempt, detail, outcome)
        endpoint = attempt.target.endpoint
        now = clocks.read_monotonic()
        self._health.record_failure(endpoint.incarnation, now)
        if attempt.exchange.has_ended_with_connection:
            self._record_end_of_connection(call, attempt, now)

    def _record_end_of_connection(
        self,
        call: requests.Call,
        attempt: requests.Attempt,
        now: float,
        is_complete: bool = False,
    ) -> None:
        """Records what may be the crash of an endpoint, and probes that.

        Args:
            call: The request.
            attempt: The attempt whose connection has ended.
            now: The time.
            is_complete: Whether that may be the end of a complete response.
        """
        loss = crashes_lib.Loss(
            call.request.headers.request_id,
            call.request.causes,
            attempt.target.endpoint,
            attempt.sent_at,
            now,
            is_complete,
        )
        if self._crashes.record_loss(loss):
            self._crash_prober.start(loss.incarnation, attempt.pool)
            call.lost_at = loss.incarnation

    def _record_failure(
        self,
        call: requests.Call,
        attempt: requests.Attempt,
        detail: str,
        outcome: attempt_log.AttemptOutcome,
    ) -> None:
        """Logs a failed attempt, and excludes its endpoint."""
        endpoint = attempt.target.endpoint
        call.last_failure_detail = f"{endpoint.id}: {detail}"
        call.excluded.add(endpoint.id)
        self._log.record_failure(call, attempt, outcome)

    def record_stall(
        self, call: requests.Call, attempt: requests.Attempt, detail: str
    ) -> None:
        """Records that other endpoints are tried, as one may have stopped."""
        attempt.has_stalled = True
        attempt.abandon_prefill()
        self._record_failure(call, attempt, detail, _Outcome.STALLED)

    def record_success(self, attempt: requests.Attempt) -> None:
        """Records that a response arrived completely."""
        self._health.record_success(attempt.target.endpoint.incarnation)

    def record_progress(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        """Records once that a stream has gone on without a crash."""
        if attempt.has_progressed:
            return
        now = clocks.read_monotonic()
        if now - attempt.first_event_at < _PROGRESS_S:
            return
        attempt.has_progressed = True
        for cause in call.request.causes:
            self._suspects.record_progress(cause.fingerprint, now)

    def record_completion(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        """Records that an endpoint completed a request without a crash.

        A response that ends with its connection shows that only if the endpoint
        turns out not to have crashed.
        """
        if attempt.head.status >= 500:
            return
        now = clocks.read_monotonic()
        if not attempt.exchange.has_framed_end:
            is_complete = attempt.head.is_success
            self._record_end_of_connection(call, attempt, now, is_complete)
            return
        for cause in call.request.causes:
            # An error may precede the prompt.
            if attempt.head.is_success or not cause.part:
                self._suspects.clear(cause.fingerprint, now)


def _proves_not_run(
    attempt: requests.Attempt, request_id: ids.RequestId
) -> bool:
    """Returns whether the statement that a request was not run can be believed.

    It has to name the request, its status must be one that refuses, and no
    interim response may show that the endpoint had begun.
    """
    head = attempt.head
    is_refusal = 400 <= head.status < 500 or head.status == 503
    names_request = head.request_id == request_id
    return is_refusal and names_request and not attempt.exchange.has_begun
