"""Logs and counts requests that end without a complete response."""

import dataclasses

from sardinewharf import clocks
from sardinewharf import records
from sardinewharf.gateway import bodies
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import refusals
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import responder as responder_lib


@dataclasses.dataclass(slots=True)
class RequestContext:
    """Collects what is known of a request so far, for the log.

    Attributes:
        arrived: When its headers were complete, on the monotonic clock.
        body: Its body.
        headers: The decoded headers; None if they could not be decoded.
        call: The admitted request; None before it was admitted.
    """

    arrived: float
    body: bodies.RequestBody
    headers: messages.CallerHeaders | None = None
    call: requests.Call | None = None

    @property
    def request_id(self) -> str:
        """The request's id; empty if its headers could not be decoded."""
        return self.headers.request_id if self.headers else ""


class RequestLog:
    """Logs and counts refused requests and incomplete responses.

    Args:
        replica: This gateway's replica of the store.
        log: Receives the records.
        metrics: Counts refusals and incomplete responses.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        log: records.RecordSink,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._replica = replica
        self._log = log
        self._metrics = metrics

    def record_cut(self, context: RequestContext, detail: str) -> None:
        """Logs a response that the gateway ends before it is complete."""
        call = context.call
        waited_s = clocks.read_monotonic() - context.arrived
        self._metrics.count_unfinished(call.admitted.route.name, "cut")
        self._log.write(
            records.events.ResponseAborted(
                request=context.request_id,
                endpoint=call.endpoint,
                detail=detail,
                last_event=call.resume_after,
                total_ms=int(waited_s * 1000),
            )
        )

    def record_refusal(
        self, refusal: refusals.Refusal, context: RequestContext
    ) -> None:
        """Logs a request that the gateway itself refused."""
        call = context.call
        route = call.admitted.route.name if call else ""
        now = clocks.read_monotonic()
        left_s = (
            context.headers.deadline.remaining() if context.headers else 0.0
        )
        self._metrics.count_refusal(route, refusal.reason.value)
        self._log.write(
            records.events.RequestRefused(
                request=context.request_id,
                reason=refusal.reason.value,
                status=refusal.status,
                detail=refusal.detail,
                route=route,
                organisation=call.admitted.organisation_name if call else "",
                may_have_run=bool(call and call.may_have_run),
                sends=call.sends if call else 0,
                retry_after_s=refusal.retry_after_s,
                waited_ms=int((now - context.arrived) * 1000),
                left_ms=int(left_s * 1000),
                configuration=self._replica.configuration.version,
                age_s=self._replica.round_age(),
            )
        )

    def record_disconnect(
        self,
        context: RequestContext,
        responder: responder_lib.Responder,
        is_half_close: bool = False,
    ) -> None:
        """Logs a caller that disconnected before its response was complete."""
        now = clocks.read_monotonic()
        call = context.call
        route = call.admitted.route.name if call else ""
        self._metrics.count_unfinished(route, "caller_left")
        self._log.write(
            records.events.CallerLeft(
                request=context.request_id,
                endpoint=call.endpoint if call else "",
                waited_ms=int((now - context.arrived) * 1000),
                has_started=responder.has_started,
                is_half_close=is_half_close,
                may_have_run=bool(call and call.may_have_run),
            )
        )

    def record_fault(self, context: RequestContext, error: Exception) -> None:
        """Logs an error of the gateway itself."""
        self._log.write(
            records.events.GatewayFault(
                context.request_id, f"{type(error).__name__}: {error}"
            )
        )
