"""Forwards streams to callers, and resumes those that break."""

import asyncio

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf.gateway import dispatcher as dispatcher_lib
from sardinewharf.gateway import failover
from sardinewharf.gateway import messages
from sardinewharf.gateway import readers
from sardinewharf.gateway import refusals
from sardinewharf.gateway import requests
from sardinewharf.gateway import responder as responder_lib
from sardinewharf.gateway import streams

# Callers give a stream up after a gap of this many seconds, or of so many times
# the target latency if that is longer.
_MIN_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4
# Share of that gap in which a lost stream may be sent to another endpoint; the
# rest is for the next event to arrive.
_RESUMPTION_SHARE = 0.8
# How an attempt can end without the rest of its stream.
_LOSSES = (http1.ResponseLostError, streams.EventTooLargeError, TimeoutError)


class StreamForwarder:
    """Forwards one stream event by event.

    A stream that breaks is resumed at another endpoint if the request may run
    again. One that stalls is too, but the attempt at the stalled endpoint stays
    open until the other endpoint has responded.

    Args:
        dispatcher: Sends requests to endpoints.
        reader: Reads from endpoints, and detects stalled ones.
        call: The request.
        attempt: The attempt whose response has begun. It is closed at the end.
        responder: Sends the response to the caller.
    """

    def __init__(
        self,
        dispatcher: dispatcher_lib.Dispatcher,
        reader: readers.EndpointReader,
        call: requests.Call,
        attempt: requests.Attempt,
        responder: responder_lib.Responder,
    ):
        self._dispatcher = dispatcher
        self._reader = reader
        self._call = call
        self._attempt = attempt
        self._responder = responder
        self._framer = streams.EventFramer()
        self._progress_at = clocks.read_monotonic()

    async def run(self) -> bool:
        """Returns whether the stream was forwarded to its end."""
        try:
            await self._responder.start(self._attempt.head)
            while not await self._forward_events():
                if not await self._resume():
                    return False
            await self._responder.finish()
            return True
        finally:
            self._attempt.close()
            self._framer.drop_partial_event()

    async def _forward_events(self) -> bool:
        """Forwards complete events until the stream ends or is lost.

        Returns:
            Whether the stream came to its end.
        """
        try:
            while events := await self._read_next():
                await self._responder.write(events)
                self._progress_at = clocks.read_monotonic()
            self._check_end()
        except _LOSSES as error:
            self._record_loss(error)
            return False
        except refusals.RefusedError as error:
            self._call.last_failure_detail = error.refusal.detail
            return False
        outcomes = self._dispatcher.outcomes
        outcomes.record_success(self._attempt)
        outcomes.record_completion(self._call, self._attempt)
        return True

    async def _read_next(self) -> bytes:
        """Returns the next complete events; empty at the stream's end.

        While the endpoint is stalled, others are tried.
        """
        while True:
            try:
                return await self._read_events(is_patient=False)
            except readers.StalledError as error:
                outcome = await self._dispatcher.fail_over(
                    self._call,
                    self._attempt,
                    str(error),
                    self._read_while_stalled(),
                    self._open_resumption(),
                )
            if isinstance(outcome, failover.Continued):
                return outcome.answer
            if isinstance(outcome, failover.Replaced):
                self._replace_attempt(outcome.attempt)
            self._progress_at = clocks.read_monotonic()

    async def _read_events(self, is_patient: bool) -> bytes:
        """Returns the next complete events; empty at the stream's end.

        Args:
            is_patient: Whether to wait however long the endpoint is stalled.
        """
        attempt = self._attempt
        while True:
            async with asyncio.timeout_at(self._call.deadline.at):
                chunk = await self._read_chunk(is_patient)
            if not chunk:
                return b""
            events = self._framer.feed(chunk)
            # The traceback of a loss keeps its frames until the garbage
            # collector runs.
            del chunk
            attempt.exchange.retain(
                self._framer.pending_bytes, self._framer.drop_partial_event
            )
            if events:
                self._record_events(events)
                return events
            if not is_patient:
                self._reader.check_progress(
                    self._call, attempt, self._progress_at
                )

    async def _read_while_stalled(self) -> bytes:
        try:
            events = await self._read_events(is_patient=True)
            if not events:
                self._check_end()
            return events
        except _LOSSES as error:
            self._record_loss(error)
            raise

    def _check_end(self) -> None:
        """Checks that the stream has not ended within an event.

        Raises:
            ResponseLostError: If it has.
        """
        if not self._framer.is_at_event_end:
            raise http1.ResponseLostError("ends within an event")

    async def _read_chunk(self, is_patient: bool) -> bytes:
        attempt = self._attempt
        if is_patient:
            return await self._reader.read_patiently(
                attempt, attempt.exchange.read
            )
        return await self._reader.read(
            self._call, attempt, attempt.exchange.read
        )

    def _record_events(self, events: bytes) -> None:
        call = self._call
        self._attempt.record_first_event()
        self._progress_at = clocks.read_monotonic()
        self._dispatcher.outcomes.record_progress(call, self._attempt)
        if call.first_byte_at is None:
            call.first_byte_at = self._progress_at
        call.sent_bytes += len(events)

    def _record_loss(self, error: Exception) -> None:
        detail = str(error) or "stream not whole in time"
        self._dispatcher.outcomes.record_loss(self._call, self._attempt, detail)

    async def _resume(self) -> bool:
        """Returns whether another endpoint resumes the stream that was lost.

        If all others are full for the moment, they are tried again while the
        caller still waits for the next event.
        """
        call = self._call
        # Its prefill has ended; no other attempt is to wait for it. What is
        # buffered of an event would not be counted any more.
        self._attempt.close()
        self._framer.drop_partial_event()
        if not call.may_run_again or call.deadline.is_past():
            return False
        if not self._framer.is_resumable:
            return False
        limit = self._find_resumption_limit()
        while not await self._try_to_resume():
            if not call.may_run_again:
                return False
            if not await self._dispatcher.policy.wait_for_room(call, limit):
                return False
        return True

    async def _try_to_resume(self) -> bool:
        """Returns whether an endpoint that may be tried now goes on."""
        try:
            attempt = await self._open_resumption()
        except refusals.RefusedError as error:
            self._call.last_failure_detail = error.refusal.detail
            return False
        self._replace_attempt(attempt)
        return True

    def _find_resumption_limit(self) -> clocks.Deadline:
        """Returns until when the caller waits for the next event."""
        target_s = self._call.admitted.route.target_ms / 1000
        patience_s = max(_MIN_PATIENCE_S, _PATIENCE_TARGETS * target_s)
        return clocks.Deadline(
            self._progress_at + patience_s * _RESUMPTION_SHARE
        )

    async def _open_resumption(self) -> requests.Attempt:
        """Returns an attempt that resumes the stream after its last event.

        Raises:
            RefusedError: If no endpoint can resume it.
        """
        call = self._call
        call.resume_after = (
            self._framer.last_id
            if self._framer.last_id is not None
            else call.request.headers.resume_after
        )
        attempt = await self._dispatcher.open(call)
        if _is_resumed_stream(attempt.head):
            return attempt
        attempt.close()
        raise refusals.refuse(
            refusals.Reason.LOST,
            f"status {attempt.head.status} instead of the rest of the stream",
        )

    def _replace_attempt(self, attempt: requests.Attempt) -> None:
        self._attempt.close()
        self._attempt = attempt
        self._call.returns = 0
        self._framer.drop_partial_event()
        self._progress_at = clocks.read_monotonic()


def _is_resumed_stream(head: messages.ResponseHead | None) -> bool:
    """Returns whether a response can continue a broken stream."""
    return head is not None and head.is_success and head.is_event_stream
