"""Runs a server or engine that keeps a journal and registers in the store."""

import argparse
import asyncio
from collections.abc import Callable
import pathlib
import signal
import time
import urllib.parse

import msgspec

from sardinewharf import clocks
from sardinewharf.soak import crashes
from sardinewharf.soak import journals
from sardinewharf.standins import platform_servers
from sardinewharf.standins import registrations
from sardinewharf.testbed import gateway_harness

# A draining server still serves for this long after its entry says so.
_DRAIN_S = 2.5
_EVENT_INTERVAL_S = 0.02


def make_response_body(request: str) -> bytes:
    """Returns the only valid response body of a request.

    Examples:
        >>> make_response_body("r1")
        b'answer to r1'
    """
    return f"answer to {request}".encode()


def make_event(request: str, number: int) -> bytes:
    """Returns the only valid event at a position of a request's stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


class _RecordedServerBase(platform_servers.PlatformServer):
    """A server that records the requests it handles in a journal.

    All attributes must be set before the server starts.

    Attributes:
        on_crash: Called when a request crashes the server.
        journal: The journal.
        registrar: Keeps its entry in the store.
        service: The service that the server belongs to.
    """

    on_crash: Callable[[journals.Crashed, crashes.CrashOrder], None]
    journal: journals.Journal
    registrar: registrations.Registrar
    service: str

    async def handle_request(self, connection, request) -> None:
        """Handles a request, or applies the faults that the soak run sets."""
        if request.target.startswith("/soak/"):
            # The response comes first, since a pause would hold it up.
            connection.reply(200, [])
            self._control(request)
            return
        if request.request_id:
            now = clocks.read_monotonic()
            self.journal.write(
                journals.Arrived(now, request.request_id, self.service, self.id)
            )
        await super().handle_request(connection, request)

    def _control(self, request) -> None:
        """Changes the server as the soak run tells it to."""
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        match url.path:
            case "/soak/faults":
                self.set_faults(request.body)
            case "/soak/pause":
                self.pause(float(query["s"]))
            case "/soak/state":
                self.registrar.state = query["is"]

    def set_faults(self, encoded: bytes | str) -> None:
        """Sets the faults that a JSON object names, and clears all others."""
        self.faults = msgspec.json.decode(encoded, type=type(self.faults))

    def record_start(self, request) -> None:
        """Records that a request starts to run."""
        headers = request.headers
        self.journal.write(
            journals.Began(
                at=clocks.read_monotonic(),
                request=request.request_id,
                service=self.service,
                server=self.id,
                target=request.target,
                organisation=headers.get("x-sardinewharf-tenant", ""),
                has_key="authorization" in headers,
                salt=headers.get("x-sardinewharf-cache-salt", ""),
                weights=self.version,
            )
        )

    def record_refusal(self, request, status: int, retry_after="") -> None:
        """Records that a request is refused."""
        # A silent server sends the refusal when it goes on.
        at = max(clocks.read_monotonic(), self.silent_until.at)
        self.journal.write(
            journals.Refused(
                at, request.request_id, self.id, status, retry_after
            )
        )

    def record_leaving(self, request) -> None:
        """Records that a response says that the server leaves."""
        now = clocks.read_monotonic()
        self.journal.write(journals.Leaving(now, request.request_id, self.id))

    def record_state(self, state: str) -> None:
        """Records that the store has an entry with a state."""
        now = clocks.read_monotonic()
        self.journal.write(journals.Registered(now, self.id, state))

    def record_end(self, request) -> None:
        """Records that a request has stopped running."""
        now = clocks.read_monotonic()
        self.journal.write(journals.Ended(now, request.request_id, self.id))

    async def respond(self, connection, request) -> None:
        """Responds to a request, or crashes if that is what it orders."""
        order = crashes.find_order(request.headers, request.body)
        if order is None:
            await super().respond(connection, request)
            return
        await self.begin_response(connection, request, order.events)
        now = clocks.read_monotonic()
        note = journals.Crashed(now, request.request_id, self.id)
        self.journal.write(note)
        self.on_crash(note, order)

    async def begin_response(self, connection, request, events: int) -> None:
        """Sends what precedes a crash; an application server sends nothing."""

    def make_body(self, request) -> bytes:
        """Returns the response body of a request."""
        return make_response_body(request.request_id)


class RecordedServer(_RecordedServerBase):
    """An application server that keeps a journal."""

    async def respond(self, connection, request) -> None:
        """Sleeps for the time that the request asks for, then responds."""
        await asyncio.sleep(_read_work_s(request))
        await super().respond(connection, request)


class RecordedEngine(_RecordedServerBase, platform_servers.PlatformEngine):
    """An engine that keeps a journal."""

    def make_event(self, request, number: int) -> bytes:
        """Returns one event of a stream."""
        return make_event(request.request_id, number)

    async def begin_response(self, connection, request, events: int) -> None:
        """Sends a head and some events, if any."""
        if not events:
            return
        headers = self.make_headers(request)
        version = str(self.version)
        headers.append(("x-sardinewharf-weight-versions", version))
        headers.append(("content-type", "text/event-stream"))
        connection.write_head(200, headers, None, is_chunked=True)
        first = int(request.headers.get("last-event-id", "0")) + 1
        # The last event is never sent, so that the stream is always cut.
        for number in range(first, min(first + events, self.events)):
            connection.write_chunk(make_event(request.request_id, number))
            await asyncio.sleep(self.event_interval_s)

    def find_event_interval(self, request) -> float:
        """Returns the interval that spreads the work over the stream."""
        return self.event_interval_s + _read_work_s(request) / self.events

    def record_order(self, order) -> None:
        """Records an order to load weights."""
        note = journals.Ordered(
            clocks.read_monotonic(),
            self.id,
            order["holder"],
            order["fence"],
            order["version"],
        )
        self.journal.write(note)


def _read_work_s(request) -> float:
    """Returns the query parameter ``ms`` in seconds."""
    query = urllib.parse.urlsplit(request.target).query
    return int(urllib.parse.parse_qs(query).get("ms", ["0"])[0]) / 1000


class ServerProcess:
    """Runs a server, and starts it again when a request has crashed it.

    Args:
        arguments: The command line.
    """

    def __init__(self, arguments: argparse.Namespace):
        self._arguments = arguments
        self._server = _make_server(arguments)
        self._server.on_crash = self._start_restart
        self._host, _, self._port = arguments.listen.rpartition(":")
        self._registering: asyncio.Task[None] | None = None
        self._restarting: asyncio.Task[None] | None = None
        self._starts = 0

    async def run(self) -> None:
        """Serves until SIGTERM, then drains and stops.

        The entry in the store says that the server drains while it still
        serves.
        """
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        await self._start()
        await stopping.wait()
        self._server.registrar.state = "draining"
        await asyncio.sleep(registrations.HEARTBEAT_S + _DRAIN_S)
        self._registering.cancel()
        await self._server.stop()

    async def _start(self) -> None:
        """Starts to listen and to register, as a new incarnation."""
        server, arguments = self._server, self._arguments
        server.journal.write(
            journals.Started(clocks.read_monotonic(), server.id)
        )
        registrar = registrations.Registrar(
            server,
            gateway_harness.MODEL,
            arguments.store,
            {
                "service": server.service,
                "address": arguments.address,
                "zone": arguments.zone,
                "slots": 8,
                "born": int(time.time() * 1000),
            },
        )
        registrar.on_written = server.record_state
        server.registrar = registrar
        await server.start(int(self._port), self._host)
        self._registering = asyncio.create_task(registrar.run())

    def _start_restart(
        self, note: journals.Crashed, order: crashes.CrashOrder
    ) -> None:
        """Ends the incarnation that a request has crashed, unless it has."""
        is_down = self._restarting is not None and not self._restarting.done()
        if note.server == self._server.id and not is_down:
            self._restarting = asyncio.create_task(self._restart(order))

    async def _restart(self, order: crashes.CrashOrder) -> None:
        """Ends as a crash does, and is back after some time."""
        self._registering.cancel()
        await self._server.stop()
        if order.removes_entry:
            await self._server.registrar.remove_entry()
        await asyncio.sleep(order.down_s)
        if not order.keeps_id:
            self._starts += 1
            self._server.id = f"{self._arguments.id}-{self._starts}"
        await self._start()


def _make_server(arguments: argparse.Namespace) -> _RecordedServerBase:
    if arguments.is_engine:
        server = RecordedEngine(arguments.id, gateway_harness.MODEL)
        server.event_interval_s = _EVENT_INTERVAL_S
        server.service = gateway_harness.ENGINES
    else:
        server = RecordedServer(arguments.id)
        server.service = gateway_harness.ORDERS
    server.journal = journals.Journal(arguments.journal)
    server.set_faults(arguments.faults)
    return server


def main() -> None:
    """Runs a server."""
    parser = argparse.ArgumentParser(description="Server that keeps a journal.")
    parser.add_argument("--id", required=True, help="its id in the store")
    parser.add_argument("--listen", required=True, help="IP:PORT to bind")
    parser.add_argument("--address", required=True, help="IP:PORT to register")
    parser.add_argument("--store", required=True, help="IP:PORT of the store")
    parser.add_argument("--zone", required=True, help="its failure domain")
    parser.add_argument("--journal", required=True, type=pathlib.Path)
    parser.add_argument("--faults", default="{}", help="its faults as JSON")
    parser.add_argument("--is-engine", action="store_true")
    asyncio.run(_run(parser.parse_args()))


async def _run(arguments: argparse.Namespace) -> None:
    await ServerProcess(arguments).run()


if __name__ == "__main__":
    main()
