"""Sends the response of an engine to the caller while it arrives."""

import asyncio
from collections.abc import Callable
import dataclasses
import math

from starlette import types

from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf import outcomes
from sardinewharf import relay
from sardinewharf.callers import messages

_OutcomeCallback = Callable[[outcomes.Outcome], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseOptions:
    """Format of a response and limit on its sending.

    Attributes:
        request: Id of the request.
        model: Name of the requested model or adapter.
        is_chat: Whether the response is a chat message.
        is_stream: Whether the caller requested a stream of events.
        closes_connection: Whether the connection is closed afterwards.
        stall_seconds: Time after which the response is aborted if its caller
            does not read it.
    """

    request: ids.RequestId
    model: str
    is_chat: bool
    is_stream: bool
    closes_connection: bool
    stall_seconds: float


class RelayedResponse:
    """An ASGI response that sends the events of a relayed stream.

    Args:
        options: Format and limit.
        stream: Source of the events.
        on_outcome: Called once, with the outcome of the request.
    """

    def __init__(
        self,
        options: ResponseOptions,
        stream: relay.RelayedStream,
        on_outcome: _OutcomeCallback,
    ):
        self._options = options
        self._stream = stream
        self._on_outcome = on_outcome
        # Start of the pending send; infinite while no send is pending.
        self._sending_since = math.inf

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Sends the response until it ends, or its caller leaves or stalls."""
        send_response = (
            self._send_events if self._options.is_stream else self._send_json
        )
        outcome: outcomes.Outcome = outcomes.CallerLeft(self._stream.chunks)
        monitor = _CallerMonitor(self, asyncio.current_task())
        disconnect_waiter = asyncio.ensure_future(
            monitor.wait_for_disconnect(receive)
        )
        monitor.check_stall()
        try:
            outcome = await send_response(send)
        except OSError:
            outcome = outcomes.CallerLeft(self._stream.chunks)
        except asyncio.CancelledError:
            if not monitor.has_cancelled:
                raise
            asyncio.current_task().uncancel()
            outcome = outcomes.CallerLeft(self._stream.chunks)
        finally:
            monitor.close()
            disconnect_waiter.cancel()
            await self._stream.close()
            self._on_outcome(outcome)

    @property
    def stall_seconds(self) -> float:
        """Seconds after which a pending send counts as stalled."""
        return self._options.stall_seconds

    def is_stalled(self) -> bool:
        """Returns whether a send has been pending for too long."""
        waited = clocks.read_monotonic() - self._sending_since
        return waited > self._options.stall_seconds

    async def _send_events(self, send: types.Send) -> outcomes.Outcome:
        """Sends the events as they arrive; an error becomes the last event."""
        stream = self._stream
        await send(self._make_start(200, b"text/event-stream"))
        try:
            while events := await stream.read():
                await self._send_body(send, events)
        except outcomes.RequestError as error:
            event = messages.encode_error_event(error.refusal)
            await self._send_body(send, event)
            await self._send_body(send, b"", more=False)
            return outcomes.BrokenStream(error.refusal, stream.chunks)
        await self._send_body(send, b"", more=False)
        return outcomes.Completed(
            200, stream.chunks, 1 + stream.continuation_count
        )

    async def _send_json(self, send: types.Send) -> outcomes.Outcome:
        """Sends the complete response as one JSON object."""
        options = self._options
        parts = []
        try:
            while events := await self._stream.read():
                parts.append(events)
            text, chunks = relay.read_text(b"".join(parts))
        except outcomes.RequestError as error:
            refusal = error.refusal
            await send(self._make_start(refusal.status, b"application/json"))
            body = messages.encode_refusal(refusal)
            await self._send_body(send, body, more=False)
            return refusal
        body = messages.encode_completion(
            options.request, options.model, text, chunks, options.is_chat
        )
        await send(self._make_start(200, b"application/json"))
        await self._send_body(send, body, more=False)
        return outcomes.Completed(
            200, self._stream.chunks, 1 + self._stream.continuation_count
        )

    async def _send_body(
        self, send: types.Send, body: bytes, more: bool = True
    ) -> None:
        self._sending_since = clocks.read_monotonic()
        await send(
            {
                "type": "http.response.body",
                "body": body,
                "more_body": more,
            }
        )
        self._sending_since = math.inf

    def _make_start(self, status: int, media_type: bytes) -> types.Message:
        headers = [
            (b"content-type", media_type),
            (b"x-request-id", self._options.request.encode()),
            (b"cache-control", b"no-store"),
        ]
        if self._options.closes_connection:
            headers.append((b"connection", b"close"))
        return {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }


class _CallerMonitor:
    """Cancels the sending of a response if its caller disconnects or stalls.

    Args:
        response: The response.
        sending: The task that sends it.

    Attributes:
        has_cancelled: Whether the sending was cancelled by this monitor.
    """

    def __init__(self, response: RelayedResponse, sending: asyncio.Task):
        self._response = response
        self._sending = sending
        self._timer: asyncio.TimerHandle | None = None
        self.has_cancelled = False

    async def wait_for_disconnect(self, receive: types.Receive) -> None:
        """Cancels the sending once the caller has disconnected."""
        while (await receive())["type"] != "http.disconnect":
            pass
        self._cancel_sending()

    def check_stall(self) -> None:
        """Cancels the sending if it has stalled, else checks again later."""
        # One periodic check for each stream is cheaper than a timer for each
        # send.
        if self._response.is_stalled():
            self._cancel_sending()
            return
        loop = asyncio.get_running_loop()
        check_interval = self._response.stall_seconds / 2
        self._timer = loop.call_later(check_interval, self.check_stall)

    def close(self) -> None:
        """Stops the periodic check."""
        if self._timer is not None:
            self._timer.cancel()

    def _cancel_sending(self) -> None:
        self.has_cancelled = True
        self._sending.cancel()
