"""Stand in for the application and model servers of the users' platform.

They keep a record of every request that they ran, and can be told to break
off, to answer twice, to answer garbage, to refuse, or to fall silent.
"""

import asyncio
import dataclasses
import itertools
import time

import httptools
import msgspec


@dataclasses.dataclass
class Faults:
    """What a server does wrong.

    Attributes:
        refuse: Answers 503 and says that it did not run the request.
        moved: Answers 421, as another server at the address would.
        status: Answers this status; 0 for none.
        reset: Runs the request and resets the connection.
        hang: Runs the request and never answers.
        cut_after: Breaks a stream off within the event after this one.
        short_body: Ends an answer before its stated length.
        extra: Sends a second answer after the first.
        garbage: Sends bytes that are no answer.
        wrong_id: Answers as to another request.
        no_id: Answers without saying to which request.
        is_unsigned: Answers without a signature.
        unframed: States no length and ends with the connection.
    """

    refuse: bool = False
    moved: bool = False
    status: int = 0
    reset: bool = False
    hang: bool = False
    cut_after: int = 0
    short_body: bool = False
    extra: bool = False
    garbage: bool = False
    wrong_id: bool = False
    no_id: bool = False
    is_unsigned: bool = False
    unframed: bool = False


@dataclasses.dataclass
class ServerRequest:
    """A request that a server ran.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Its headers, names in lower case.
        body: Its body.
        ended: How it ended: "whole", "cut" or "left".
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    ended: str = ""

    @property
    def request_id(self) -> str:
        """The caller's id of the request; empty if there is none."""
        return self.headers.get("x-sardinewharf-request-id", "")


class PlatformServer:
    """An application server.

    Args:
        server_id: Its id.

    Attributes:
        faults: What it does wrong.
        executed: Requests that it ran.
        body: The body that it answers.
        request_duration_s: Time that a request takes, in seconds.
        version: Version of its weights; 0 for none.
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
        """Listens on loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port
        )
        host, found = self._server.sockets[0].getsockname()
        self.address = f"{host}:{found}"

    async def stop(self) -> None:
        """Resets all connections and listens no more."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.transport.abort()

    async def handle_request(
        self, connection: "_Connection", request: ServerRequest
    ) -> None:
        """Runs one request and answers it."""
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
        """Notes that a request begins to run."""
        self.executed.append(request)

    def record_end(self, request: ServerRequest) -> None:
        """Notes that a request runs no more; nothing to do here."""

    def make_body(self, request: ServerRequest) -> bytes:
        """Returns the body of the answer to a request."""
        return self.body

    async def respond(
        self, connection: "_Connection", request: ServerRequest
    ) -> None:
        """Answers a request that runs."""
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
        """Returns the headers of an answer."""
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
    """A model server.

    Args:
        server_id: Its id.
        model: Name of its model.

    Attributes:
        version: Version of its weights.
        orders: Orders accepted, as they came.
        load_duration_s: Time of a load, in seconds.
        events: Number of events of each stream.
        event_interval_s: Time between them, in seconds.
    """

    def __init__(self, server_id: str, model: str):
        super().__init__(server_id)
        self.model = model
        self.version = 1
        self.orders: list[dict[str, object]] = []
        self.load_duration_s = 0.05
        self.events = 4
        self.event_interval_s = 0.005
        self._busy_until = 0.0
        self._highest_fence = 0

    async def handle_request(
        self, connection: "_Connection", request: ServerRequest
    ) -> None:
        """Runs one request, or takes an order."""
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
            connection.reply(421, headers)
            return
        if self._is_busy():
            connection.reply(503, [("x-sardinewharf-not-run", "1")])
            return
        await super().handle_request(connection, request)

    async def respond(
        self, connection: "_Connection", request: ServerRequest
    ) -> None:
        """Answers a request with a stream of events."""
        faults = self.faults
        if faults.hang or faults.reset or faults.garbage or faults.status:
            await super().respond(connection, request)
            return
        headers = self.make_headers(request)
        headers.append(("x-sardinewharf-weight-versions", str(self.version)))
        headers.append(("content-type", "text/event-stream"))
        connection.write_head(200, headers, None, is_chunked=True)
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
        """Returns one event of a stream; events count from 1."""
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
        """Notes an order as it arrives; nothing to do here."""

    def _handle_order(
        self, connection: "_Connection", order: dict[str, object]
    ) -> None:
        self.record_order(order)
        if order["fence"] < self._highest_fence:
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
    """A connection to a server, which serves one request at a time."""

    def __init__(self, server: PlatformServer):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._tasks: set[asyncio.Task[None]] = set()
        self._request = ServerRequest("", "", {}, b"")
        self._numbers = itertools.count()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport of a new connection."""
        self.transport = transport
        self._server._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the work for a caller that left."""
        self._server._connections.discard(self)
        for task in self._tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Takes in received bytes."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Notes the begin of a message."""
        self._request = ServerRequest("", "", {}, b"")

    def on_url(self, url: bytes) -> None:
        """Takes in a part of the target."""
        self._request.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes in a header."""
        self._request.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Takes in a part of the body."""
        self._request.body += body

    def on_message_complete(self) -> None:
        """Begins to answer a request."""
        self._request.method = self._parser.get_method().decode()
        task = asyncio.ensure_future(
            self._server.handle_request(self, self._request)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reply(
        self, status: int, headers: list[tuple[str, str]], body: bytes = b""
    ) -> None:
        """Writes a whole answer."""
        self.write_head(status, headers, len(body))
        self.transport.write(body)

    def write_head(
        self,
        status: int,
        headers: list[tuple[str, str]],
        length: int | None,
        is_chunked: bool = False,
    ) -> None:
        """Writes a status and headers."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers]
        if is_chunked:
            lines.append("transfer-encoding: chunked")
        elif length is not None:
            lines.append(f"content-length: {length}")
        self.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def write_chunk(self, chunk: bytes) -> None:
        """Writes a part of a body; an empty one ends it."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
