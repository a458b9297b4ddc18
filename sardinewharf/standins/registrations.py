"""Registers test doubles of servers in the platform's store."""

import asyncio
import base64
from collections.abc import Callable
import contextlib

import aiohttp
import msgspec

from sardinewharf.standins import platform_servers

# Time between renewals, and time after which an entry expires without one.
HEARTBEAT_S = 0.5
_LEASE_MS = 1_500
_CALL_TIMEOUT_S = 1.0


class Registrar:
    """Keeps a server's entry in the store alive with a lease.

    Args:
        server: The server.
        model: Name of the model, if the server is an engine.
        store: ``HOST:PORT`` of the store.
        entry: Fields of the entry other than the state and the models.

    Attributes:
        state: State of the server in its entry.
        on_written: Called with the state once the store has an entry with it.
    """

    def __init__(
        self,
        server: platform_servers.PlatformServer,
        model: str,
        store: str,
        entry: dict[str, object],
    ):
        self._server = server
        self._model = model
        self._store = f"http://{store}/-"
        self._entry = entry
        self._lease = 0
        self._written = b""
        self.state = "ready"
        self.on_written: Callable[[str], None] = lambda state: None

    async def run(self) -> None:
        """Writes the entry and renews its lease until cancelled."""
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                # The store may be unavailable; the next round retries.
                with contextlib.suppress(OSError, aiohttp.ClientError):
                    await self._renew(session)
                await asyncio.sleep(HEARTBEAT_S)

    async def remove_entry(self) -> None:
        """Removes the entry, as far as the store can be reached."""
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        path = f"{self._store}/kv-lease-end/{self._lease}"
        async with aiohttp.ClientSession(timeout=timeout) as session:
            with contextlib.suppress(OSError, aiohttp.ClientError):
                async with session.delete(path):
                    pass

    async def _renew(self, session: aiohttp.ClientSession) -> None:
        """Renews or acquires the lease, and writes the entry if it changed."""
        if self._lease:
            path = f"{self._store}/kv-keep/{self._lease}"
            async with session.post(path) as response:
                if response.status == 404:
                    self._lease, self._written = 0, b""
        if not self._lease:
            body = {"ttl_ms": _LEASE_MS}
            async with session.post(
                f"{self._store}/kv-lease", data=msgspec.json.encode(body)
            ) as response:
                if response.status != 200:
                    return
                self._lease = (await response.json())["lease"]
        state = self.state
        value = msgspec.json.encode(self._describe())
        if value != self._written and await self._write(session, value):
            self.on_written(state)

    async def _write(
        self, session: aiohttp.ClientSession, value: bytes
    ) -> bool:
        """Writes the entry; returns whether the store has acknowledged it."""
        put = {
            "key": f"servers/{self._server.id}",
            "value": base64.b64encode(value).decode(),
            "lease": self._lease,
        }
        body = msgspec.json.encode({"expected": [], "put": [put]})
        async with session.post(f"{self._store}/kv-txn", data=body) as response:
            is_written = response.status == 200
        if is_written:
            self._written = value
        return is_written

    def _describe(self) -> dict[str, object]:
        entry = self._entry | {"state": self.state}
        if self._server.version:
            entry["models"] = [
                {"name": self._model, "version": self._server.version}
            ]
        return entry
