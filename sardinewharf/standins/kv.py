"""Test double of the platform's key-value service.

It keeps all entries in memory and enforces its rate limits. ``POST /faults``
makes it unavailable or slow, or makes it lose the responses to writes that took
effect.
"""

import asyncio
import dataclasses
import itertools
import time

from aiohttp import web
import msgspec

from sardinewharf.standins import program

_MAX_VALUE_BYTES = 1 << 20


@dataclasses.dataclass
class _Entry:
    value: bytes
    revision: int
    lease: str = ""


class Faults(msgspec.Struct):
    """Faults to inject into the service.

    Attributes:
        outage: Responds to every call with status 503.
        hang: Responds to no call.
        delay_ms: Time added to each call.
        lose_writes: Number of writes that take effect without a response.
        stall_writes: Writes wait until this is unset, then take effect.
    """

    outage: bool = False
    hang: bool = False
    delay_ms: float = 0.0
    lose_writes: int = 0
    stall_writes: bool = False


class _RateLimit:
    """Limits the number of calls in each second.

    Args:
        per_second: Maximum number of calls in a second.
    """

    def __init__(self, per_second: int):
        self._per_second = per_second
        self._second = 0
        self._used = 0

    def try_acquire(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._used = 0
        self._used += 1
        return self._used <= self._per_second


class KvServer:
    """Serves keys, leases and watches.

    Args:
        writes_per_second: Rate above which writes get status 429.
        reads_per_second: The same for reads, watches and lease calls.

    Attributes:
        faults: Faults to inject.
        counts: Number of calls by kind, and of those over a rate limit.
    """

    def __init__(self, writes_per_second: int, reads_per_second: int):
        self._entries: dict[str, _Entry] = {}
        self._revisions = itertools.count(1)
        self._leases: dict[str, float] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Condition()
        self._write_limit = _RateLimit(writes_per_second)
        self._read_limit = _RateLimit(reads_per_second)
        self.faults = Faults()
        self.counts = {"reads": 0, "writes": 0, "refused": 0, "watches": 0}

    def make_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=_MAX_VALUE_BYTES * 2)
        app.router.add_get("/v1/keys/{key:.+}", self._read)
        app.router.add_put("/v1/keys/{key:.+}", self._write)
        app.router.add_get("/v1/watch/{key:.+}", self._watch)
        app.router.add_post("/v1/leases", self._grant)
        app.router.add_post("/v1/leases/{lease}", self._renew)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/record", self._get_record)
        return app

    async def _admit(self, limit: _RateLimit, kind: str) -> web.Response | None:
        """Counts a call and returns an error response, or None to handle it."""
        if self.faults.hang:
            await asyncio.sleep(3600)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            return web.Response(status=503)
        self.counts[kind] += 1
        if not limit.try_acquire():
            self.counts["refused"] += 1
            return web.Response(status=429)
        return None

    def _find(self, key: str) -> _Entry | None:
        """Returns a key's entry; removes it if its lease has expired."""
        entry = self._entries.get(key)
        if entry is None or not entry.lease:
            return entry
        if self._leases.get(entry.lease, 0.0) > time.monotonic():
            return entry
        del self._entries[key]
        return None

    def _make_response(self, key: str) -> web.Response:
        entry = self._find(key)
        if entry is None:
            return web.Response(status=404)
        headers = {"Revision": str(entry.revision)}
        return web.Response(body=entry.value, headers=headers)

    async def _read(self, request: web.Request) -> web.Response:
        rejection = await self._admit(self._read_limit, "reads")
        return rejection or self._make_response(request.match_info["key"])

    async def _watch(self, request: web.Request) -> web.Response:
        rejection = await self._admit(self._read_limit, "watches")
        if rejection:
            return rejection
        key = request.match_info["key"]
        after = int(request.query["after"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / 1000
        async with self._changed:
            while True:
                entry = self._find(key)
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0 or (entry and entry.revision > after):
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    break
        if self.faults.outage:
            return web.Response(status=503)
        return self._make_response(key)

    async def _write(self, request: web.Request) -> web.Response:
        value = await request.read()
        rejection = await self._admit(self._write_limit, "writes")
        if rejection:
            return rejection
        while self.faults.stall_writes:
            await asyncio.sleep(0.01)
        key = request.match_info["key"]
        if len(value) > _MAX_VALUE_BYTES:
            return web.Response(status=413)
        lease = request.headers.get("Lease", "")
        if lease and self._leases.get(lease, 0.0) <= time.monotonic():
            return web.Response(status=503, text="lease ended")
        entry = self._find(key)
        current_revision = entry.revision if entry else 0
        if current_revision != int(request.headers["If-Revision"]):
            return web.Response(
                status=409, headers={"Revision": str(current_revision)}
            )
        revision = next(self._revisions)
        self._entries[key] = _Entry(value, revision, lease)
        async with self._changed:
            self._changed.notify_all()
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            request.transport.abort()
        return web.Response(headers={"Revision": str(revision)})

    async def _grant(self, request: web.Request) -> web.Response:
        name = f"lease-{next(self._lease_numbers)}"
        return await self._extend(request, name, is_new=True)

    async def _renew(self, request: web.Request) -> web.Response:
        return await self._extend(
            request, request.match_info["lease"], is_new=False
        )

    async def _extend(
        self, request: web.Request, name: str, is_new: bool
    ) -> web.Response:
        rejection = await self._admit(self._read_limit, "reads")
        if rejection:
            return rejection
        body = msgspec.json.decode(await request.read())
        now = time.monotonic()
        if not is_new and self._leases.get(name, 0.0) <= now:
            return web.Response(status=404)
        self._leases[name] = now + body["ttl_ms"] / 1000
        return program.make_json_response({"lease": name})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return program.make_json_response(self.faults)

    async def _get_record(self, request: web.Request) -> web.Response:
        sizes = {key: len(e.value) for key, e in self._entries.items()}
        return program.make_json_response(
            {"counts": self.counts, "keys": sizes}
        )


def main() -> None:
    """Runs the key-value test double."""
    parser = program.make_parser("Test double of the key-value service.")
    parser.add_argument("--writes-per-second", type=int, default=300)
    parser.add_argument("--reads-per-second", type=int, default=2000)
    arguments = parser.parse_args()

    def make_app() -> web.Application:
        server = KvServer(
            arguments.writes_per_second, arguments.reads_per_second
        )
        return server.make_app()

    program.run_app(make_app, arguments)


if __name__ == "__main__":
    main()
