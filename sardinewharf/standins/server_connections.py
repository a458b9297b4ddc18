"""Connections of the test doubles of the users' servers.

A connection parses requests and writes responses. Its server may be silent for
a while: what it writes, and the end of the connection, then wait in order.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import socket
import struct
from typing import Protocol

import httptools

from sardinewharf import clocks

# Socket option SO_LINGER: on, with no time to send what is left.
_NO_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class ServerRequest:
    """A request to a server.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers; their names are in lower case.
        body: Body.
        ended: "whole" if the response was sent completely, "cut" if a fault
            aborted its stream, "left" if the connection was closed first;
            empty while the request runs, and if another fault kept the
            response from being complete.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ended: str = ""

    @property
    def request_id(self) -> str:
        """The id that the caller gave the request; empty if there is none."""
        return self.headers.get("x-sardinewharf-request-id", "")


class Server(Protocol):
    """What a connection needs of its server.

    Attributes:
        silent_until: Until then the server sends nothing.
    """

    silent_until: clocks.Deadline

    async def handle_request(
        self, connection: "ServerConnection", request: ServerRequest
    ) -> None:
        """Handles one request."""


class ServerConnection(asyncio.Protocol):
    """A connection to a server, which parses and handles its requests.

    Args:
        server: Handles the requests.
        connections: Open connections of the server, to join while open.

    Attributes:
        transport: Transport of the open connection.
        handled: Number of requests that were handled before the current one.
        unsent: Rest of a response that is sent with the next one.
    """

    def __init__(self, server: Server, connections: "set[ServerConnection]"):
        self._server = server
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._tasks: set[asyncio.Task[None]] = set()
        self._request = ServerRequest("", "", {}, b"")
        # What was to be written while the server is silent, in order.
        self._waiting: list[Callable[[], None]] = []
        # What is sent as one segment; None if each write is.
        self._segment: list[bytes] | None = None
        self.transport: asyncio.Transport | None = None
        self.handled = 0
        self.unsent = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of a new connection."""
        self.transport = transport
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of a connection that was closed."""
        self._connections.discard(self)
        for task in self._tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._request = ServerRequest("", "", {}, b"")

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target."""
        self._request.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._request.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        self._request.body += body

    def on_message_complete(self) -> None:
        """Starts to handle a request that was received completely."""
        self._request.method = self._parser.get_method().decode()
        self._start_task(self._handle(self._request))

    async def _handle(self, request: ServerRequest) -> None:
        await self._server.handle_request(self, request)
        self.handled += 1

    def _start_task(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reply(
        self, status: int, headers: list[tuple[str, str]], body: bytes = b""
    ) -> None:
        """Writes a complete response."""
        self.write(make_head(status, headers, len(body)) + body)

    def write_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
        length: int | None,
        is_chunked: bool = False,
    ) -> None:
        """Writes the status line and the headers; see ``make_head``."""
        self.write(make_head(status, headers, length, is_chunked))

    def write_chunk(self, chunk: bytes) -> None:
        """Writes an HTTP chunk of a body; an empty chunk ends the body."""
        self.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))

    def write(self, data: bytes) -> None:
        """Writes bytes, once the server is not silent."""
        if self._segment is not None:
            self._segment.append(data)
        else:
            self._do_unless_silent(lambda: self.transport.write(data))

    def close(self) -> None:
        """Sends what was written, then FIN, once the server is not silent."""
        self._do_unless_silent(self.transport.close)

    def abort(self) -> None:
        """Sends RST, once the server is not silent."""
        self._do_unless_silent(self._reset)

    def _reset(self) -> None:
        # Without this the kernel sends FIN, unless bytes lie unread.
        self.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
        )
        self.transport.abort()

    @contextlib.contextmanager
    def join_writes(self):
        """Joins what is written meanwhile, to be sent as one segment."""
        self._segment = []
        try:
            yield
        finally:
            data, self._segment = b"".join(self._segment), None
            self.write(data)

    def _do_unless_silent(self, action: Callable[[], None]) -> None:
        """Acts on the transport now, or in its turn after the silence."""
        if not self._waiting and self._server.silent_until.is_past():
            action()
            return
        self._waiting.append(action)
        if len(self._waiting) == 1:
            self._start_task(self._act_after_silence())

    async def _act_after_silence(self) -> None:
        while not self._server.silent_until.is_past():
            await asyncio.sleep(self._server.silent_until.remaining())
        waiting, self._waiting = self._waiting, []
        for action in waiting:
            action()


def make_head(
    status: int,
    headers: list[tuple[str, str]],
    length: int | None,
    is_chunked: bool = False,
) -> bytes:
    """Returns the status line and the headers of a response.

    Args:
        status: HTTP status.
        headers: Names and values of the headers.
        length: Length of the body; None to send no content length.
        is_chunked: Whether the body is sent in HTTP chunks.
    """
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    if is_chunked:
        lines.append("transfer-encoding: chunked")
    elif length is not None:
        lines.append(f"content-length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
