"""Forwards endpoints' responses to callers, completely and in order."""

import asyncio

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf import records
from sardinewharf.gateway import dispatcher as dispatcher_lib
from sardinewharf.gateway import forwarding
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import readers
from sardinewharf.gateway import requests
from sardinewharf.gateway import responder as responder_lib
from sardinewharf.gateway import shutdown as shutdown_lib

# The account of the process's memory may allow less.
_MAX_BODY_BYTES = 16 * 1024 * 1024


class Relay:
    """Responds to requests with the responses of endpoints.

    Args:
        dispatcher: Sends requests to endpoints.
        reader: Reads from endpoints, and detects stalled ones.
        shutdown: Learns how long requests take.
        log: Receives a record of how each response ended.
        metrics: Counts responses by how they ended.
    """

    def __init__(
        self,
        dispatcher: dispatcher_lib.Dispatcher,
        reader: readers.EndpointReader,
        shutdown: shutdown_lib.Shutdown,
        log: records.RecordSink,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._dispatcher = dispatcher
        self._reader = reader
        self._durations = shutdown.durations
        self._log = log
        self._metrics = metrics

    async def respond(
        self, call: requests.Call, responder: responder_lib.Responder
    ) -> None:
        """Sends a request to endpoints and forwards the response.

        Raises:
            RefusedError: If no endpoint responded, so that nothing was sent to
                the caller yet.
        """
        route = call.admitted.route.name
        with self._durations.track(route) as began:
            try:
                await self._forward(call, responder)
            except asyncio.CancelledError:
                raise
            except Exception:
                if call.may_have_run:
                    self._durations.record(route, began)
                raise
            self._durations.record(route, began)

    async def _forward(
        self, call: requests.Call, responder: responder_lib.Responder
    ) -> None:
        """Sends a request to endpoints until one gives a response to forward.

        Raises:
            RefusedError: If no endpoint did.
        """
        while True:
            attempt = await self._dispatcher.open(call)
            head = attempt.head
            is_stream = _is_stream(call, head)
            try:
                if is_stream:
                    forwarder = forwarding.StreamForwarder(
                        self._dispatcher, self._reader, call, attempt, responder
                    )
                    is_complete = await forwarder.run()
                    self._log_end(call, head, is_complete)
                    return
                body = await self._read_body(call, attempt)
                if body is not None:
                    call.first_byte_at = clocks.read_monotonic()
                    call.sent_bytes = len(body)
                    # The transport counts what the caller does not read.
                    attempt.exchange.retain(0)
                    await responder.send_response(head, body)
                    self._log_end(call, head, is_complete=True)
                    return
            finally:
                attempt.close()

    async def _read_body(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> bytes | None:
        """Returns a complete body, or None if it did not arrive in full."""
        chunks: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout_at(call.deadline.at):
                while chunk := await attempt.exchange.read():
                    chunks.append(chunk)
                    size += len(chunk)
                    attempt.exchange.retain(size, chunks.clear)
                    if size > _MAX_BODY_BYTES:
                        raise http1.ResponseLostError("the answer is too large")
        except http1.ResponseLostError as error:
            self._dispatcher.outcomes.record_loss(call, attempt, str(error))
            return None
        except TimeoutError:
            self._dispatcher.outcomes.record_loss(
                call, attempt, "answer not whole in time"
            )
            return None
        self._dispatcher.outcomes.record_completion(call, attempt)
        if attempt.head.is_success:
            self._dispatcher.outcomes.record_success(attempt)
        return b"".join(chunks)

    def _log_end(
        self,
        call: requests.Call,
        head: messages.ResponseHead,
        is_complete: bool,
    ) -> None:
        now = clocks.read_monotonic()
        arrived = call.request.arrived
        route = call.admitted.route.name
        first_byte_s = (call.first_byte_at or now) - arrived
        request_id = call.request.headers.request_id
        if not is_complete:
            self._metrics.count_unfinished(route, "cut")
            self._log.write(
                records.events.ResponseAborted(
                    request=request_id,
                    endpoint=call.endpoint,
                    detail=call.last_failure_detail,
                    last_event=call.resume_after,
                    total_ms=int((now - arrived) * 1000),
                )
            )
            return
        self._metrics.count_answer(
            route, head.status, first_byte_s, now - arrived
        )
        self._log.write(
            records.events.RequestAnswered(
                request=request_id,
                status=head.status,
                endpoint=call.endpoint,
                sends=call.sends,
                first_ms=int(first_byte_s * 1000),
                total_ms=int((now - arrived) * 1000),
                bytes=call.sent_bytes,
                states_not_run=head.is_not_run,
            )
        )


def _is_stream(call: requests.Call, head: messages.ResponseHead) -> bool:
    """Returns whether a response is forwarded event by event."""
    is_stream_route = call.admitted.route.kind is catalog.RouteKind.STREAM
    return is_stream_route and head.is_success and head.is_event_stream
