"""Test double of the store of the users' platform.

It serves ranges, transactions, watches and leases. Its faults make it return
errors, stop responding or lose responses, and its history can be compacted.
"""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import time

from aiohttp import web
import msgspec

_UNRESPONSIVE_S = 30.0
_PAGE_KEYS = 500


@dataclasses.dataclass
class Faults:
    """Faults to inject into the store.

    Attributes:
        status: Responds to every call with this status; 0 for none.
        is_silent: Responds to calls only after 30 s.
        lose_answers: Number of writes that take effect without a response.
    """

    status: int = 0
    is_silent: bool = False
    lose_answers: int = 0


class PlatformStore:
    """Keeps keys, leases and a history of changes in memory.

    Attributes:
        faults: Faults to inject.
        items: Current items by key, in the form that the store returns.
        calls: Number of calls by name, such as ``kv-range``.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.items: dict[str, dict[str, object]] = {}
        self.calls: dict[str, int] = {}
        self._history: list[dict[str, object]] = []
        self._compacted_revision = 0
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(100)
        # Set by the next change and then replaced by a new event.
        self._changed = asyncio.Event()

    def make_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=1 << 23)
        app.router.add_get("/-/kv-key", self._with_faults(self._read))
        app.router.add_get("/-/kv-range", self._with_faults(self._range))
        app.router.add_get("/-/kv-watch", self._with_faults(self._watch))
        app.router.add_post("/-/kv-txn", self._with_faults(self._commit))
        app.router.add_post("/-/kv-lease", self._with_faults(self._grant))
        app.router.add_post("/-/kv-keep/{id}", self._with_faults(self._renew))
        return app

    async def put(self, key: str, value: object) -> int:
        """Writes a key without a lease and returns the new revision.

        A value that is not of type bytes is encoded as JSON.
        """
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self._write(key, base64.b64encode(raw).decode(), 0)
        self._notify_watches()
        return self._revision

    async def remove(self, key: str) -> None:
        """Removes a key."""
        self._remove(key)
        self._notify_watches()

    async def compact(self) -> None:
        """Drops the history, so that older watches get status 410."""
        self._compacted_revision = self._revision
        self._history.clear()
        self._notify_watches()

    def find_value(self, key: str) -> bytes | None:
        """Returns the value of a key; None if it does not exist."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def _with_faults(self, handler):
        """Wraps a handler so that it counts calls and injects faults first."""

        async def handle(request: web.Request) -> web.StreamResponse:
            path = request.path.split("/")[2]
            self.calls[path] = self.calls.get(path, 0) + 1
            if self.faults.is_silent:
                await asyncio.sleep(_UNRESPONSIVE_S)
            if self.faults.status:
                return web.Response(status=self.faults.status)
            self._expire_leases()
            return await handler(request)

        return handle

    async def _read(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.Response(status=404)
        return _make_response(item | {"store_revision": self._revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = [self.items[key] for key in keys[:_PAGE_KEYS]]
        return _make_response(
            {
                "items": page,
                "more_pages": len(keys) > _PAGE_KEYS,
                "store_revision": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / 1000
        end = time.monotonic() + wait_s
        while True:
            if after < self._compacted_revision:
                return web.Response(status=410)
            if self.faults.status:
                return web.Response(status=self.faults.status)
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                break
            # On a timeout the loop checks the remaining time and ends.
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)
        if self.faults.is_silent:
            await asyncio.sleep(_UNRESPONSIVE_S)
        return _make_response(
            {"events": events, "store_revision": self._revision}
        )

    async def _commit(self, request: web.Request) -> web.Response:
        """Applies a transaction unless an expected revision does not match."""
        txn = msgspec.json.decode(await request.read())
        for row in txn.get("expected", []):
            current = self.items.get(row["key"], {"rev": 0})
            if current["rev"] != row["rev"]:
                return web.json_response({"items": []}, status=412)
        for row in txn.get("put", []):
            lease = row.get("lease", 0)
            if lease and lease not in self._leases:
                return web.Response(status=404)
        for row in txn.get("put", []):
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in txn.get("remove", []):
            self._remove(key)
        self._notify_watches()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return _make_response({"rev": self._revision})

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttl_ms"]
        lease = next(self._lease_ids)
        self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms / 1000)
        return _make_response({"lease": lease, "ttl_ms": ttl_ms})

    async def _renew(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.Response(status=404)
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return _make_response({"ttl_ms": int(ttl_s * 1000)})

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease, (end, _) in list(self._leases.items()):
            if end > now:
                continue
            del self._leases[lease]
            for key, item in list(self.items.items()):
                if item["lease"] == lease:
                    self._remove(key)
                    self._notify_watches()

    def _write(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        previous = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": value,
            "rev": self._revision,
            "create_revision": (previous or {}).get(
                "create_revision", self._revision
            ),
            "lease": lease,
        }
        self._history.append(self.items[key])

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(
                {"key": key, "rev": self._revision, "deleted": True}
            )

    def _notify_watches(self) -> None:
        """Wakes all waiting watches."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _make_response(body: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )
