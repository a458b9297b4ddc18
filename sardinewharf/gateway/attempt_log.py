"""Logs and counts the attempts at requests and their failures."""

import enum

from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf import records
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import tables


class AttemptOutcome(enum.Enum):
    """How an attempt failed.

    Attributes:
        UNREACHED: No connection could be made; nothing was sent.
        NOT_RUN: The endpoint stated that it did not run the request.
        STALLED: The endpoint is silent; others are tried, and it may go on.
        LOST: No valid response arrived; the request may have run.
        MISMATCHED: The response is to another request; this one may have run.
        UNCONFIRMED: The status promises that nothing ran, but the endpoint did
            not state that; the request may have run.
        CONTRADICTORY: The endpoint stated that it did not run the request, but
            the response also shows that it may have.
    """

    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    STALLED = "stalled"
    LOST = "lost"
    MISMATCHED = "mismatched"
    UNCONFIRMED = "unconfirmed"
    CONTRADICTORY = "contradictory"


class AttemptLog:
    """Logs and counts attempts.

    Args:
        replica: This gateway's replica of the store.
        budgets: Retry budget of each service.
        log: Receives the records.
        metrics: Counts attempts.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        budgets: tables.RetryBudgetTable,
        log: records.RecordSink,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._replica = replica
        self._budgets = budgets
        self._log = log
        self._metrics = metrics

    def record_choice(
        self, call: requests.Call, target: requests.Target
    ) -> None:
        """Logs which endpoint a request is sent to, and why."""
        prompt = call.request.headers.prompt
        model = prompt.model if prompt is not None else ""
        report = target.report
        self._metrics.count_dispatch(call.service, target)
        self._log.write(
            records.events.EndpointChosen(
                request=call.request.headers.request_id,
                attempt=call.sends,
                route=call.admitted.route.name,
                organisation=call.admitted.organisation_name,
                endpoint=target.endpoint.id,
                candidates=target.candidates,
                cost_ms=round(target.cost_ms, 1),
                running=target.load.running,
                prompt_tokens=target.load.prompt_tokens,
                weights=target.weights,
                wanted_weights=self._replica.target_versions.find_target(model),
                prompt=f"{target.prompt_key:x}" if target.prompt_key else "",
                shared=target.shared.value,
                read_tokens=target.prefill_tokens,
                fetch_from=target.fetch_from,
                resume_after=call.resume_after,
                places=call.places,
                held_ms=int(call.held_s * 1000),
                left_ms=int(call.deadline.remaining() * 1000),
                configuration=self._replica.configuration.version,
                age_s=self._replica.round_age(),
                slowness=round(report.slowness, 2) if report.is_known else 0.0,
                learned=round(report.learned, 2) if report.is_known else 0.0,
                reported=report.requests if report.is_fresh else -1,
            )
        )

    def record_unreached(
        self, call: requests.Call, endpoint_id: ids.EndpointId
    ) -> None:
        """Logs that no connection to an endpoint could be made."""
        self._write_failure(call, endpoint_id, AttemptOutcome.UNREACHED)

    def record_failure(
        self,
        call: requests.Call,
        attempt: requests.Attempt,
        outcome: AttemptOutcome,
    ) -> None:
        """Logs that an endpoint gave no response that may be forwarded."""
        self._write_failure(
            call,
            attempt.target.endpoint.id,
            outcome,
            attempt.head,
            is_reused=not attempt.exchange.is_first,
        )

    def _write_failure(
        self,
        call: requests.Call,
        endpoint_id: ids.EndpointId,
        outcome: AttemptOutcome,
        head: messages.ResponseHead | None = None,
        is_reused: bool = False,
    ) -> None:
        now = clocks.read_monotonic()
        self._metrics.count_failure(call.service, outcome.value)
        self._log.write(
            records.events.AttemptFailed(
                request=call.request.headers.request_id,
                attempt=call.sends,
                endpoint=endpoint_id,
                outcome=outcome.value,
                detail=call.last_failure_detail,
                waited_ms=int((now - call.request.arrived) * 1000),
                budget_left=round(
                    self._budgets.find(call.service).read_remaining(now), 1
                ),
                status=head.status if head is not None else 0,
                answered=head.request_id if head is not None else "",
                is_reused=is_reused,
                states_not_run=head is not None and head.is_not_run,
            )
        )
