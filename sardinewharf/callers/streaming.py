"""Sends a relayed answer to its caller as it arrives."""

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

_Finish = Callable[[outcomes.Outcome], None]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPlan:
    """How an answer is written.

    Attributes:
        request: The caller's request.
        model: What the caller named as the model.
        is_chat: Whether the answer is a chat message.
        is_stream: Whether the caller wants events.
        closes: Whether the connection is closed after the answer.
        stall_seconds: A caller that takes nothing for this long is cut.
    """

    request: ids.RequestId
    model: str
    is_chat: bool
    is_stream: bool
    closes: bool
    stall_seconds: float


class StreamAnswer:
    """An ASGI answer fed by a relayed stream.

    Args:
        plan: How the answer is written.
        stream: Where the events come from.
        finish: Called once with the outcome.
    """

    def __init__(
        self, plan: AnswerPlan, stream: relay.RelayedStream, finish: _Finish
    ):
        self._plan = plan
        self._stream = stream
        self._finish = finish
        # Set while a send waits for the caller to take what came before.
        self._sending_since = math.inf

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Sends the answer, and cancels it if the caller leaves."""
        work = self._send_events if self._plan.is_stream else self._send_whole
        outcome: outcomes.Outcome = outcomes.CallerLeft(self._stream.chunks)
        watch = _CallerWatch(self, asyncio.current_task())
        leaving = asyncio.ensure_future(watch.wait_for_leave(receive))
        watch.check_stall()
        try:
            outcome = await work(send)
        except OSError:
            outcome = outcomes.CallerLeft(self._stream.chunks)
        except asyncio.CancelledError:
            if not watch.has_left:
                raise
            asyncio.current_task().uncancel()
            outcome = outcomes.CallerLeft(self._stream.chunks)
        finally:
            watch.close()
            leaving.cancel()
            await self._stream.close()
            self._finish(outcome)

    @property
    def stall_seconds(self) -> float:
        """Seconds after which a caller that takes nothing is cut."""
        return self._plan.stall_seconds

    def is_stalled(self) -> bool:
        """Returns whether a send has waited for too long."""
        waited = clocks.read_monotonic() - self._sending_since
        return waited > self._plan.stall_seconds

    async def _send_events(self, send: types.Send) -> outcomes.Outcome:
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

    async def _send_whole(self, send: types.Send) -> outcomes.Outcome:
        plan = self._plan
        parts = []
        try:
            while events := await self._stream.read():
                parts.append(events)
        except outcomes.RequestError as error:
            refusal = error.refusal
            await send(self._make_start(refusal.status, b"application/json"))
            body = messages.encode_refusal(refusal)
            await self._send_body(send, body, more=False)
            return refusal
        text, chunks = relay.read_text(b"".join(parts))
        body = messages.encode_whole_answer(
            plan.request, plan.model, text, chunks, plan.is_chat
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
            (b"x-request-id", self._plan.request.encode()),
            (b"cache-control", b"no-store"),
        ]
        if self._plan.closes:
            headers.append((b"connection", b"close"))
        return {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }


class _CallerWatch:
    """Ends the sending of an answer when its caller leaves or stalls."""

    def __init__(self, answer: StreamAnswer, sending: asyncio.Task):
        self._answer = answer
        self._sending = sending
        self._timer: asyncio.TimerHandle | None = None
        self.has_left = False

    async def wait_for_leave(self, receive: types.Receive) -> None:
        """Cancels the sending once the caller has left."""
        while (await receive())["type"] != "http.disconnect":
            pass
        self._end()

    def check_stall(self) -> None:
        """Cancels the sending once it has stalled, and looks again later."""
        # One slow check for each stream is cheaper than a timer for each send.
        if self._answer.is_stalled():
            self._end()
            return
        loop = asyncio.get_running_loop()
        pause = self._answer.stall_seconds / 2
        self._timer = loop.call_later(pause, self.check_stall)

    def close(self) -> None:
        """Stops looking."""
        if self._timer is not None:
            self._timer.cancel()

    def _end(self) -> None:
        self.has_left = True
        self._sending.cancel()
