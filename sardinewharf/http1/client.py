"""Sends HTTP/1.1 requests over connections whose every byte is accounted for.

A router has to know whether a byte of a request may have left, and whether a
byte that arrives was asked for. The parser is that of httptools.

See Also:
    ``pools.Pool``, which keeps connections for reuse.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import socket

import httptools

from sardinewharf import clocks

# Unacknowledged bytes and missed keep-alive probes end a connection after
# this time, in milliseconds.
_TCP_USER_TIMEOUT_MS = 2_500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Bytes of a body that wait for their reader before reading pauses.
_HIGH_WATER_BYTES = 262_144
# Idle connections are reused for this share of the time that the endpoint
# states, since its own timer may have begun earlier.
_IDLE_TIMEOUT_SHARE = 0.7
# Reuse of connections whose endpoint states no idle time, in seconds.
_DEFAULT_IDLE_TIMEOUT_S = 0.25

Headers = Sequence[tuple[bytes, bytes]]


class ConnectError(Exception):
    """No connection was made; nothing was sent."""


class ResponseLostError(Exception):
    """A connection ended before the answer did."""


@dataclasses.dataclass(slots=True)
class Head:
    """Status and headers of an answer.

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
    """One request on a connection, and its answer as it arrives.

    Attributes:
        method: HTTP method.
        is_complete: Whether the whole answer has arrived.
        was_lost: Whether the connection ended before.
    """

    def __init__(self, connection: "Connection", method: bytes):
        self._connection = connection
        self._event = asyncio.Event()
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._head: Head | None = None
        self._error: str | None = None
        self.method = method
        self.is_complete = False
        self.was_lost = False

    async def read_head(self) -> Head:
        """Waits for the answer's status and headers.

        Raises:
            ResponseLostError: If the connection ends first.
        """
        while self._head is None:
            if self._error is not None:
                raise ResponseLostError(self._error)
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Returns what has arrived of the body; empty at its end.

        Raises:
            ResponseLostError: If the connection ends before the body does.
        """
        while not self._chunks:
            if self.is_complete:
                return b""
            if self._error is not None:
                raise ResponseLostError(self._error)
            await self._wait()
        chunks = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        self._connection.resume_reading()
        return chunks

    def close(self) -> None:
        """Ends the exchange; an unfinished answer ends its connection."""
        if not self.is_complete:
            self._connection.abort()

    async def _wait(self) -> None:
        self._event.clear()
        await self._event.wait()

    def set_head(self, head: Head) -> None:
        """Takes the answer's head from the connection."""
        self._head = head
        self._event.set()

    def add_chunk(self, chunk: bytes) -> None:
        """Takes a part of the body from the connection."""
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        if self._buffered_bytes > _HIGH_WATER_BYTES:
            self._connection.pause_reading()
        self._event.set()

    def finish(self) -> None:
        """Marks the answer as complete."""
        self.is_complete = True
        self._event.set()

    def fail(self, reason: str) -> None:
        """Marks the answer as lost."""
        if not self.is_complete and self._error is None:
            self.was_lost = True
            self._error = reason
            self._event.set()


class Connection(asyncio.Protocol):
    """A connection to one endpoint, which serves one exchange at a time.

    Attributes:
        idle_until: When the endpoint may close it.
        reuse_until: Until when another request may be sent on it.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body_ends_at_eof = False
        self._is_paused = False
        self._has_head = False
        self._is_unusable = False
        self.idle_until = clocks.Deadline(0.0)
        self.reuse_until = clocks.Deadline(0.0)

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent on it."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._is_unusable
        )

    @property
    def is_flushed(self) -> bool:
        """Whether all bytes written were passed to the system."""
        transport = self._transport
        return transport is not None and not transport.get_write_buffer_size()

    def start(self, method: bytes, request: bytes) -> Exchange:
        """Writes a request and returns its exchange."""
        self._exchange = Exchange(self, method)
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._has_head = False
        self._body_ends_at_eof = False
        self._transport.write(request)
        return self._exchange

    def abort(self) -> None:
        """Ends the connection at once."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Ends the connection after what was written."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.close()

    def pause_reading(self) -> None:
        """Lets the peer wait until the reader has caught up."""
        if not self._is_paused and not self._transport.is_closing():
            self._is_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads on after a pause."""
        if self._is_paused:
            self._is_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport of a new connection."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Takes in received bytes."""
        exchange = self._exchange
        if exchange is None or exchange.is_complete:
            # Nobody asked for these bytes.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._is_unusable = True
            exchange.fail(f"not an HTTP answer: {type(e).__name__}")
            self._transport.abort()

    def eof_received(self) -> None:
        """Notes that the peer sends no more."""
        exchange = self._exchange
        if exchange is not None and self._body_ends_at_eof:
            exchange.finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes the end of the connection."""
        self._is_unusable = True
        if self._exchange is not None:
            reason = "reset" if exc is not None else "closed by the endpoint"
            self._exchange.fail(reason)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Notes the begin of a message."""
        if self._exchange.is_complete:
            self._is_unusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes in a header."""
        # Headers of a second answer would join those of the first.
        if not self._exchange.is_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Takes in a whole head."""
        if self._exchange.is_complete:
            return
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            self._headers = []
            return
        head = Head(status, self._headers)
        if not self._parser.should_keep_alive():
            self._is_unusable = True
        has_length = head.find(b"content-length") is not None
        coding = head.find(b"transfer-encoding")
        self._body_ends_at_eof = not has_length and coding is None
        self._set_idle_until(head)
        self._has_head = True
        self._exchange.set_head(head)
        if self._exchange.method == b"HEAD":
            self._is_unusable = True
            self._exchange.finish()

    def on_body(self, body: bytes) -> None:
        """Takes in a part of the body."""
        if not self._exchange.is_complete:
            self._exchange.add_chunk(body)

    def on_message_complete(self) -> None:
        """Notes the end of a message."""
        if self._has_head:
            self._exchange.finish()

    def _set_idle_until(self, head: Head) -> None:
        value = head.find(b"keep-alive") or b""
        seconds = _DEFAULT_IDLE_TIMEOUT_S
        for field in value.split(b","):
            name, _, number = field.strip().partition(b"=")
            if name == b"timeout" and number.isdigit():
                seconds = int(number) * _IDLE_TIMEOUT_SHARE
        self.idle_until = clocks.Deadline.after(seconds)


async def connect(address: str, deadline: clocks.Deadline) -> Connection:
    """Returns a new connection to ``IP:PORT``.

    Raises:
        ConnectError: If there is none by the deadline.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(deadline.remaining()):
            _, connection = await loop.create_connection(
                Connection, host, int(port)
            )
    except (OSError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise ConnectError(f"{address}: {reason}") from error
    set_tcp_options(connection._transport.get_extra_info("socket"))
    return connection


def set_tcp_options(sock: socket.socket) -> None:
    """Lets the system end a connection whose peer went silent."""
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
    r"""Returns a request's bytes; its length header is set here.

    Examples:
        >>> encode_request(b"GET", b"/", [(b"host", b"h")], b"")
        b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
    """
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
