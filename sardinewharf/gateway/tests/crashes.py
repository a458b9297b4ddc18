"""Servers that some requests crash, and callers that repeat these requests."""

import asyncio
import collections
import dataclasses
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


@dataclasses.dataclass(frozen=True)
class Restart:
    """How a crashed server's entry changes, and when it is back.

    Attributes:
        down_s: Time for which it refuses connections, in seconds.
        removes_entry: Whether its entry goes at the crash, not at its return.
        keeps_id: Whether it is back under the id that it had.
        sends_head: Whether a part of the response precedes the crash.
    """

    down_s: float
    removes_entry: bool = False
    keeps_id: bool = False
    sends_head: bool = False


class CrashingServers:
    """Makes the servers of a harness crash when they run some requests.

    Args:
        harness: The harness.
        restart: What happens at a crash, and after it.
        bodies: Bodies of the requests that crash servers.

    Attributes:
        arrivals: Times of the arrivals of each request, on the monotonic clock.
        crashes: Times of the crashes that each request caused.
    """

    def __init__(self, harness, restart, bodies=(b"poison",)):
        self._harness = harness
        self._restart = restart
        self._bodies = frozenset(bodies)
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

    def count_late(self, body=b"poison"):
        """Returns how many arrivals came after all gateways had to know."""
        if len(self.crashes[body]) < MAX_CRASHES:
            return 0
        known_at = self.crashes[body][MAX_CRASHES - 1] + CONTACT_MS / 1000
        return sum(at > known_at for at in self.arrivals[body])

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

    def _instrument(self, server):
        handle_request, respond = server.handle_request, server.respond

        async def count_arrival(connection, request):
            if request.body in self._bodies:
                now = clocks.read_monotonic()
                self.arrivals[request.body].append(now)
            await handle_request(connection, request)

        async def respond_or_crash(connection, request):
            if self._is_healed or request.body not in self._bodies:
                await respond(connection, request)
                return
            if self._restart.sends_head:
                headers = server.make_headers(request)
                headers.append(("content-type", "text/event-stream"))
                connection.write_head(200, headers, None, is_chunked=True)
                connection.write_chunk(b"id: 1\ndata: a\n\n")
                await asyncio.sleep(0.02)
            task = asyncio.ensure_future(self.crash(server, request.body))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        server.handle_request = count_arrival
        server.respond = respond_or_crash
