"""Stand-in of a model server, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import itertools
import json
import time

from stage import caches
from stage import http
from stage import store as store_lib

_HEARTBEAT_S = 1.2
_BACK_AFTER_S = 3.0
_EVENTS = 6
_EVENT_INTERVAL_S = 0.05
_FIRST_EVENT_S = 0.1
_SLOTS = 24
_VERSION = 1
_ids = itertools.count(1)
# All model servers by address, for fetching KV cache from each other.
_engines: dict[str, "Engine"] = {}


class Engine:
    """A model server, which a request of one path crashes.

    Args:
        store: The platform's store, in which it registers.
        service: Name of its service.
        model: Name of its model.
        zone: Its zone.
        crash_path: Path of the requests that crash it as it begins to run
            them; empty for none.
        cache_store: The store of kept KV cache, if there is one.

    Attributes:
        address: ``IP:PORT`` that it listens on.
        id: Its id, which is new after each start.
        arrivals: Time, id and path of each request that reached it.
        crashes: Times of its crashes.
        uses: Each use of a cached part that another tenant's request made:
            time, request id, part, the tenant that made it and the one that
            used it.
    """

    def __init__(
        self,
        store: store_lib.Store,
        service: str,
        model: str,
        zone: str,
        crash_path: str = "",
        cache_store: caches.CacheStore | None = None,
    ):
        self._cache_store = cache_store
        self._store = store
        self._service = service
        self._model = model
        self._zone = zone
        self._crash_path = crash_path
        self._server = http.HttpServer(self._handle)
        self._beat: asyncio.Task[None] | None = None
        self._running = 0
        self._return: asyncio.Task[None] | None = None
        self._host, self._port = "", 0
        self.address = ""
        self.id = ""
        self.arrivals: list[tuple[float, str, str]] = []
        self.crashes: list[float] = []
        self.uses: list[tuple[float, str, str, str, str]] = []
        # The tenant that made each cached part, by salt and the parts before.
        self._makers: dict[tuple[str, ...], str] = {}

    async def start(self, host: str) -> None:
        """Listens on an address and registers."""
        if not self._port:
            self._host, self._port = host, http.find_port(host)
            self.address = f"{host}:{self._port}"
            _engines[self.address] = self
        self.id = f"i-{next(_ids):08x}"
        self._running = 0
        self._makers.clear()
        await self._server.start(self._host, self._port)
        self._beat = asyncio.ensure_future(self._register())

    def _crash(self) -> None:
        self.crashes.append(time.monotonic())
        self._beat.cancel()
        self._server.crash()
        self._return = asyncio.ensure_future(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(_BACK_AFTER_S)
        await self.start(self._host)

    async def _register(self) -> None:
        """Writes its entry at each heartbeat; it lapses after three."""
        lease = self._store.grant(3 * _HEARTBEAT_S)
        born = int(time.time() * 1000)
        for sequence in itertools.count(1):
            self._store.renew(lease)
            entry = {
                "service": self._service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": _SLOTS,
                "state": "ready",
                "cold_remaining_ms": 0,
                "stage": "combined",
                "models": self._models,
                "sequence": sequence,
                "born": born,
            }
            self._store.put(f"servers/{self.id}", entry, lease)
            await asyncio.sleep(_HEARTBEAT_S)

    @property
    def _models(self) -> list[dict[str, object]]:
        return [{"name": self._model, "version": _VERSION, "adapters": []}]

    async def _handle(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers.get("x-sardinewharf-request-id", "")
        if request.target == "/health":
            http.reply(writer, 200, x_sardinewharf_instance_id=self.id)
            return
        if not self._is_expected(request):
            http.reply(
                writer,
                421,
                x_sardinewharf_instance_id=self.id,
                x_sardinewharf_request_id=request_id,
                x_sardinewharf_weight_versions=str(_VERSION),
            )
            return
        if request.target.startswith("/-/"):
            self._handle_control(request, writer)
            return
        now = time.monotonic()
        self.arrivals.append((now, request_id, request.target))
        self._running += 1
        try:
            await self._run(request, request_id, writer)
        finally:
            self._running -= 1

    def _is_expected(self, request: http.Request) -> bool:
        """Returns whether a request is for this server and its weights."""
        headers = request.headers
        instance = headers.get("x-sardinewharf-expect-instance", self.id)
        version = headers.get("x-sardinewharf-expect-version", str(_VERSION))
        return instance == self.id and version == str(_VERSION)

    def _handle_control(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a call for its report or an order; there are no others."""
        if request.target == "/-/report":
            report = {
                "stage": "combined",
                "models": self._models,
                "busy": False,
                "sequence": 0,
                "waiting": 0,
                "running": self._running,
                "kv_used": 0,
                "kv_total": 130_072,
                "handles": 0,
            }
            http.reply(writer, 200, json.dumps(report).encode())
        elif request.target == "/-/order":
            order = json.loads(request.body)
            holds = order.get("version") == _VERSION
            http.reply(writer, 200 if holds else 400)
        else:
            http.reply(writer, 404)

    def _read_prompt(self, request: http.Request, request_id: str) -> None:
        """Finds the prompt's parts in the cache, and caches the others.

        First it fetches what the server or store has that the request names.
        """
        headers = request.headers
        tenant = headers.get("x-sardinewharf-tenant", "")
        salt = headers.get("x-sardinewharf-cache-salt", "")
        listed = headers.get("x-sardinewharf-prompt-prefix", "")
        source = _engines.get(headers.get("x-sardinewharf-kv-fetch", ""))
        key = (salt,)
        parts = []
        for entry in listed.split(","):
            part, _, tokens = entry.strip().partition(":")
            parts.append((part, int(tokens)))
            key = (*key, part)
            if source is not None and key in source._makers:
                self._makers.setdefault(key, source._makers[key])
            maker = self._makers.setdefault(key, tenant)
            if maker != tenant:
                use = (time.monotonic(), request_id, part, maker, tenant)
                self.uses.append(use)
        store = self._cache_store
        saves_to = headers.get("x-sardinewharf-kv-save")
        if store is not None and saves_to == store.address:
            store.save(salt, parts)

    async def _run(
        self,
        request: http.Request,
        request_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(_FIRST_EVENT_S)
        if request.target == self._crash_path:
            self._crash()
            return
        self._read_prompt(request, request_id)
        writer.write(
            http.make_head(
                200,
                {
                    "content-type": "text/event-stream",
                    "transfer-encoding": "chunked",
                    "x-sardinewharf-request-id": request_id,
                    "x-sardinewharf-server-stamp": f"{self.id}.1",
                    "x-sardinewharf-weight-versions": "1",
                    "x-sardinewharf-server-load": f"{self._running},0,{_SLOTS}",
                },
            )
        )
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, _EVENTS + 1):
            event = b"id: %d\ndata: word\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            with contextlib.suppress(OSError):
                await writer.drain()
            await asyncio.sleep(_EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
