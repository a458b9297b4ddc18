"""Servers that some requests crash, and callers that repeat these requests."""

import asyncio
import collections
import dataclasses
import enum
import itertools

from sardinewharf import clocks
from sardinewharf.gateway import settings as settings_lib

# Time between two repeats of a request, in seconds.
_REPEAT_INTERVAL_S = 0.15
# Time for which a caller goes on beyond the bound, in seconds.
_TAIL_S = 2.5
# Crashes of a request after which its further arrivals are counted.
MAX_CRASHES = 3
# Arrivals that are allowed once all gateways must know of the crashes.
MAX_LATE = 3
# All gateways must know of a crash after this time.
CONTACT_MS = 1_000
GUARANTEES = settings_lib.Guarantees(recovery_ms=CONTACT_MS)


class Ending(enum.Enum):
    """How the connection of a request that crashes a server ends.

    All but the first two come behind a head and an event, 20 ms later. A stream
    without framing has neither a length nor chunks.
    """

    RESET_BEFORE_HEAD = "reset before the head"
    CLOSED_BEFORE_HEAD = "closed before the head"
    RESET = "reset"
    CLOSED = "closed"
    UNFRAMED_BETWEEN_EVENTS = "unframed, between events"
    UNFRAMED_WITHIN_EVENT = "unframed, within an event"


_BEFORE_HEAD = (Ending.RESET_BEFORE_HEAD, Ending.CLOSED_BEFORE_HEAD)
_UNFRAMED = (Ending.UNFRAMED_BETWEEN_EVENTS, Ending.UNFRAMED_WITHIN_EVENT)
_RESETS = (Ending.RESET_BEFORE_HEAD, Ending.RESET)


@dataclasses.dataclass(frozen=True)
class Restart:
    """How a crashed server's entry changes, and when it is back.

    Attributes:
        down_s: Time for which it refuses connections, in seconds.
        removes_entry: Whether its entry goes at the crash, not at its return.
        keeps_id: Whether it is back under the id that it had.
        ending: How the connection of the request ends.
    """

    down_s: float
    removes_entry: bool = False
    keeps_id: bool = False
    ending: Ending = Ending.RESET_BEFORE_HEAD


class CrashingServers:
    """Makes the servers of a harness crash when they run some requests.

    Args:
        harness: The harness.
        restart: What happens at a crash, and after it.
        bodies: Bodies of the requests that crash servers.
        parts: Ids of the prompt parts that do.

    Attributes:
        arrivals: Times of the arrivals of each request, on the monotonic clock,
            by its body or the id of its part.
        crashes: Times of the crashes that each caused.
    """

    def __init__(self, harness, restart, bodies=(b"poison",), parts=()):
        self._harness = harness
        self._restart = restart
        self._bodies = frozenset(bodies)
        self._parts = frozenset(parts)
        self._numbers = itertools.count(1)
        self._tasks = set()
        self._is_healed = False
        self.arrivals = collections.defaultdict(list)
        self.crashes = collections.defaultdict(list)
        for server in [*harness.engines, *harness.servers]:
            self._instrument(server)

    def heal(self):
        """Makes the requests crash no server any more."""
        self._is_healed = True

    def count_late(self, cause=b"poison", max_crashes=MAX_CRASHES):
        """Returns how many arrivals came after all gateways had to know.

        Args:
            cause: The body or the part that crashes servers.
            max_crashes: Crashes after which its arrivals are counted.
        """
        if len(self.crashes[cause]) < max_crashes:
            return 0
        known_at = self.crashes[cause][max_crashes - 1] + CONTACT_MS / 1000
        return sum(at > known_at for at in self.arrivals[cause])

    async def repeat(self, path, body=b"poison", tail_s=_TAIL_S, **headers):
        """Sends a request again and again, to one gateway after the other.

        It goes on until some time after the bound, or for 20 seconds.
        """
        end = clocks.Deadline.after(20.0)
        for number in itertools.count():
            crashes = self.crashes[body]
            if len(crashes) >= MAX_CRASHES:
                end = clocks.Deadline(
                    crashes[MAX_CRASHES - 1] + CONTACT_MS / 1000 + tail_s
                )
            if end.is_past():
                return
            gateway = number % len(self._harness.gateways)
            await self._harness.send_request(
                path, body=body, gateway=gateway, **headers
            )
            await asyncio.sleep(_REPEAT_INTERVAL_S)

    async def send_harmless(self, path, number, pause_s=0.02):
        """Sends other requests until cancelled."""
        for turn in itertools.count(number):
            gateway = turn % len(self._harness.gateways)
            body = b"harmless %d" % number
            await self._harness.send_request(path, body=body, gateway=gateway)
            await asyncio.sleep(pause_s)

    async def crash(self, server, body=None):
        """Ends a server as a crash does, and starts it again later."""
        self.crashes[body].append(clocks.read_monotonic())
        port = int(server.address.rpartition(":")[2])
        former_id = server.id
        await server.stop()
        if self._restart.removes_entry:
            await self._harness.store.remove(f"servers/{former_id}")
        await asyncio.sleep(self._restart.down_s)
        number = next(self._numbers)
        if not self._restart.keeps_id:
            server.id = f"{former_id.partition('-')[0]}-{number}"
            await self._harness.store.remove(f"servers/{former_id}")
        await server.start(port)
        await self._harness.register(server, born=1 + number)

    def find_cause(self, request):
        """Returns the body or part by which a request crashes servers."""
        if request.body in self._bodies:
            return request.body
        prefix = request.headers.get("x-sardinewharf-prompt-prefix", "")
        ids = [entry.partition(":")[0] for entry in prefix.split(",")]
        return next((part for part in ids if part in self._parts), None)

    def _instrument(self, server):
        handle_request, respond = server.handle_request, server.respond

        async def count_arrival(connection, request):
            cause = self.find_cause(request)
            if cause is not None:
                self.arrivals[cause].append(clocks.read_monotonic())
            await handle_request(connection, request)

        async def respond_or_crash(connection, request):
            cause = self.find_cause(request)
            if self._is_healed or cause is None:
                await respond(connection, request)
                return
            await self._end_connection(server, connection, request)
            task = asyncio.ensure_future(self.crash(server, cause))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        server.handle_request = count_arrival
        server.respond = respond_or_crash

    async def _end_connection(self, server, connection, request):
        """Ends the connection of a request that crashes its server."""
        ending = self._restart.ending
        if ending not in _BEFORE_HEAD:
            headers = server.make_headers(request)
            version = str(server.version)
            headers.append(("x-sardinewharf-weight-versions", version))
            headers.append(("content-type", "text/event-stream"))
            is_chunked = ending not in _UNFRAMED
            connection.write_head(200, headers, None, is_chunked)
            write = connection.write_chunk if is_chunked else connection.write
            number = int(request.headers.get("last-event-id", "0")) + 1
            write(b"id: %d\ndata: a\n\n" % number)
            if ending is Ending.UNFRAMED_WITHIN_EVENT:
                write(b"id: %d\nda" % (number + 1))
            await asyncio.sleep(0.02)
        if ending in _RESETS:
            connection.abort()
        else:
            connection.close()
