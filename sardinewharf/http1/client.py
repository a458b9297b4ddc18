"""HTTP/1.1 client that tracks which bytes were sent and which were requested.

A router has to know whether any byte of a request may have been sent, since the
request may then have run, and whether received bytes belong to the request.
Responses are parsed with httptools.

See Also:
    ``pools.Pool``, which keeps connections for reuse.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import socket

import httptools

from sardinewharf import addresses
from sardinewharf import clocks
from sardinewharf import memory

# A connection is closed if sent bytes or keep-alive probes were not
# acknowledged for this time.
_TCP_USER_TIMEOUT_MS = 2_500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Reading from a connection pauses while more bytes of a body are buffered.
_HIGH_WATER_BYTES = 262_144
# Idle connections are reused for this share of the idle timeout that the
# endpoint states, since the endpoint's timer may have started earlier.
_IDLE_TIMEOUT_SHARE = 0.7
# Idle timeout assumed if the endpoint states none.
_DEFAULT_IDLE_TIMEOUT_S = 0.25

# Range of statuses (RFC 9110, section 15).
_MIN_STATUS = 100
_MAX_STATUS = 599
# The endpoint waits for the body of a request (RFC 9110, section 15.2.1).
_CONTINUE = 100
# Most bytes that may arrive without completing the head or adding to the body.
_MAX_OVERHEAD_BYTES = 65_536
# Bytes that are read or written at a time. The event loop would read four times
# as many, and copies what it cannot write at once.
SEGMENT_BYTES = 65_536
# Received bytes are parsed before any connection reads again, so that all share
# one buffer. A buffer for each read, shrunk to what came, would leave gaps in
# memory between the pieces of bodies that are kept.
_RECEIVE_BUFFER = memoryview(bytearray(SEGMENT_BYTES))
_MEMORY_REASON = "the memory for responses is used up"

Headers = Sequence[tuple[bytes, bytes]]


class ConnectError(Exception):
    """Raised if no connection could be made; nothing was sent."""


class ResponseLostError(Exception):
    """Raised if a response did not arrive completely."""


@dataclasses.dataclass(slots=True)
class Head:
    """Status and headers of a response.

    Attributes:
        status: HTTP status.
        headers: Header names, in lower case, and values in order.
    """

    status: int
    headers: list[tuple[bytes, bytes]]

    def find(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


class Exchange:
    """One request on a connection, and its response as it arrives.

    Attributes:
        method: HTTP method.
        is_first: Whether it is the connection's first exchange. Only then no
            bytes of an earlier response can be taken for this one's.
        is_complete: Whether the complete response has arrived.
        was_lost: Whether the connection ended before the response did.
        has_framed_end: Whether the end of the response is stated by its
            framing, and not by the end of its connection.
        has_begun: Whether an interim response other than 100 (Continue) shows
            that the endpoint began to work on the request.
    """

    def __init__(
        self,
        connection: "Connection",
        method: bytes,
        is_first: bool = True,
        account: memory.MemoryAccount | None = None,
        use: memory.Use = memory.Use.RESPONSE,
    ):
        self._connection = connection
        self._reservation = account.open(use, self._evict) if account else None
        # Bytes that were read and that the reader still holds.
        self._retained_bytes = 0
        self._release: Callable[[], None] | None = None
        self._event = asyncio.Event()
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._head: Head | None = None
        self._error: str | None = None
        self.method = method
        self.is_first = is_first
        self.is_complete = False
        self.was_lost = False
        self.has_framed_end = True
        self.has_begun = False

    @property
    def has_ended_with_connection(self) -> bool:
        """Whether the response ended because its connection did."""
        return self.was_lost or (self.is_complete and not self.has_framed_end)

    async def read_head(self) -> Head:
        """Waits for the status and headers of the response and returns them.

        Raises:
            ResponseLostError: If the connection ends first.
        """
        while self._head is None:
            if self._error is not None:
                raise ResponseLostError(self._error)
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Waits for data of the body and returns it; empty at the body's end.

        Raises:
            ResponseLostError: If the connection ends before the body does.
        """
        while not self._chunks:
            if self._error is not None:
                raise ResponseLostError(self._error)
            if self.is_complete:
                return b""
            await self._wait()
        chunks = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        self._count_held()
        self._connection.resume_reading()
        return chunks

    def retain(
        self, size: int, release: Callable[[], None] | None = None
    ) -> None:
        """Counts what the reader holds of the data that it has read.

        Args:
            size: All bytes that it holds, in place of what was counted before.
            release: Frees them; called at once if the response is given up.

        Raises:
            ResponseLostError: If the memory for responses is used up.
        """
        self._retained_bytes = size
        self._release = release
        if not self._count_held():
            raise ResponseLostError(self._error or _MEMORY_REASON)

    def close(self) -> None:
        """Ends the exchange; an incomplete response ends the connection too."""
        if self._reservation is not None:
            self._reservation.close()
        if not self.is_complete:
            self._connection.abort()
        # The connection refers to this object and keeps it.
        self._chunks.clear()
        self._release = None

    def _count_held(self, partial_head_bytes: int = 0) -> bool:
        """Counts the bytes held; returns whether they may be kept."""
        if self._reservation is None:
            return True
        return self._reservation.resize(
            self._buffered_bytes + self._retained_bytes + partial_head_bytes
        )

    def _evict(self) -> None:
        """Gives the response up, as the memory for responses is used up."""
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._release is not None:
            self._release()
        self._error = self._error or _MEMORY_REASON
        self._event.set()
        self._connection.abort()

    async def _wait(self) -> None:
        self._event.clear()
        await self._event.wait()

    def set_head(self, head: Head) -> None:
        """Sets the response's status and headers; called by the connection."""
        self._head = head
        self._event.set()

    def add_chunk(self, chunk: bytes) -> None:
        """Adds received data of the body; called by the connection."""
        if self._error is not None:
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        if not self._count_held():
            return
        if self._buffered_bytes > _HIGH_WATER_BYTES:
            self._connection.pause_reading()
        self._event.set()

    def count_partial_head(self, size: int) -> None:
        """Counts what came of an incomplete head; called by the connection."""
        if self._head is None:
            self._count_held(size)

    def finish(self) -> None:
        """Marks the response as complete; called by the connection."""
        if self._error is not None:
            return
        self.is_complete = True
        self._event.set()

    def fail(self, reason: str) -> None:
        """Marks an incomplete response as lost; called by the connection."""
        if not self.is_complete and self._error is None:
            self.was_lost = True
            self._error = reason
            self._event.set()


class Connection(asyncio.BufferedProtocol):
    """A connection to one endpoint, for one exchange at a time.

    It is aborted if bytes arrive that belong to no request. A large request is
    written piece by piece, as the endpoint reads it.

    Args:
        account: Account of the memory that responses take; None for no limit
            on all of them together.
        use: What the responses are counted as.

    Attributes:
        idle_until: When the endpoint may close the connection if it stays idle.
        reuse_until: When the connection becomes too old for another request;
            set by the pool.
    """

    def __init__(
        self,
        account: memory.MemoryAccount | None = None,
        use: memory.Use = memory.Use.RESPONSE,
    ):
        self._account = account
        self._use = use
        self._transport: asyncio.Transport | None = None
        # None once the connection is closed: it refers to this object.
        self._parser: httptools.HttpResponseParser | None = None
        # What is still to be written of the request.
        self._unsent = memoryview(b"")
        self._is_write_paused = False
        self._exchange: Exchange | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body_ends_at_eof = False
        self._is_paused = False
        self._has_head = False
        # Bytes received since the end of the head or the last data of the body.
        self._overhead_bytes = 0
        self._is_unusable = False
        self.idle_until = clocks.Deadline(0.0)
        self.reuse_until = clocks.Deadline(0.0)

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and usable for another request.

        It is not while reading is paused, as unread bytes may lie in it.
        """
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._is_unusable
            and not self._is_paused
        )

    @property
    def is_flushed(self) -> bool:
        """Whether all written bytes were passed to the operating system."""
        transport = self._transport
        return (
            transport is not None
            and not self._unsent
            and not transport.get_write_buffer_size()
        )

    def start(
        self, method: bytes, request: bytes, body: bytes | bytearray = b""
    ) -> Exchange:
        """Writes a request and returns its exchange.

        Args:
            method: HTTP method.
            request: The request, or its head.
            body: The body behind the head; it is not copied if it is large.
        """
        is_first = self._exchange is None
        self._exchange = Exchange(
            self, method, is_first, self._account, self._use
        )
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._has_head = False
        self._overhead_bytes = 0
        self._body_ends_at_eof = False
        if len(body) <= SEGMENT_BYTES:
            self._unsent = memoryview(request + body)
        else:
            self._transport.write(request)
            self._unsent = memoryview(body)
        self._write_more()
        return self._exchange

    def abort(self) -> None:
        """Closes the connection at once; unsent bytes are discarded."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection after the written bytes were sent."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.close()

    def pause_reading(self) -> None:
        """Stops reading until the buffered data has been consumed."""
        if not self._is_paused and not self._transport.is_closing():
            self._is_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continues to read after a pause."""
        if self._is_paused:
            self._is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _write_more(self) -> None:
        """Writes the next pieces of the request that the transport takes."""
        while self._unsent and not self._is_write_paused:
            piece = self._unsent[:SEGMENT_BYTES]
            self._unsent = self._unsent[SEGMENT_BYTES:]
            self._transport.write(piece)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by asyncio."""
        self._transport = transport

    def pause_writing(self) -> None:
        """Stops writing, as the endpoint reads slowly; called by asyncio."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Writes the rest of the request; called by asyncio."""
        self._is_write_paused = False
        if not self._transport.is_closing():
            self._write_more()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where received bytes are written to; called by asyncio."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes; called by asyncio."""
        self.data_received(_RECEIVE_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses received bytes."""
        exchange = self._exchange
        if exchange is None or exchange.is_complete:
            # These bytes belong to no request.
            self.abort()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._fail(exchange, f"not an HTTP answer: {type(e).__name__}")
            return
        if self._overhead_bytes > _MAX_OVERHEAD_BYTES:
            self._fail(exchange, "headers without end")
        elif not self._has_head:
            exchange.count_partial_head(self._overhead_bytes)

    def _fail(self, exchange: Exchange, reason: str) -> None:
        """Marks the response as lost and closes the connection."""
        self._is_unusable = True
        exchange.fail(reason)
        self._transport.abort()

    def eof_received(self) -> None:
        """Completes a body that ends with the connection; called by asyncio."""
        exchange = self._exchange
        if exchange is not None and self._body_ends_at_eof:
            exchange.finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks an incomplete response as lost; called by asyncio."""
        self._is_unusable = True
        self._parser = None
        self._unsent = memoryview(b"")
        if self._exchange is not None:
            reason = "reset" if exc is not None else "closed by the endpoint"
            self._exchange.fail(reason)

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Prevents reuse if a second response arrives for one request."""
        if self._exchange.is_complete:
            self._is_unusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header of the response; trailers are dropped."""
        # The headers of an unrequested second response must not be added to
        # those of the first, nor trailers (RFC 9110, section 6.5.1).
        if not self._has_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Passes the complete status and headers to the exchange.

        Raises:
            ResponseLostError: If the status is none that HTTP defines.
        """
        if self._exchange.is_complete:
            return
        status = self._parser.get_status_code()
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            raise ResponseLostError(f"status {status} is outside 100 to 599")
        if 100 <= status < 200:
            self._headers = []
            self._exchange.has_begun |= status != _CONTINUE
            return
        head = Head(status, self._headers)
        if not self._parser.should_keep_alive():
            self._is_unusable = True
        has_length = head.find(b"content-length") is not None
        coding = head.find(b"transfer-encoding")
        self._body_ends_at_eof = not has_length and coding is None
        self._exchange.has_framed_end = not self._body_ends_at_eof
        self._set_idle_until(head)
        self._has_head = True
        self._overhead_bytes = 0
        self._exchange.set_head(head)
        if self._exchange.method == b"HEAD":
            self._is_unusable = True
            self._exchange.finish()

    def on_body(self, body: bytes) -> None:
        """Passes received data of the body to the exchange.

        Raises:
            ResponseLostError: If it follows an informational response, which
                has no body.
        """
        if not self._has_head:
            raise ResponseLostError("a body without a final status")
        self._overhead_bytes = 0
        if not self._exchange.is_complete:
            self._exchange.add_chunk(body)

    def on_message_complete(self) -> None:
        """Completes the exchange, except after an informational response."""
        if self._has_head:
            self._exchange.finish()

    def _set_idle_until(self, head: Head) -> None:
        """Sets ``idle_until`` from the header ``keep-alive``, or a default."""
        value = head.find(b"keep-alive") or b""
        seconds = _DEFAULT_IDLE_TIMEOUT_S
        for field in value.split(b","):
            name, _, number = field.strip().partition(b"=")
            if name == b"timeout" and number.isdigit():
                seconds = int(number) * _IDLE_TIMEOUT_SHARE
        self.idle_until = clocks.Deadline.after(seconds)


async def connect(
    address: str,
    deadline: clocks.Deadline,
    account: memory.MemoryAccount | None = None,
    use: memory.Use = memory.Use.RESPONSE,
) -> Connection:
    """Opens a connection to ``IP:PORT``.

    Args:
        address: The endpoint's ``IP:PORT``.
        deadline: When to give up.
        account: Account of the memory that responses take; None for no limit
            on all of them together.
        use: What the responses are counted as.

    Raises:
        ConnectError: If it could not be opened by the deadline.
    """
    loop = asyncio.get_running_loop()
    try:
        host, port = addresses.parse_address(address)
        async with asyncio.timeout(deadline.remaining()):
            _, connection = await loop.create_connection(
                lambda: Connection(account, use), host, port
            )
    # A host name that cannot be encoded is a ValueError.
    except (OSError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise ConnectError(f"{address}: {reason}") from error
    set_tcp_options(connection._transport.get_extra_info("socket"))
    return connection


def set_tcp_options(sock: socket.socket) -> None:
    """Sets options by which unresponsive peers are detected within seconds.

    It also turns off Nagle's algorithm.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, name, value in options:
        sock.setsockopt(level, name, value)


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    r"""Returns the bytes of a request, and adds its content-length header.

    Examples:
        >>> encode_request(b"GET", b"/", [(b"host", b"h")], b"")
        b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
    """
    return encode_head(method, target, headers, len(body)) + body


def encode_head(
    method: bytes, target: bytes, headers: Headers, body_size: int
) -> bytes:
    r"""Returns the head of a request with a body of so many bytes.

    Examples:
        >>> encode_head(b"PUT", b"/", [(b"host", b"h")], 3)
        b'PUT / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\n'
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body_size or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % body_size)
    return b"\r\n".join(lines) + b"\r\n\r\n"
