"""Connections of callers to gateways, which show how each response ended."""

import asyncio

import httptools


class ConnectionEndedError(Exception):
    """A connection ended, or its bytes are no response; open a new one."""


class CallerConnection(asyncio.Protocol):
    """A connection that sends requests one after the other.

    Attributes:
        status: Status of the current response; 0 until its head is complete.
        headers: Its header values by lower-case name.
        body: The received part of its body.
        is_complete: Whether it was received to its end.
        is_open: Whether another request can be sent.
        stray: Bytes that were received while no request was waiting.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._ended = asyncio.Event()
        self._reset_response()
        self.is_open = False
        self.stray = b""

    @classmethod
    async def open(cls, address: str) -> "CallerConnection":
        """Connects to ``HOST:PORT``; raises OSError if that is impossible."""
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(cls, host, int(port))
        return connection

    def _reset_response(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self._ended.clear()

    async def exchange(self, request: bytes, *, closes_sending: bool) -> None:
        """Sends a request and waits until its response or the connection ends.

        Args:
            request: Bytes of the request.
            closes_sending: Whether to send FIN after the request.
        """
        if not self.is_open:
            raise ConnectionEndedError("open a new connection")
        self._reset_response()
        self._transport.write(request)
        if closes_sending:
            self._transport.write_eof()
        await self._ended.wait()

    def close(self) -> None:
        """Sends FIN, even in the middle of a response."""
        self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of a new connection."""
        self._transport = transport
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the current response as it is."""
        self.is_open = False
        self._ended.set()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; a second response is kept in the body."""
        if self.is_complete:
            self.stray += data
            self._transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.body += data
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Notes in the body that a second response follows."""
        if self.is_complete:
            self.body += b" and a second response"

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Stores the status."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Ends the response."""
        self.is_complete = True
        if self.headers.get("connection", "").lower() == "close":
            self.is_open = False
            self._transport.close()
        self._ended.set()
