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
import dataclasses

import httptools
from uvicorn.protocols.http import httptools_impl

from sardinewharf import memory
from sardinewharf.http1 import client
from sardinewharf.http1 import closes
from sardinewharf.http1 import parsers
from sardinewharf.http1 import pipelines

# Memory that a header takes as objects, beside its bytes.
_FIELD_OVERHEAD_BYTES = 200
# Up to this number headers are not counted as objects: they take no more than
# their connection.
_UNCOUNTED_FIELDS = 64
# So many headers of a request that is given up for its memory are kept, for the
# report of the close.
_REPORTED_FIELDS = 20
# The idle time that callers are told is shorter than the real one by this, in
# seconds: a request on its way must not meet the close.
_IDLE_MARGIN_S = 0.5


@dataclasses.dataclass(slots=True)
class CallerSide:
    """What is known of the caller's side of a connection.

    It is in the state of each request's scope, as ``caller``.

    Attributes:
        is_half_closed: Whether the caller has closed its sending side. The
            application is woken up to see it.
        queued_requests: Number of requests that were parsed behind the one
            that is being answered; a response that closes the connection would
            leave them unanswered.
    """

    is_half_closed: bool = False
    queued_requests: int = 0


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
        # uvloop's transports have no such attribute, and write only at the end
        # of a round of the loop: there, less than the default high-water mark
        # of 64 KB is not counted.
        if hasattr(transport, "max_size"):
            transport.max_size = client.SEGMENT_BYTES
            # What cannot be written at once is counted, see ``pause_writing``.
            transport.set_write_buffer_limits(high=0)
        account = type(self).account
        self._unread = account.open(
            memory.Use.UNREAD_REQUEST, self._reject_for_memory
        )
        self._unsent = account.open(memory.Use.UNSENT_RESPONSE, transport.abort)
        # The request whose response is due next, or was sent last.
        self._current_cycle: httptools_impl.RequestResponseCycle | None = None
        self._caller = CallerSide()
        self._backlog = pipelines.Backlog()
        # Whether all of a response was sent by the application, and not all of
        # it was taken by the socket.
        self._is_delivering = False
        self._is_in_head = False
        self._is_in_message = False
        self._head_bytes = 0
        # Size of the whole fields of a request's head and trailers.
        self._field_bytes = 0
        # What is still to come of a body whose length was stated.
        self._body_bytes_left = 0
        # Received of a chunked body since its latest data.
        self._framing_bytes = 0
        # Messages of which a part lies in the latest parsed piece.
        self._messages_in_piece = 0
        # Whole seconds of Keep-Alive that were told last; 0 for none.
        self._told_idle_s = 0
        # Whether it is closed as soon as no request is being read or answered.
        self._is_shutting_down = False
        # Whether the caller closed its sending side, whatever it had sent.
        self._has_caller_ended = False
        # Why a request is rejected once no response is outstanding; nothing is
        # read any more.
        self._rejection: closes.CloseReason | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the application, and stops the timer."""
        self._stop_head_timer()
        self._stop_unread_timer()
        self._unread.close()
        self._unsent.close()
        if exc is None and not self._has_caller_ended:
            self._report_close()
        if self._has_outstanding_response():
            _disconnect(self._current_cycle)
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
        if self._rejection is not None or self.transport.is_closing():
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
        if self._unread_timer is None:
            self._start_unread_timer()

    def resume_writing(self) -> None:
        """Ends the count; called by the transport."""
        super().resume_writing()
        self._unsent.resize(0)
        self._stop_unread_timer()
        if self._is_delivering:
            self._is_delivering = False
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
            self._caller.is_half_closed = True
            self._current_cycle.message_event.set()
            return True
        return self._end_input()

    def _end_input(self) -> bool:
        """Drops a request that is not whole, as nothing follows.

        Returns:
            Whether a response is outstanding.
        """
        is_in_body = self._is_in_message and not self._is_in_head
        if is_in_body and self.cycle is self._current_cycle:
            return False
        self._drop_partial_request()
        if not self._has_outstanding_response():
            return False
        self._caller.is_half_closed = True
        self._mark_last_request()
        self._current_cycle.message_event.set()
        return True

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Starts the timer of a head, unless a response is outstanding."""
        super().on_message_begin()
        self._unset_keepalive_if_required()
        self._is_in_message = True
        self._is_in_head = True
        self._head_bytes = 0
        self._field_bytes = 0
        self._messages_in_piece += 1
        if self._head_timer is None and not self._has_outstanding_response():
            self._start_head_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header, or counts a trailer.

        Raises:
            _TrailersTooLargeError: If the trailers exceed their limit.
        """
        if self._is_in_head:
            super().on_header(name, value)
            return
        self._field_bytes += len(name) + len(value) + 4
        if self._field_bytes > type(self).read_limits().header_bytes:
            raise _TrailersTooLargeError

    def on_body(self, body: bytes) -> None:
        """Passes on data of a body."""
        self._framing_bytes = 0
        if self._body_bytes_left:
            self._body_bytes_left -= len(body)
        super().on_body(body)

    def on_headers_complete(self) -> None:
        """Stops the timer and stores the time at which the headers arrived."""
        self._stop_head_timer()
        self.scope["state"]["arrived"] = self.loop.time()
        self.scope["state"]["caller"] = self._caller
        super().on_headers_complete()
        self._is_in_head = False
        self._field_bytes = _count_head_bytes(self.url, self.headers)
        self._framing_bytes = 0
        self._body_bytes_left = _find_body_length(self.headers)
        self._caller.queued_requests = len(self.pipeline)
        if self.pipeline:
            # Else it would not be noticed that the caller leaves.
            self.flow.resume_reading()

    def on_message_complete(self) -> None:
        """Prepares for the head of the next request."""
        if self.parser.should_upgrade():
            # Only the head is complete.
            return
        self._is_in_message = False
        self._body_bytes_left = 0
        super().on_message_complete()

    # Called by uvicorn.

    def on_response_complete(self) -> None:
        """Goes on with what came behind the request, once it is delivered."""
        if self.flow.write_paused and not self.transport.is_closing():
            self._is_delivering = True
        else:
            self._go_on()

    def _go_on(self) -> None:
        """Goes on with what came behind the request.

        If that is nothing, the idle timeout in force applies, or the one told
        if it is longer.
        """
        self.timeout_keep_alive = type(self).read_limits().idle_s
        if self._told_idle_s:
            self.timeout_keep_alive = max(
                self.timeout_keep_alive, self._told_idle_s + _IDLE_MARGIN_S
            )
        super().on_response_complete()
        if not self.transport.is_closing():
            self._parse_backlog()
        self._count_unread()
        if self.transport.is_closing() or self._has_outstanding_response():
            return
        if self._rejection is not None:
            self._reject(self._rejection)
        elif self._is_in_head:
            self._unset_keepalive_if_required()
            if self._head_timer is None:
                self._start_head_timer()
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
        if self._has_outstanding_response():
            self._mark_last_request()
        elif self._head_timer is None:
            self.transport.close()

    def _start_asgi_task(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        app: Callable[..., object],
    ) -> None:
        self._current_cycle = cycle
        self._caller.queued_requests = len(self.pipeline)
        if cycle.keep_alive:
            self._tell_idle_time(cycle)
        super()._start_asgi_task(cycle, app)

    def _tell_idle_time(
        self, cycle: httptools_impl.RequestResponseCycle
    ) -> None:
        """Adds to a response how long the connection may stay idle."""
        idle_s = int(type(self).read_limits().idle_s - _IDLE_MARGIN_S)
        if idle_s < 1:
            return
        self._told_idle_s = idle_s
        told = (b"keep-alive", b"timeout=%d" % idle_s)
        cycle.default_headers = [*cycle.default_headers, told]

    def _mark_last_request(self) -> None:
        """Makes the response to the newest request close the connection."""
        last = self.pipeline[0][0] if self.pipeline else self._current_cycle
        last.keep_alive = False

    def _has_outstanding_response(self) -> bool:
        cycle = self._current_cycle
        return self._is_delivering or (
            cycle is not None and not cycle.response_complete
        )

    def _parse_backlog(self) -> None:
        """Parses what was received, until another request is queued."""
        had_backlog = bool(self._backlog)
        while self._may_parse():
            self._parse(self._backlog.take(self._body_bytes_left))
        is_too_large = self._backlog.size >= pipelines.MAX_BACKLOG_BYTES
        is_last = self._is_shutting_down and bool(self._backlog)
        self.flow.hold_reading(is_too_large or is_last)
        if had_backlog and not self._backlog and not self._is_rejected():
            self._end_backlog()

    def _may_parse(self) -> bool:
        is_blocked = self._is_delivering or bool(self.pipeline)
        return (
            bool(self._backlog) and not is_blocked and not self._is_rejected()
        )

    def _is_rejected(self) -> bool:
        return self._rejection is not None or self.transport.is_closing()

    def _end_backlog(self) -> None:
        """Does what waited for the last received byte to be parsed."""
        if self._has_caller_ended:
            if not self._end_input():
                self.transport.close()
        elif self._is_shutting_down and self._has_outstanding_response():
            self._mark_last_request()

    def _parse(self, data: bytes) -> None:
        """Parses bytes, and checks the sizes of heads and trailers."""
        if self._is_in_head:
            self._head_bytes += len(data)
        self._messages_in_piece = int(self._is_in_message)
        self._framing_bytes += len(data)
        self._feed(data)
        if self._is_in_head:
            self._check_head_size(len(data))
        elif self._is_in_message and self._is_framing_too_large():
            self._reject_message(closes.CloseReason.TRAILERS_TOO_LARGE)
        elif self._is_in_message and self.timeout_keep_alive_task is not None:
            # The body of a request that was refused before its end.
            self._restart_idle_timer()

    def _count_unread(self) -> None:
        """Counts what waits to be passed on to the application.

        That reads the body of the current request at once. Many headers are
        counted until the request is whole, for which a caller may take long.
        """
        size = self._backlog.size
        if self._is_in_message and len(self.headers) > _UNCOUNTED_FIELDS:
            size += self._field_bytes
            size += len(self.headers) * _FIELD_OVERHEAD_BYTES
        size += self._head_bytes if self._is_in_head else 0
        size += sum(len(cycle.body) for cycle, _ in self.pipeline)
        if size != self._unread.size:
            self._unread.resize(size)

    def _reject_for_memory(self) -> None:
        """Drops what waits behind the current request, and reads no more."""
        self.flow.pause_reading()
        self.pipeline.clear()
        self._backlog.clear()
        self._caller.queued_requests = 0
        if self._is_in_message:
            # The connection is lost in the loop's next round, and those that
            # send in this one must find the memory free.
            del self.headers[_REPORTED_FIELDS:]
        is_in_body = self._is_in_message and not self._is_in_head
        if is_in_body and self.cycle is self._current_cycle:
            self._reject_message(closes.CloseReason.OUT_OF_MEMORY)
            return
        self._reject(closes.CloseReason.OUT_OF_MEMORY)

    def _drop_partial_request(self) -> None:
        """Forgets a request behind others whose rest will not come."""
        is_in_body = self._is_in_message and not self._is_in_head
        if is_in_body:
            self._drop_last_queued()
        self._is_in_message = self._is_in_head = False
        self._stop_head_timer()

    def _drop_last_queued(self) -> None:
        self.pipeline.popleft()
        self._caller.queued_requests = len(self.pipeline)

    def _feed(self, data: bytes) -> None:
        """Parses received bytes; a protocol is never changed on request."""
        while data:
            try:
                self.parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as error:
                data = data[error.args[0] :]
                self._parse_on_in_http()
            except httptools.HttpParserError as error:
                self._reject_message(
                    closes.CloseReason.TRAILERS_TOO_LARGE
                    if isinstance(error.__context__, _TrailersTooLargeError)
                    else closes.CloseReason.MALFORMED
                )
                return

    def _parse_on_in_http(self) -> None:
        """Replaces the parser by one that is behind the same head."""
        version = self.parser.get_http_version().encode()
        self.parser = parsers.make_parser_behind_head(self)
        self.parser.feed_data(parsers.encode_framing(version, self.headers))

    def _check_head_size(self, piece_bytes: int) -> None:
        """Rejects a head that is too large, though it is not complete."""
        if not self._head_bytes:
            self._head_bytes = (
                piece_bytes
                if self._messages_in_piece == 1
                else _count_head_bytes(self.url, self.headers)
            )
        if self._head_bytes > type(self).read_limits().header_bytes:
            self._reject(closes.CloseReason.HEAD_TOO_LARGE)

    def _is_framing_too_large(self) -> bool:
        return self._framing_bytes > type(self).read_limits().header_bytes

    def _reject_message(self, reason: closes.CloseReason) -> None:
        """Rejects what is being read, unless it was answered already."""
        cycle = self.cycle
        is_in_body = self._is_in_message and not self._is_in_head
        if not is_in_body:
            self._reject(reason)
        elif cycle is not self._current_cycle:
            self._drop_last_queued()
            self._reject(reason)
        elif cycle.response_started:
            self._rejection = reason
            self.transport.close()
        else:
            _disconnect(cycle)
            self._rejection = reason
            self.transport.write(closes.REJECTIONS[reason])
            self.transport.close()

    def _reject(self, reason: closes.CloseReason) -> None:
        """Sends a rejection and closes, once no response is outstanding."""
        self._stop_head_timer()
        self._rejection = reason
        if self._has_outstanding_response() or self.transport.is_closing():
            return
        self.transport.write(closes.REJECTIONS[reason])
        self.transport.close()

    def _report_close(self) -> None:
        """Reports the end of a connection if a request was left on it."""
        is_on_its_way = self._is_in_head or self._rejection is not None
        if not is_on_its_way and not self.pipeline:
            return
        first = self.pipeline[-1][0].scope if self.pipeline else self.scope
        cycle = self._current_cycle
        type(self).report_close(
            closes.CloseReport(
                reason=self._rejection or closes.CloseReason.EARLIER_RESPONSE,
                headers=first["headers"] if first else [],
                head_bytes=self._head_bytes,
                queued=len(self.pipeline),
                has_responded=cycle is not None and cycle.response_started,
            )
        )

    def _start_head_timer(self) -> None:
        seconds = type(self).read_limits().header_s
        self._head_timer = self.loop.call_later(seconds, self._end_slow_head)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _start_unread_timer(self) -> None:
        self._unread_timer = self.loop.call_later(
            type(self).read_limits().unread_s,
            self._end_unread_response,
            pipelines.count_unsent(self.transport),
        )

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _end_unread_response(self, unsent_before: int) -> None:
        """Closes the connection if the caller has taken nothing since."""
        self._unread_timer = None
        if pipelines.count_unsent(self.transport) < unsent_before:
            self._start_unread_timer()
            return
        self._rejection = closes.CloseReason.UNREAD_RESPONSE
        self.transport.abort()

    def _end_slow_head(self) -> None:
        """Closes the connection, as the headers did not arrive in time."""
        self._head_timer = None
        # A connection on which no request begins is idle, not slow, and gets
        # no response.
        if self._is_in_head:
            self._reject(closes.CloseReason.SLOW_HEAD)
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


class _TrailersTooLargeError(Exception):
    """The trailers of a request exceed their limit."""


def _disconnect(cycle: httptools_impl.RequestResponseCycle) -> None:
    """Tells the application that the request's caller is gone."""
    cycle.disconnected = True
    cycle.message_event.set()


def _find_body_length(headers: client.Headers) -> int:
    """Returns the stated length of a body; the parser has checked it."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return 0


def _count_head_bytes(url: bytes, headers: client.Headers) -> int:
    r"""Returns the size of an incomplete head, as far as it was parsed.

    Examples:
        >>> _count_head_bytes(b"/a", [(b"host", b"h")])
        11
    """
    return len(url) + sum(len(n) + len(v) + 4 for n, v in headers)
