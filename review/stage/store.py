"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import json
import time
import urllib.parse

from stage import http

_OPERATOR_KEYS = ("op/", "servers/")


class Store:
    """Keeps keys, leases and the history of changes in memory.

    Attributes:
        address: ``IP:PORT`` that it listens on.
        items: The items by key.
    """

    def __init__(self) -> None:
        self.address = ""
        self.items: dict[str, dict[str, object]] = {}
        self._history: list[dict[str, object]] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Event()
        self._server = http.HttpServer(self._handle)

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        port = http.find_port(host)
        await self._server.start(host, port)
        self.address = f"{host}:{port}"

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Writes a key as the operator or a server does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self._write(key, encoded, lease)

    def grant(self, ttl_s: float) -> int:
        """Returns a new lease."""
        lease = next(self._lease_ids)
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return lease

    def renew(self, lease: int) -> bool:
        """Renews a lease; returns whether it had not ended."""
        if lease not in self._leases:
            return False
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return True

    async def run(self) -> None:
        """Ends leases in time until cancelled."""
        while True:
            await asyncio.sleep(0.01)
            self._expire()

    def remove(self, key: str) -> None:
        """Removes a key."""
        if self.items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"key": key, "rev": self._revision, "deleted": True}
            )
            self._notify()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (end, _) in list(self._leases.items()):
            if end <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    def _write(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        former = self.items.get(key, {})
        item = {
            "key": key,
            "value": value,
            "rev": self._revision,
            "create_revision": former.get("create_revision", self._revision),
            "lease": lease,
        }
        self.items[key] = item
        self._history.append(item)
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        call, _, argument = parts.path.removeprefix("/-/").partition("/")
        if call == "kv-watch":
            status, body = await self._watch(query)
        elif call == "kv-txn":
            status, body = self._commit(json.loads(request.body))
        elif call == "kv-lease":
            ttl_ms = json.loads(request.body)["ttl_ms"]
            lease = self.grant(ttl_ms / 1000)
            status, body = 200, {"lease": lease, "ttl_ms": ttl_ms}
        elif call == "kv-keep":
            status, body = self._keep(int(argument))
        elif call == "kv-lease-end":
            self._end_lease(int(argument))
            status, body = 200, {}
        else:
            status, body = self._read(call, query)
        http.reply(
            writer,
            status,
            json.dumps(body).encode(),
            content_type="application/json",
        )

    def _read(
        self, call: str, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        revision = {"store_revision": self._revision}
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | revision)
        prefix, after = query.get("prefix", ""), query.get("after", "")
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = {"items": found[:500], "more_pages": len(found) > 500}
        return 200, page | revision

    def _keep(self, lease: int) -> tuple[int, dict[str, object]]:
        if not self.renew(lease):
            return 404, {}
        return 200, {"ttl_ms": int(self._leases[lease][1] * 1000)}

    async def _watch(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    "events": events,
                    "store_revision": self._revision,
                }
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _commit(self, txn: dict[str, list]) -> tuple[int, dict[str, object]]:
        rows = [(row["key"], row["rev"]) for row in txn.get("expected", [])]
        if any(
            self.items.get(key, {"rev": 0})["rev"] != rev for key, rev in rows
        ):
            found = [self.items[key] for key, _ in rows if key in self.items]
            return 412, {"items": found}
        puts, removed = txn.get("put", []), txn.get("remove", [])
        keys = [row["key"] for row in puts] + removed
        if any(key.startswith(_OPERATOR_KEYS) for key in keys):
            return 403, {}
        leases = [row.get("lease", 0) for row in puts]
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        for row in puts:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in removed:
            self.remove(key)
        return 200, {"rev": self._revision}
