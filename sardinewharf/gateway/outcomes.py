"""Decides what the response to an attempt means, and records how it ended."""

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import limits
from sardinewharf.gateway import attempt_log
from sardinewharf.gateway import requests
from sardinewharf.gateway import tables

# An endpoint that refused a request gets no others for this long, in seconds.
_REFUSAL_BACKOFF_S = 0.15
# The same after status 421, Misdirected Request.
_MISDIRECTED_BACKOFF_S = 1.0
# Statuses that state that a request has not run; they count only if the
# response carries the endpoint's stamp.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses of refusals by endpoints that may have room a moment later.
_FULL_STATUSES = frozenset({429, 503})


class Outcomes:
    """Classifies responses of endpoints and records how attempts ended.

    Args:
        registry: The known endpoints.
        health: Failures and ejections of each endpoint.
        budgets: Retry budget of each service.
        crashes: Requests that ran when endpoints crashed.
        log: Logs and counts attempts.
    """

    def __init__(
        self,
        registry: fleet.Registry,
        health: fleet.HealthTable,
        budgets: tables.RetryBudgetTable,
        crashes: limits.CrashTable,
        log: attempt_log.AttemptLog,
    ):
        self._registry = registry
        self._health = health
        self._budgets = budgets
        self._crashes = crashes
        self._log = log

    def classify(self, call: requests.Call, attempt: requests.Attempt) -> bool:
        """Returns whether a response is to be forwarded.

        A response that is not is recorded, so that the request may be retried.
        """
        head = attempt.head
        request_id = call.request.headers.request_id
        if not attempt.is_answered_by(head, request_id):
            attempt.discard_connection()
            self.record_loss(call, attempt, "the answer is to another request")
            return False
        self._record_weights(call, attempt)
        if head.is_not_run:
            self._record_not_run(call, attempt)
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

        An error 5xx of a request that may be repeated is forwarded only if the
        retry budget is used up.
        """
        head = attempt.head
        if not head.is_stamped and head.status in _NOT_RUN_STATUSES:
            self.record_loss(
                call, attempt, f"status {head.status} without stamp"
            )
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
        call.last_failure_detail = f"{endpoint.id}: not run, status {status}"
        call.excluded.add(endpoint.id)
        if status in _FULL_STATUSES:
            call.full.add(endpoint.id)
        self._log.record_failure(call, attempt, "not_run")
        backoff_s = (
            _MISDIRECTED_BACKOFF_S if status == 421 else _REFUSAL_BACKOFF_S
        )
        self._health.pause(
            endpoint.incarnation, clocks.read_monotonic() + backoff_s
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

    def record_loss(
        self, call: requests.Call, attempt: requests.Attempt, detail: str
    ) -> None:
        """Records that an attempt failed after the request was sent."""
        endpoint = attempt.target.endpoint
        call.last_failure_detail = f"{endpoint.id}: {detail}"
        call.excluded.add(endpoint.id)
        self._log.record_failure(call, attempt, "lost")
        now = clocks.read_monotonic()
        self._health.record_failure(endpoint.incarnation, now)
        if attempt.exchange.was_lost:
            self._crashes.record_lost_connection(
                call.request.fingerprint, endpoint.incarnation, now
            )

    def record_stall(
        self, call: requests.Call, attempt: requests.Attempt, detail: str
    ) -> None:
        """Records that other endpoints are tried, as one may have stopped."""
        endpoint = attempt.target.endpoint
        call.last_failure_detail = f"{endpoint.id}: {detail}"
        call.excluded.add(endpoint.id)
        attempt.has_stalled = True
        attempt.abandon_prefill()
        self._log.record_failure(call, attempt, "stalled")

    def record_success(self, attempt: requests.Attempt) -> None:
        """Records that a response arrived completely."""
        self._health.record_success(attempt.target.endpoint.incarnation)
