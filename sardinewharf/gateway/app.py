"""Serves callers' requests as an ASGI application.

A caller that closes its connection and one that closes only its sending side
send the same FIN, and work for a caller that left must end soon. So a
half-close counts as leaving, but no request that was read ends silently:

- The work is ended, and the caller gets a refusal: 503 if the request has not
  run, 502 if it may have. A stream that has begun ends as incomplete.
- The work of an unsafe request that was sent cannot be taken back, so that it
  is finished and its response delivered.

While the gateway shuts down, requests that cannot end in time are refused
before they are sent. Those that still run near the end get a refusal too: 503
if the request has not run, 502 if it may have. A stream that has begun ends as
incomplete.
"""

import asyncio
from collections.abc import Mapping
import contextlib

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import limits
from sardinewharf import memory
from sardinewharf import records
from sardinewharf.gateway import admission
from sardinewharf.gateway import bodies
from sardinewharf.gateway import callers
from sardinewharf.gateway import endings
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import quotas as quotas_lib
from sardinewharf.gateway import refusals
from sardinewharf.gateway import relay as relay_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import request_log
from sardinewharf.gateway import requests
from sardinewharf.gateway import responder as responder_lib
from sardinewharf.gateway import selection
from sardinewharf.gateway import shutdown as shutdown_lib

Receive = endings.Receive


_CUT_DETAIL = "the gateway shuts down"
_CUT_FOR_MEMORY_DETAIL = "the memory for requests is used up"
_HALF_CLOSED_DETAIL = (
    "you closed your sending side, which counts as leaving; keep it open while"
    " you wait"
)


class GatewayApp:
    """Implements the ASGI application that callers send requests to.

    Args:
        header_codec: Encodes and decodes headers.
        replica: This gateway's replica of the store.
        admission_controller: Admits requests.
        quota_gate: Charges them to the quotas of organisations.
        selector: Chooses the service of a request.
        relay: Forwards requests and their responses.
        shutdown: Tells whether requests can end before the gateway exits.
        account: Counts the memory that requests take.
        log: Receives a record of each refusal and disconnect.
        metrics: Counts refusals and disconnects.

    Attributes:
        rejects_new_requests: Whether new requests are refused, since there is
            no time left to finish them before the shutdown.
        running: Number of requests being handled.
    """

    def __init__(
        self,
        header_codec: messages.HeaderCodec,
        replica: replica_lib.Replica,
        admission_controller: admission.AdmissionController,
        quota_gate: quotas_lib.QuotaGate,
        selector: selection.Selector,
        relay: relay_lib.Relay,
        shutdown: shutdown_lib.Shutdown,
        account: memory.MemoryAccount,
        log: records.RecordSink,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._header_codec = header_codec
        self._replica = replica
        self._admission_controller = admission_controller
        self._quota_gate = quota_gate
        self._selector = selector
        self._relay = relay
        self._request_log = request_log.RequestLog(replica, log, metrics)
        self._shutdown = shutdown
        self._account = account
        self.rejects_new_requests = False
        self.running = 0
        self._is_idle = asyncio.Event()
        self._unread = endings.UnreadBodies()
        self._running_responses: set[endings.RunningResponse] = set()

    async def __call__(
        self,
        scope: Mapping[str, object],
        receive: Receive,
        send: responder_lib.Send,
    ) -> None:
        """Handles one request."""
        self.running += 1
        side = scope["state"]["caller"]
        responder = responder_lib.Responder(
            send,
            scope["method"],
            lambda: self._shutdown.has_begun and not side.queued_requests,
        )
        try:
            await self._handle(scope, receive, responder)
        finally:
            self.running -= 1
            if not self.running:
                self._is_idle.set()

    async def wait_until_idle(self, deadline: clocks.Deadline) -> None:
        """Waits until no request is running, or until the deadline."""
        while self.running and not deadline.is_past():
            self._is_idle.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline.at):
                    await self._is_idle.wait()

    async def end_requests(self) -> None:
        """Ends what still runs, as the gateway is about to exit.

        A response that was begun in one piece goes on: only its delivery is
        left.
        """
        self.rejects_new_requests = True
        if not self.running:
            return
        self._unread.end()
        await asyncio.sleep(endings.READY_ANSWERS_S)
        for running in list(self._running_responses):
            running.end()

    async def _handle(
        self,
        scope: Mapping[str, object],
        receive: Receive,
        responder: responder_lib.Responder,
    ) -> None:
        """Reads a request, responds to it and logs how it failed."""
        arrived = scope["state"]["arrived"]
        context = request_log.RequestContext(
            arrived, bodies.RequestBody(self._account, self._unread)
        )
        try:
            headers = self._read_headers(scope, arrived)
            context.headers = headers
            body = await context.body.read(
                receive,
                scope["headers"],
                self._replica.configuration.limits.body_bytes,
                headers.deadline,
            )
            if body is None:
                raise callers.CallerDisconnectedError
            request = self._make_request(scope, headers, body, arrived)
            caller = callers.Caller(receive, scope["state"]["caller"])
            await self._respond(request, context, caller, responder)
        except refusals.RefusedError as error:
            await self._refuse(error.refusal, context, responder)
        except callers.CallerDisconnectedError:
            self._request_log.record_disconnect(context, responder)
        except callers.CallerHalfClosedError:
            await self._refuse_half_closed(context, responder)
        except endings.EndedError:
            await self._refuse_ended(context, responder)
        except Exception as error:
            self._request_log.record_fault(context, error)
            raise
        finally:
            context.body.close()

    async def _refuse(
        self,
        refusal: refusals.Refusal,
        context: request_log.RequestContext,
        responder: responder_lib.Responder,
    ) -> None:
        """Logs a refusal, and sends it unless a response has begun."""
        self._request_log.record_refusal(refusal, context)
        if responder.has_started:
            return
        await responder.refuse(
            refusal,
            self._header_codec.write_refusal(
                context.request_id, refusal.retry_after_s
            ),
        )

    async def _refuse_half_closed(
        self,
        context: request_log.RequestContext,
        responder: responder_lib.Responder,
    ) -> None:
        """Logs a half-close, and answers it unless a response has begun."""
        self._request_log.record_disconnect(
            context, responder, is_half_close=True
        )
        if responder.has_started:
            return
        reason = (
            refusals.Reason.LOST
            if context.call.may_have_run
            else refusals.Reason.HALF_CLOSED
        )
        await responder.refuse(
            refusals.Refusal(reason, _HALF_CLOSED_DETAIL),
            self._header_codec.write_refusal(context.request_id, None),
        )

    async def _refuse_ended(
        self,
        context: request_log.RequestContext,
        responder: responder_lib.Responder,
    ) -> None:
        """Answers a request that was ended, unless a response has begun."""
        if responder.has_started:
            self._request_log.record_cut(
                context,
                (
                    _CUT_FOR_MEMORY_DETAIL
                    if context.body.is_evicted
                    else _CUT_DETAIL
                ),
            )
            return
        await self._refuse(self._make_end_refusal(context), context, responder)

    def _make_end_refusal(
        self, context: request_log.RequestContext
    ) -> refusals.Refusal:
        """Returns the refusal of a request that the gateway ended."""
        if not context.body.is_evicted:
            return self._shutdown.refuse(context.call).refusal
        if context.call is not None and context.call.may_have_run:
            return refusals.Refusal(
                refusals.Reason.LOST, _CUT_FOR_MEMORY_DETAIL
            )
        return bodies.refuse_for_memory().refusal

    def _read_headers(
        self, scope: Mapping[str, object], arrived: float
    ) -> messages.CallerHeaders:
        limit = self._replica.configuration.limits.header_bytes
        headers = scope["headers"]
        if sum(len(n) + len(v) + 4 for n, v in headers) > limit:
            raise refusals.refuse(
                refusals.Reason.HEADERS_TOO_LARGE,
                f"send at most {limit} bytes",
            )
        try:
            return self._header_codec.read_request(headers, arrived)
        except (messages.MalformedError, UnicodeDecodeError) as error:
            raise refusals.refuse(
                refusals.Reason.MALFORMED, str(error)
            ) from error

    def _make_request(
        self,
        scope: Mapping[str, object],
        headers: messages.CallerHeaders,
        body: bytes | bytearray,
        arrived: float,
    ) -> requests.Request:
        """Returns a request from its ASGI scope, decoded headers and body.

        Repeats have the same fingerprint under each key of their caller's
        organisation. The query is no part of what identifies them.
        """
        path = scope["raw_path"].decode("latin-1")
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        organisation = self._replica.configuration.find_organisation(
            headers.key
        )
        caller = organisation.name if organisation else ""
        return requests.Request(
            method=scope["method"].encode(),
            target=target,
            path=path,
            headers=headers,
            body=body,
            arrived=arrived,
            causes=(
                limits.make_request_cause(f"{caller}\0{path}", body),
                *limits.make_part_causes(
                    headers.prompt.shared_ids if headers.prompt else ()
                ),
            ),
        )

    async def _respond(
        self,
        request: requests.Request,
        context: request_log.RequestContext,
        caller: callers.Caller,
        responder: responder_lib.Responder,
    ) -> None:
        """Admits a request and responds, unless the caller leaves first.

        Raises:
            RefusedError: If the request is refused.
            CallerDisconnectedError: If the caller disconnects meanwhile.
            CallerHalfClosedError: If it closes its sending side meanwhile,
                and the request was ended.
            EndedError: If the gateway shuts down meanwhile, and the
                request was ended.
        """
        if self.rejects_new_requests:
            raise self._shutdown.refuse()
        admitted = self._admission_controller.admit(
            request.headers, request.path
        )
        route = admitted.route
        route_deadline = clocks.Deadline(
            request.arrived + route.timeout_ms / 1000
        )
        call = requests.Call(
            request,
            admitted,
            self._selector.choose_service(route),
            request.headers.deadline.earlier(route_deadline),
        )
        context.call = call
        response_task = asyncio.ensure_future(
            self._relay_unless_half_closed(call, caller, responder)
        )
        running = endings.RunningResponse(call, responder, response_task)
        self._running_responses.add(running)
        context.body.call_when_evicted(running.end)
        try:
            await caller.wait_while_present(response_task)
            call.is_withdrawn = caller.is_half_closed
            if not response_task.done() and not _must_finish(call, responder):
                await _cancel(response_task)
                if response_task.cancelled():
                    raise callers.CallerHalfClosedError
            await caller.wait_while_connected(response_task)
            if response_task.cancelled():
                raise endings.EndedError
            response_task.result()
        finally:
            self._running_responses.discard(running)
            response_task.cancel()

    async def _relay_unless_half_closed(
        self,
        call: requests.Call,
        caller: callers.Caller,
        responder: responder_lib.Responder,
    ) -> None:
        # A half-close right behind the request arrives before this task runs.
        if caller.is_half_closed:
            raise callers.CallerHalfClosedError
        charge = await self._quota_gate.charge(call)
        try:
            await self._relay.respond(call, responder)
        except BaseException:
            self._quota_gate.give_back(charge, call)
            raise


def _must_finish(
    call: requests.Call, responder: responder_lib.Responder
) -> bool:
    """Returns whether a request of a half-closed caller is finished.

    A response that was begun in one piece costs its endpoint nothing more.
    """
    kind = call.admitted.route.kind
    if kind is catalog.RouteKind.UNSAFE:
        return call.may_have_run
    return kind is not catalog.RouteKind.STREAM and responder.has_started


async def _cancel(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits until it has ended."""
    task.cancel()
    await asyncio.wait({task})
