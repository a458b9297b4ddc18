"""The server's side of HTTP/1.1 connections, with limits on request heads.

Responses are sent in the order of their requests, and nothing else is sent
before or within one. What comes behind a request is read while its response is
outstanding, so that the end of the connection is noticed.

References:
    RFC 9112, "HTTP/1.1", sections 2.2 (line ends before a request line) and
    9.3.2 (pipelining).
"""

import asyncio
from collections.abc import Callable

import httptools
from uvicorn.protocols.http import httptools_impl

from sardinewharf import memory
from sardinewharf.http1 import callers
from sardinewharf.http1 import client
from sardinewharf.http1 import closes
from sardinewharf.http1 import keep_alive
from sardinewharf.http1 import parsers
from sardinewharf.http1 import pipelines
from sardinewharf.http1 import rejections
from sardinewharf.http1 import request_sizes
from sardinewharf.http1 import response_queue
from sardinewharf.http1 import timers

# So many headers of a request that is given up for its memory are kept, for the
# report of the close.
_REPORTED_FIELDS = 20

CallerSide = callers.CallerSide


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Protocol of uvicorn with limits on the headers' size and duration.

    A head begins with the first byte of its request line. Its time counts only
    while no response is outstanding, and it is rejected only then: a caller
    that waits for a response owes nothing, and a rejection must not get into a
    response.

    Responses tell in Keep-Alive how long the connection may stay idle, if that
    is a second or more. A limit that is lowered later does not close it
    earlier, until a response tells another time.

    What comes behind a request is parsed until another request is queued; the
    rest waits as bytes. No request begins, and nothing is parsed, before all of
    an earlier response was taken by the transport's socket. A connection whose
    caller takes nothing of a response for long is closed.

    The size of a head that begins behind another request in one piece is
    counted without a header that is not complete.

    Trailers are dropped. Together with the head they are within its limit, and
    so are the bytes of a chunked body between two pieces of data, such as those
    of an endless chunk extension.

    A caller may close its sending side and wait for the responses to the whole
    requests that it sent; the application decides on each what it gets.

    Attributes:
        read_limits: Returns the limits in force.
        closed: Is set when a connection was closed.
        report_close: Receives connections that are closed with a request on
            them, other than by their caller.
        account: Account of the memory that callers' data takes.
        keeps_half_open: Whether a caller that closes its sending side may wait
            for its responses.
    """

    account: memory.MemoryAccount
    read_limits: Callable[[], closes.ServerLimits]
    closed: asyncio.Event
    keeps_half_open: bool
    report_close: Callable[[closes.CloseReport], None]

    # Called by asyncio.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the timer of the first head."""
        super().connection_made(transport)
        self.flow = pipelines.ReadControl(transport)
        client.set_tcp_options(transport.get_extra_info("socket"))
        pipelines.limit_buffers(transport)
        account = type(self).account
        self._unread = account.open(
            memory.Use.UNREAD_REQUEST, self._reject_for_memory
        )
        self._unsent = account.open(memory.Use.UNSENT_RESPONSE, transport.abort)
        self._responses = response_queue.ResponseQueue(self.pipeline)
        self._backlog = pipelines.Backlog()
        self._progress = request_sizes.RequestProgress()
        self._idle_time = keep_alive.IdleTime()
        # Whether it is closed as soon as no request is being read or answered.
        self._is_shutting_down = False
        # Whether the caller closed its sending side, whatever it had sent.
        self._has_caller_ended = False
        # Whether parsing goes on in the loop's next round.
        self._has_next_turn = False
        read_limits = type(self).read_limits
        self._unread_timer = timers.UnreadTimer(
            self.loop, read_limits, transport
        )
        self._head_timer = timers.HeadTimer(self.loop, read_limits)
        self._rejector = rejections.Rejector(
            transport, self._responses, self._progress, self._head_timer
        )
        self._head_timer.start(self._end_slow_head)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the application, and stops the timer."""
        self._head_timer.stop()
        self._unread_timer.stop()
        self._unread.close()
        self._unsent.close()
        if exc is None and not self._has_caller_ended:
            self._report_close()
        if self._responses.is_outstanding():
            self._responses.disconnect()
        self.pipeline.clear()
        self._backlog.clear()
        if self.cycle is not None:
            self.cycle.body.clear()
        super().connection_lost(exc)
        # It refers to this object, which would be kept until the garbage
        # collector runs.
        self.parser = None
        type(self).closed.set()

    def data_received(self, data: bytes) -> None:
        """Keeps received bytes, and parses what may be parsed now."""
        if self._rejector.is_rejected():
            return
        self._backlog.add(data)
        self._parse_backlog()
        self._count_unread()

    def pause_writing(self) -> None:
        """Counts and times what the caller does not read.

        Called by the transport.
        """
        super().pause_writing()
        self._unsent.resize(self.transport.get_write_buffer_size())
        self._unread_timer.start(self._end_unread_response)

    def resume_writing(self) -> None:
        """Ends the count; called by the transport."""
        super().resume_writing()
        self._unsent.resize(0)
        self._unread_timer.stop()
        if self._responses.is_delivering:
            self._responses.is_delivering = False
            self._go_on()

    def eof_received(self) -> bool:
        """Drops a request that is not whole, and tells the application.

        Returns:
            Whether the connection stays open, since a response is outstanding.
        """
        self._has_caller_ended = True
        if not self.keeps_half_open:
            return False
        if self._backlog:
            self._responses.notify_half_closed()
            return True
        return self._end_input()

    def _end_input(self) -> bool:
        """Drops a request that is not whole, as nothing follows.

        Returns:
            Whether a response is outstanding.
        """
        if self._is_reading_current():
            return False
        self._drop_partial_request()
        if not self._responses.is_outstanding():
            return False
        self._responses.mark_last()
        self._responses.notify_half_closed()
        return True

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Starts the timer of a head, unless a response is outstanding."""
        super().on_message_begin()
        self._unset_keepalive_if_required()
        self._progress.begin_message()
        if not self._responses.is_outstanding():
            self._head_timer.start(self._end_slow_head)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header, or counts a trailer.

        Raises:
            TrailersTooLargeError: If the trailers exceed their limit.
        """
        if self._progress.is_in_head:
            super().on_header(name, value)
            return
        limit = type(self).read_limits().header_bytes
        self._progress.add_trailer(name, value, limit)

    def on_body(self, body: bytes) -> None:
        """Passes on data of a body."""
        self._progress.add_body(len(body))
        super().on_body(body)

    def on_headers_complete(self) -> None:
        """Stops the timer and stores the time at which the headers arrived."""
        self._head_timer.stop()
        self.scope["state"]["arrived"] = self.loop.time()
        self.scope["state"]["caller"] = self._responses.caller
        super().on_headers_complete()
        self._progress.end_head(self.url, self.headers)
        self._responses.count_queued()
        if self.pipeline:
            # Else it would not be noticed that the caller leaves.
            self.flow.resume_reading()

    def on_message_complete(self) -> None:
        """Prepares for the head of the next request."""
        if self.parser.should_upgrade():
            # Only the head is complete.
            return
        self._progress.end_message()
        super().on_message_complete()

    # Called by uvicorn.

    def on_response_complete(self) -> None:
        """Goes on with what came behind the request, once it is delivered."""
        if self.flow.write_paused and not self.transport.is_closing():
            self._responses.is_delivering = True
        else:
            self._go_on()

    def _go_on(self) -> None:
        """Goes on with what came behind the request.

        If that is nothing, the idle timeout in force applies, or the one told
        if it is longer.
        """
        self._progress.end_response()
        self.timeout_keep_alive = self._idle_time.find_timeout(
            type(self).read_limits().idle_s
        )
        super().on_response_complete()
        if not self.transport.is_closing():
            self._parse_backlog()
        self._count_unread()
        if self.transport.is_closing() or self._responses.is_outstanding():
            return
        if self._rejector.reason is not None:
            self._rejector.reject(self._rejector.reason)
        elif self._progress.is_in_head:
            self._unset_keepalive_if_required()
            self._head_timer.start(self._end_slow_head)
        elif self._backlog:
            # It is parsed in the loop's next round.
            return
        elif self._is_shutting_down or self._has_caller_ended:
            self.transport.close()

    def shutdown(self) -> None:
        """Closes the connection, once what was begun on it is answered.

        A connection without a request yet counts as begun; the timer of its
        first head limits that.
        """
        self._is_shutting_down = True
        if self._backlog:
            return
        if self._responses.is_outstanding():
            self._responses.mark_last()
        elif not self._head_timer.is_running:
            self.transport.close()

    def _start_asgi_task(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        app: Callable[..., object],
    ) -> None:
        self._responses.current = cycle
        self._responses.count_queued()
        if cycle.keep_alive:
            self._idle_time.tell(cycle, type(self).read_limits().idle_s)
        super()._start_asgi_task(cycle, app)

    def _parse_backlog(self) -> None:
        """Parses what was received, until another request is queued."""
        had_backlog = bool(self._backlog)
        pieces = 0
        while self._may_parse() and pieces < pipelines.MAX_PIECES:
            self._parse(self._backlog.take(self._progress.body_bytes_left))
            pieces += 1
        is_waiting = self._may_parse()
        if is_waiting and not self._has_next_turn:
            self._has_next_turn = True
            self.loop.call_soon(self._parse_next)
        is_too_large = self._backlog.size >= pipelines.MAX_BACKLOG_BYTES
        is_last = self._is_shutting_down and bool(self._backlog)
        self.flow.hold_reading(is_too_large or is_last or is_waiting)
        if (
            had_backlog
            and not self._backlog
            and not self._rejector.is_rejected()
        ):
            self._end_backlog()

    def _parse_next(self) -> None:
        """Parses on, after the other connections had their turn."""
        self._has_next_turn = False
        if not self.transport.is_closing():
            self._parse_backlog()
            self._count_unread()

    def _may_parse(self) -> bool:
        is_blocked = self._responses.is_delivering or bool(self.pipeline)
        return (
            bool(self._backlog)
            and not is_blocked
            and not self._rejector.is_rejected()
        )

    def _end_backlog(self) -> None:
        """Does what waited for the last received byte to be parsed."""
        if self._has_caller_ended:
            if not self._end_input():
                self.transport.close()
        elif self._is_shutting_down and self._responses.is_outstanding():
            self._responses.mark_last()

    def _parse(self, data: bytes) -> None:
        """Parses bytes, and checks the sizes of heads and trailers."""
        self._progress.begin_piece(len(data))
        self._feed(data)
        if self._progress.is_in_head:
            self._check_head_size(len(data))
        elif not self._progress.is_in_message:
            return
        elif self._is_framing_too_large():
            self._reject_message(closes.CloseReason.TRAILERS_TOO_LARGE)
        elif self.timeout_keep_alive_task is not None:
            # The body of a request that was refused before its end.
            self._drain()

    def _drain(self) -> None:
        """Drops a body whose response was sent, up to the size of a body."""
        if self._progress.drained_bytes > type(self).read_limits().body_bytes:
            self._rejector.reason = closes.CloseReason.BODY_AFTER_RESPONSE
            self.transport.abort()
        else:
            self._restart_idle_timer()

    def _count_unread(self) -> None:
        """Counts what waits to be passed on to the application.

        That reads the body of the current request at once.
        """
        size = self._backlog.size
        size += self._progress.count_held_bytes(self.headers)
        size += self._responses.count_held_bytes()
        if size != self._unread.size:
            self._unread.resize(size)

    def _reject_for_memory(self) -> None:
        """Drops what waits behind the current request, and reads no more."""
        self.flow.pause_reading()
        self._responses.clear()
        self._backlog.clear()
        if self._progress.is_in_message:
            # The connection is lost in the loop's next round, and those that
            # send in this one must find the memory free.
            del self.headers[_REPORTED_FIELDS:]
        if self._is_reading_current():
            self._reject_message(closes.CloseReason.OUT_OF_MEMORY)
            return
        self._rejector.reject(closes.CloseReason.OUT_OF_MEMORY)

    def _drop_partial_request(self) -> None:
        """Forgets a request behind others whose rest will not come."""
        if self._progress.is_in_body:
            self._responses.drop_last()
        self._progress.drop_message()
        self._head_timer.stop()

    def _is_reading_current(self) -> bool:
        """Returns whether the body of the current request is being read."""
        is_current = self.cycle is self._responses.current
        return self._progress.is_in_body and is_current

    def _feed(self, data: bytes) -> None:
        """Parses received bytes, and rejects malformed ones."""
        try:
            self._feed_parser(data)
        except httptools.HttpParserError as error:
            self._reject_message(
                closes.CloseReason.TRAILERS_TOO_LARGE
                if isinstance(
                    error.__context__, request_sizes.TrailersTooLargeError
                )
                else closes.CloseReason.MALFORMED
            )

    def _feed_parser(self, data: bytes) -> None:
        """Parses received bytes; a protocol is never changed on request.

        Raises:
            HttpParserError: If they are malformed.
        """
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as error:
                data = data[error.args[0] :]
                parsers.continue_in_http(self)

    def _check_head_size(self, piece_bytes: int) -> None:
        """Rejects a head that is too large, though it is not complete."""
        limit = type(self).read_limits().header_bytes
        size = self._progress.measure_head(piece_bytes, self.url, self.headers)
        if size > limit:
            self._rejector.reject(closes.CloseReason.HEAD_TOO_LARGE)

    def _is_framing_too_large(self) -> bool:
        limit = type(self).read_limits().header_bytes
        return self._progress.framing_bytes > limit

    def _reject_message(self, reason: closes.CloseReason) -> None:
        self._rejector.reject_message(reason, self.cycle)

    def _report_close(self) -> None:
        """Reports the end of a connection if a request was left on it."""
        report = self._rejector.make_report(self.scope)
        if report is not None:
            type(self).report_close(report)

    def _end_unread_response(self) -> None:
        self._rejector.reason = closes.CloseReason.UNREAD_RESPONSE
        self.transport.abort()

    def _end_slow_head(self) -> None:
        """Closes the connection, as the headers did not arrive in time."""
        # A connection on which no request begins is idle, not slow, and gets
        # no response.
        if self._progress.is_in_head:
            self._rejector.reject(closes.CloseReason.SLOW_HEAD)
        else:
            self.transport.close()

    def _restart_idle_timer(self) -> None:
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )


def make_protocol(
    read_limits: Callable[[], closes.ServerLimits],
    account: memory.MemoryAccount,
    closed: asyncio.Event,
    report_close: Callable[[closes.CloseReport], None],
    keeps_half_open: bool = True,
) -> type[LimitedProtocol]:
    """Returns the protocol of one listener; see ``LimitedProtocol``."""
    return type(
        "Protocol",
        (LimitedProtocol,),
        {
            "read_limits": staticmethod(read_limits),
            "closed": closed,
            "report_close": staticmethod(report_close),
            "account": account,
            "keeps_half_open": keeps_half_open,
        },
    )
