"""Rejects what a caller sends, and reports the closes of connections."""

import asyncio

from uvicorn.protocols.http import httptools_impl

from sardinewharf.http1 import closes
from sardinewharf.http1 import request_sizes
from sardinewharf.http1 import response_queue
from sardinewharf.http1 import timers


class Rejector:
    """Closes a connection, with a rejection where none gets into a response.

    Args:
        transport: The connection's transport.
        responses: The responses that are due on the connection.
        progress: How far the request that is being read has come.
        head_timer: The timer of its head.

    Attributes:
        reason: Why a request is rejected once no response is outstanding;
            nothing is read any more.
    """

    __slots__ = (
        "_head_timer",
        "_progress",
        "_responses",
        "_transport",
        "reason",
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        responses: response_queue.ResponseQueue,
        progress: request_sizes.RequestProgress,
        head_timer: timers.HeadTimer,
    ):
        self._transport = transport
        self._responses = responses
        self._progress = progress
        self._head_timer = head_timer
        self.reason: closes.CloseReason | None = None

    def is_rejected(self) -> bool:
        """Returns whether nothing is read any more."""
        return self.reason is not None or self._transport.is_closing()

    def reject_message(
        self,
        reason: closes.CloseReason,
        cycle: httptools_impl.RequestResponseCycle | None,
    ) -> None:
        """Rejects what is being read, unless it was answered already.

        Args:
            reason: Why it is rejected.
            cycle: The request whose head was read last.
        """
        if not self._progress.is_in_body:
            self.reject(reason)
        elif cycle is not self._responses.current:
            self._responses.drop_last()
            self.reject(reason)
        elif cycle.response_started:
            self.reason = reason
            self._transport.close()
        else:
            self._responses.disconnect()
            self.reason = reason
            self._transport.write(closes.REJECTIONS[reason])
            self._transport.close()

    def reject(self, reason: closes.CloseReason) -> None:
        """Sends a rejection and closes, once no response is outstanding."""
        self._head_timer.stop()
        self.reason = reason
        if self._responses.is_outstanding() or self._transport.is_closing():
            return
        self._transport.write(closes.REJECTIONS[reason])
        self._transport.close()

    def make_report(
        self, scope: httptools_impl.HTTPScope | None
    ) -> closes.CloseReport | None:
        """Returns the report of a close; None if no request was left.

        Args:
            scope: The scope of the request that was read last.
        """
        is_on_its_way = self._progress.is_in_head or self.reason is not None
        queued = self._responses.queued
        if not is_on_its_way and not queued:
            return None
        first = queued[-1][0].scope if queued else scope
        return closes.CloseReport(
            reason=self.reason or closes.CloseReason.EARLIER_RESPONSE,
            headers=first["headers"] if first else [],
            head_bytes=self._progress.head_bytes,
            queued=len(queued),
            has_responded=self._responses.has_responded(),
        )
