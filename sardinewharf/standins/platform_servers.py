"""Test doubles of the application and model servers of the users' platform.

They record every request that they execute. Their faults make them truncate
responses, respond twice or with invalid bytes, refuse requests, or not respond.
"""

import asyncio
import dataclasses
import itertools
import time

import httptools
import msgspec

# Time between the bytes of a stream that trickles, in seconds.
_TRICKLE_INTERVAL_S = 0.05


@dataclasses.dataclass
class Faults:
    """Faults to inject into a server.

    Attributes:
        refuse: Responds with 503 and a header that says that the request was
            not executed.
        moved: Responds with 421, as if another server had the address.
        status: Executes the request and responds with this status; 0 for 200.
        reset: Executes the request and resets the connection.
        hang: Executes the request and never responds.
        cut_after: Aborts a stream within the event after this one; 0 for
            never.
        trickle: Begins a stream, then sends a byte now and then for ever.
        short_body: Closes the connection before the end of the body.
        extra: Sends a second response after the first one.
        garbage: Executes the request and sends bytes that are not HTTP.
        wrong_id: Responds with the id of another request.
        no_id: Responds without the id of the request.
        is_unsigned: Responds without the header that identifies the server.
        unframed: Sends no content length and closes the connection at the
            end of the body.
    """

    refuse: bool = False
    moved: bool = False
    status: int = 0
    reset: bool = False
    hang: bool = False
    cut_after: int = 0
    trickle: bool = False
    short_body: bool = False
    extra: bool = False
    garbage: bool = False
    wrong_id: bool = False
    no_id: bool = False
    is_unsigned: bool = False
    unframed: bool = False


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


class PlatformServer:
    """An application server.

    Args:
        server_id: Id of the server.

    Attributes:
        id: Id of the server.
        faults: Faults to inject.
        executed: Requests executed, in order of their start.
        body: Body of the responses.
        request_duration_s: Time that the execution of a request takes.
        address: ``IP:PORT`` that the server listens on.
        arrivals: Number of requests received, including those that a fault
            refuses. An engine doesn't count requests that it refuses because
            of their weights version or a load.
        version: Version of the weights; 0 for none.
    """

    version = 0

    def __init__(self, server_id: str):
        self.id = server_id
        self.faults = Faults()
        self.executed: list[ServerRequest] = []
        self.body = b"an answer"
        self.request_duration_s = 0.0
        self.address = ""
        self.arrivals = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Starts to listen.

        Args:
            port: Port to listen on; 0 for any free port.
            host: IP to listen on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port
        )
        host, bound_port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{bound_port}"

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.transport.abort()

    async def handle_request(
        self, connection: "_Connection", request: ServerRequest
    ) -> None:
        """Executes one request and responds to it."""
        self.arrivals += 1
        faults = self.faults
        expected = request.headers.get(
            "x-sardinewharf-expect-instance", self.id
        )
        if faults.moved or expected != self.id:
            connection.reply(421, [("x-sardinewharf-instance-id", "other")])
            return
        if faults.refuse:
            connection.reply(503, [("x-sardinewharf-not-run", "1")])
            return
        self.record_start(request)
        try:
            await asyncio.sleep(self.request_duration_s)
            await self.respond(connection, request)
        except asyncio.CancelledError:
            request.ended = "left"
            raise
        finally:
            self.record_end(request)

    def record_start(self, request: ServerRequest) -> None:
        """Records that the execution of a request starts."""
        self.executed.append(request)

    def record_end(self, request: ServerRequest) -> None:
        """Called when a request ends; subclasses may override it."""

    def make_body(self, request: ServerRequest) -> bytes:
        """Returns the body of the response to a request."""
        return self.body

    async def respond(
        self, connection: "_Connection", request: ServerRequest
    ) -> None:
        """Responds to a request that is being executed."""
        faults = self.faults
        if faults.hang:
            await asyncio.Event().wait()
        if faults.reset:
            connection.transport.abort()
            return
        if faults.garbage:
            connection.transport.write(b"\x00\x01 this is no answer\r\n\r\n")
            return
        headers = self.make_headers(request)
        body = self.make_body(request)
        if faults.short_body:
            connection.write_head(200, headers, len(body))
            connection.transport.write(body[:-2])
            connection.transport.close()
            return
        if faults.unframed:
            connection.write_head(200, headers, None)
            connection.transport.write(body)
            connection.transport.close()
        else:
            connection.reply(faults.status or 200, headers, body)
        request.ended = "whole"
        if faults.extra:
            connection.reply(
                200, self.make_headers(request), b"an extra answer"
            )

    def make_headers(self, request: ServerRequest) -> list[tuple[str, str]]:
        """Returns the headers of the response to a request."""
        request_id = "another" if self.faults.wrong_id else request.request_id
        headers = [
            ("x-sardinewharf-server-load", f"{len(self._connections)},0,6"),
            ("keep-alive", "timeout=10"),
        ]
        if not self.faults.no_id:
            headers.append(("x-sardinewharf-request-id", request_id))
        if not self.faults.is_unsigned:
            headers.append(("x-sardinewharf-server-stamp", f"{self.id}.stamp"))
        return headers


class PlatformEngine(PlatformServer):
    """A model server that streams events and loads weights on orders.

    Args:
        server_id: Id of the server.
        model: Name of its model.

    Attributes:
        model: Name of its model.
        version: Version of the loaded weights.
        orders: Orders to load weights that were accepted, in order of arrival.
        load_duration_s: Time that a load of weights takes.
        events: Number of events in each stream.
        event_interval_s: Time between the events of a stream.
        refused: Number of requests refused because weights were being loaded
            or had another version than expected.
        checks_fences: Whether it refuses orders with an old fencing token.
    """

    def __init__(self, server_id: str, model: str):
        super().__init__(server_id)
        self.model = model
        self.version = 1
        self.orders: list[dict[str, object]] = []
        self.load_duration_s = 0.05
        self.events = 4
        self.event_interval_s = 0.005
        self.refused = 0
        self.checks_fences = True
        self._busy_until = 0.0
        self._highest_fence = 0

    async def handle_request(
        self, connection: "_Connection", request: ServerRequest
    ) -> None:
        """Executes a request, reports the state, or handles an order."""
        if request.target == "/-/report":
            connection.reply(200, [], msgspec.json.encode(self._make_report()))
            return
        if request.target == "/-/order":
            self._handle_order(connection, msgspec.json.decode(request.body))
            return
        expected_version = request.headers.get("x-sardinewharf-expect-version")
        if (
            expected_version is not None
            and int(expected_version) != self.version
        ):
            headers = [("x-sardinewharf-weight-versions", str(self.version))]
            self.refused += 1
            connection.reply(421, headers)
            return
        if self._is_busy():
            self.refused += 1
            connection.reply(503, [("x-sardinewharf-not-run", "1")])
            return
        await super().handle_request(connection, request)

    async def respond(
        self, connection: "_Connection", request: ServerRequest
    ) -> None:
        """Responds to a request with a stream of events.

        If the request has the header ``last-event-id``, the stream starts with
        the event after that one.
        """
        faults = self.faults
        if faults.hang or faults.reset or faults.garbage or faults.status:
            await super().respond(connection, request)
            return
        headers = self.make_headers(request)
        headers.append(("x-sardinewharf-weight-versions", str(self.version)))
        headers.append(("content-type", "text/event-stream"))
        connection.write_head(200, headers, None, is_chunked=True)
        while faults.trickle:
            connection.write_chunk(b"d")
            await asyncio.sleep(_TRICKLE_INTERVAL_S)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = self.make_event(request, number)
            if faults.cut_after and number > faults.cut_after:
                connection.write_chunk(event[:7])
                await asyncio.sleep(self.event_interval_s)
                connection.transport.abort()
                request.ended = "cut"
                return
            connection.write_chunk(event)
            await asyncio.sleep(self.event_interval_s)
        connection.write_chunk(b"")
        request.ended = "whole"

    def make_event(self, request: ServerRequest, number: int) -> bytes:
        """Returns one event of a stream; events are numbered from 1."""
        return b"id: %d\ndata: word %d\n\n" % (number, number)

    def _make_report(self) -> dict[str, object]:
        return {
            "models": [{"name": self.model, "version": self.version}],
            "busy": self._is_busy(),
            "sequence": len(self.orders),
        }

    def _is_busy(self) -> bool:
        return time.monotonic() < self._busy_until

    def record_order(self, order: dict[str, object]) -> None:
        """Called with each received order; subclasses may override it."""

    def _handle_order(
        self, connection: "_Connection", order: dict[str, object]
    ) -> None:
        self.record_order(order)
        if self.checks_fences and order["fence"] < self._highest_fence:
            connection.reply(412, [])
        elif self._is_busy() or order["expected"] != len(self.orders):
            connection.reply(409, [])
        elif order["version"] == self.version:
            connection.reply(200, [])
        else:
            self._highest_fence = order["fence"]
            self.orders.append(order | {"at": time.monotonic()})
            self._busy_until = time.monotonic() + self.load_duration_s
            self.version = order["version"]
            connection.reply(202, [])


class _Connection(asyncio.Protocol):
    """A connection to a server, which parses and handles its requests."""

    def __init__(self, server: PlatformServer):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._tasks: set[asyncio.Task[None]] = set()
        self._request = ServerRequest("", "", {}, b"")
        self._numbers = itertools.count()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of a new connection."""
        self.transport = transport
        self._server._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of a connection that was closed."""
        self._server._connections.discard(self)
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
        task = asyncio.ensure_future(
            self._server.handle_request(self, self._request)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reply(
        self, status: int, headers: list[tuple[str, str]], body: bytes = b""
    ) -> None:
        """Writes a complete response."""
        self.write_head(status, headers, len(body))
        self.transport.write(body)

    def write_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
        length: int | None,
        is_chunked: bool = False,
    ) -> None:
        """Writes the status line and the headers.

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
        self.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def write_chunk(self, chunk: bytes) -> None:
        """Writes an HTTP chunk of a body; an empty chunk ends the body."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
