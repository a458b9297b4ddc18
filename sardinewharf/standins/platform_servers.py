"""Test doubles of the application and model servers of the users' platform.

They record every request that they execute. Their faults make them truncate
responses, respond twice or with invalid bytes, refuse requests, repeat earlier
refusals, be silent for a while, or not respond.
"""

import asyncio
import random
import time

import msgspec

from sardinewharf import clocks
from sardinewharf.standins import endless
from sardinewharf.standins import server_connections
from sardinewharf.standins import server_faults

# Time between the bytes of a stream that trickles, in seconds.
_TRICKLE_INTERVAL_S = 0.05
# Time after a complete response at which an earlier refusal follows it.
_LATE_REFUSAL_S = 0.02
# A server that repeats refusals truly refuses one in so many requests.
_REQUESTS_PER_REFUSAL = 5
_INTERIM_RESPONSE = b"HTTP/1.1 103 X\r\n\r\n"

ServerRequest = server_connections.ServerRequest


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
        silent_until: Until then it sends nothing, but reads and executes; what
            it has to send follows then.
    """

    version = 0

    def __init__(self, server_id: str):
        self.id = server_id
        self.faults = server_faults.Faults()
        self.executed: list[ServerRequest] = []
        self.body = b"an answer"
        self.request_duration_s = 0.0
        self.address = ""
        self.arrivals = 0
        self.silent_until = clocks.Deadline(0.0)
        self._refused_id = ""
        self._server: asyncio.Server | None = None
        self._connections: set[server_connections.ServerConnection] = set()

    async def start(self, port: int = 0, host: str = "127.0.0.1") -> None:
        """Starts to listen.

        Args:
            port: Port to listen on; 0 for any free port.
            host: IP to listen on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: server_connections.ServerConnection(
                self, self._connections
            ),
            host,
            port,
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
        self,
        connection: server_connections.ServerConnection,
        request: ServerRequest,
    ) -> None:
        """Executes one request and responds to it."""
        self.arrivals += 1
        faults = self.faults
        expected = request.headers.get(
            "x-sardinewharf-expect-instance", self.id
        )
        if faults.moved or expected != self.id:
            self._refuse(connection, request, 421)
            return
        if faults.refuse:
            self._refuse(connection, request, 503)
            return
        backoff = faults.backoff
        if backoff and self.arrivals % backoff.every == 0:
            self._refuse(connection, request, 503, backoff.retry_after)
            return
        stale = faults.stale_refusal
        if stale and (
            not self._refused_id or self.arrivals % _REQUESTS_PER_REFUSAL == 0
        ):
            self._refused_id = request.request_id
            self._refuse(connection, request, stale.status)
            return
        self.record_start(request)
        try:
            await asyncio.sleep(self.request_duration_s)
            if stale and connection.handled:
                await self._respond_beside_refusal(connection, request, stale)
            else:
                await self.respond(connection, request)
        except asyncio.CancelledError:
            request.ended = "left"
            raise
        finally:
            self.record_end(request)

    def pause(self, seconds: float) -> None:
        """Sends nothing for some seconds, then goes on with all it has."""
        self.silent_until = clocks.Deadline.after(seconds)

    def _refuse(
        self,
        connection: server_connections.ServerConnection,
        request: ServerRequest,
        status: int,
        retry_after: str = "",
    ) -> None:
        """Refuses a request that is not executed."""
        headers = _make_refusal_headers(status) + self._make_state_headers()
        if not self.faults.no_id:
            headers.append(_make_id(request.request_id))
        if retry_after:
            headers.append(("retry-after", retry_after))
        self.record_refusal(
            request, status, "" if self.faults.no_id else retry_after
        )
        connection.reply(status, headers)

    async def _respond_beside_refusal(
        self,
        connection: server_connections.ServerConnection,
        request: ServerRequest,
        stale: server_faults.StaleRefusal,
    ) -> None:
        """Responds to a request, and repeats the refusal of an earlier one."""
        headers = _make_refusal_headers(stale.status)
        if stale.is_named:
            headers.append(_make_id(self._refused_id))
        refusal = server_connections.make_head(stale.status, headers, 0)
        match stale.place:
            case server_faults.RefusalPlace.INSTEAD:
                connection.write(refusal)
            case server_faults.RefusalPlace.BEFORE:
                connection.write(refusal)
                await self.respond(connection, request)
            case server_faults.RefusalPlace.INTERIM:
                connection.write(_INTERIM_RESPONSE + refusal)
                await self.respond(connection, request)
            case server_faults.RefusalPlace.BEHIND:
                with connection.join_writes():
                    await self.respond(connection, request)
                    connection.write(refusal)
            case server_faults.RefusalPlace.LATER:
                await self.respond(connection, request)
                await asyncio.sleep(_LATE_REFUSAL_S)
                connection.write(refusal)
            case server_faults.RefusalPlace.PIECES:
                connection.write(connection.unsent)
                await self.respond(connection, request)
                half = len(refusal) // 2
                connection.write(refusal[:half])
                connection.unsent = refusal[half:]

    def record_start(self, request: ServerRequest) -> None:
        """Records that the execution of a request starts."""
        self.executed.append(request)

    def record_refusal(
        self, request: ServerRequest, status: int, retry_after: str = ""
    ) -> None:
        """Called when a request is refused; subclasses may override it."""

    def record_leaving(self, request: ServerRequest) -> None:
        """Called when a response says that the server leaves."""

    def record_end(self, request: ServerRequest) -> None:
        """Called when a request ends; subclasses may override it."""

    def make_body(self, request: ServerRequest) -> bytes:
        """Returns the body of the response to a request."""
        return self.body

    async def respond(
        self,
        connection: server_connections.ServerConnection,
        request: ServerRequest,
    ) -> None:
        """Responds to a request that is being executed."""
        faults = self.faults
        if faults.hang:
            await asyncio.Event().wait()
        if faults.reset:
            connection.abort()
            return
        if faults.garbage:
            connection.write(b"\x00\x01 this is no answer\r\n\r\n")
            return
        headers = self.make_headers(request)
        if faults.endless_part is not None:
            await endless.write_without_end(
                connection, headers, faults.endless_part
            )
            return
        body = self.make_body(request)
        if faults.cut_head is not None:
            _write_cut_head(connection, request, headers, faults.cut_head)
            return
        if faults.short_body:
            connection.write_head(200, headers, len(body))
            connection.write(body[:-2])
            connection.close()
            return
        if faults.unframed:
            connection.write_head(200, headers, None)
            connection.write(body)
            connection.close()
        else:
            status = self.find_error_status(connection) or 200
            connection.reply(status, headers, body)
        request.ended = "whole"
        if faults.extra:
            connection.reply(
                200, self.make_headers(request), b"an extra answer"
            )

    def find_error_status(
        self, connection: server_connections.ServerConnection
    ) -> int:
        """Returns the error status of an executed request; 0 for none."""
        failed_run = self.faults.failed_run
        if failed_run:
            return failed_run.find_status(connection.handled)
        return self.faults.status

    def make_headers(self, request: ServerRequest) -> list[tuple[str, str]]:
        """Returns the headers of the response to a request."""
        request_id = "another" if self.faults.wrong_id else request.request_id
        headers = [
            ("x-sardinewharf-server-load", f"{len(self._connections)},0,6"),
            ("keep-alive", "timeout=10"),
        ]
        if not self.faults.no_id:
            headers.append(_make_id(request_id))
        if not self.faults.is_unsigned:
            headers.append(("x-sardinewharf-server-stamp", f"{self.id}.stamp"))
        if self.faults.leaving:
            self.record_leaving(request)
        return headers + self._make_state_headers()

    def _make_state_headers(self) -> list[tuple[str, str]]:
        """Returns the headers that each response has."""
        return [("server-leaving", "1")] if self.faults.leaving else []


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
        self,
        connection: server_connections.ServerConnection,
        request: ServerRequest,
    ) -> None:
        """Executes a request, reports the state, or handles an order."""
        if request.target == "/-/report":
            connection.reply(
                200,
                self._make_state_headers(),
                msgspec.json.encode(self._make_report()),
            )
            return
        if request.target == "/-/order":
            self._handle_order(connection, msgspec.json.decode(request.body))
            return
        expected_version = request.headers.get("x-sardinewharf-expect-version")
        if (
            expected_version is not None
            and int(expected_version) != self.version
        ):
            headers = [
                ("x-sardinewharf-weight-versions", str(self.version)),
                _make_id(request.request_id),
            ]
            self.refused += 1
            self.record_refusal(request, 421)
            connection.reply(421, headers)
            return
        if self._is_busy():
            self.refused += 1
            self._refuse(connection, request, 503)
            return
        await super().handle_request(connection, request)

    async def respond(
        self,
        connection: server_connections.ServerConnection,
        request: ServerRequest,
    ) -> None:
        """Responds to a request with a stream of events.

        If the request has the header ``last-event-id``, the stream starts with
        the event after that one.
        """
        faults = self.faults
        if faults.resume_error and "last-event-id" in request.headers:
            headers = self.make_headers(request)
            _write_error(connection, headers, faults.resume_error)
            return
        if (
            faults.hang
            or faults.reset
            or faults.garbage
            or self.find_error_status(connection)
            or faults.cut_head
            or faults.endless_part
        ):
            await super().respond(connection, request)
            return
        headers = self.make_headers(request)
        headers.append(("x-sardinewharf-weight-versions", str(self.version)))
        headers.append(("content-type", "text/event-stream"))
        connection.write_head(200, headers, None, is_chunked=True)
        while faults.trickle:
            connection.write_chunk(b"d")
            await asyncio.sleep(_TRICKLE_INTERVAL_S)
        interval_s = self.find_event_interval(request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = self.make_event(request, number)
            if faults.cut_after and number > faults.cut_after:
                connection.write_chunk(event[:7])
                await asyncio.sleep(interval_s)
                connection.abort()
                request.ended = "cut"
                return
            connection.write_chunk(event)
            await asyncio.sleep(interval_s)
        connection.write_chunk(b"")
        request.ended = "whole"

    def find_event_interval(self, request: ServerRequest) -> float:
        """Returns the time between two events of a stream, in seconds."""
        return self.event_interval_s

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
        self,
        connection: server_connections.ServerConnection,
        order: dict[str, object],
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


def _make_id(request_id: str) -> tuple[str, str]:
    return "x-sardinewharf-request-id", request_id


def _make_refusal_headers(status: int) -> list[tuple[str, str]]:
    if status == 421:
        return [("x-sardinewharf-instance-id", "other")]
    return [("x-sardinewharf-not-run", "1")]


def _write_cut_head(
    connection: server_connections.ServerConnection,
    request: ServerRequest,
    headers: list[tuple[str, str]],
    end: server_faults.HeadEnd,
) -> None:
    """Writes a head, or the start of one, and ends the connection."""
    head = server_connections.make_head(200, headers, len(b"an answer"))
    if end is not server_faults.HeadEnd.NO_BODY:
        # The same request is cut at the same byte in each run of a test.
        kept = random.Random(request.request_id).randrange(1, len(head))
        head = head[:kept]
    connection.write(head)
    if end is server_faults.HeadEnd.RESET:
        connection.abort()
    else:
        connection.close()


def _write_error(
    connection: server_connections.ServerConnection,
    headers: list[tuple[str, str]],
    error: server_faults.ResumeError,
) -> None:
    """Writes a response that does not continue a stream."""
    body = b"cannot go on"
    match error.framing:
        case server_faults.Framing.LENGTH:
            connection.reply(error.status, headers, body)
            return
        case server_faults.Framing.CLOSE:
            connection.write_head(error.status, headers, None)
            connection.write(body)
        case server_faults.Framing.CHUNK_SIZE:
            connection.write_head(error.status, headers, None, is_chunked=True)
            connection.write(b"0")
        case server_faults.Framing.STATUS_LINE:
            connection.write(b"HTTP/1.1 %d X\r\n" % error.status)
    connection.close()
