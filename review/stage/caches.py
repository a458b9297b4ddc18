"""Stand-in of a store of kept KV cache, as PROTOCOL.md describes it."""

import asyncio
import collections
import contextlib
import itertools
import json
import time

from stage import http
from stage import manifests

_EPOCH = 77_120
_CAPACITY_TOKENS = 3_981_417
# Events arrive this much later, in seconds.
_EVENT_LAG_S = 0.08
_MAX_WAIT_S = 1.0


class CacheStore:
    """Keeps the parts that servers save, and tells of them as events.

    Args:
        spoiled_every: While it is faulty, one in so many answers to each caller
            is a head and a body without end.
        bytes_per_s: Speed of such a body.

    Attributes:
        address: ``IP:PORT`` that it listens on.
        is_faulty: Whether it spoils some of its answers.
        answers: Number of answers, and of those that were spoiled.
    """

    def __init__(self, spoiled_every: int, bytes_per_s: float):
        self.address = ""
        self.is_faulty = False
        self.answers = [0, 0]
        self._spoiled_every = spoiled_every
        self._bytes_per_s = bytes_per_s
        self._block = b"x" * 131_072
        self._events: list[list[object]] = []
        self._parts: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self._changed = asyncio.Event()
        self._polls: dict[str, int] = {}
        self._server = http.HttpServer(self._handle)

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        port = http.find_port(host)
        await self._server.start(host, port)
        self.address = f"{host}:{port}"

    def save(self, salt: str, parts: list[tuple[str, int]]) -> None:
        """Keeps the parts of a prompt, and drops the least recently used."""
        for part, tokens in parts:
            if (salt, part) not in self._parts:
                self._add_event("+", salt, part, tokens)
            self._parts[salt, part] = tokens
            self._parts.move_to_end((salt, part))
        while sum(self._parts.values()) > _CAPACITY_TOKENS:
            (old_salt, part), _ = self._parts.popitem(last=False)
            self._add_event("-", old_salt, part, 0)
        asyncio.get_running_loop().call_later(_EVENT_LAG_S, self._notify)

    def _add_event(self, sign: str, salt: str, part: str, tokens: int) -> None:
        number = len(self._events) + 1
        model = manifests.MODEL
        self._events.append([number, sign, salt, part, tokens, model])

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        path, _, query = request.target.partition("?")
        if path == "/-/kv-events":
            self.answers[0] += 1
            if self._is_next_spoiled(writer):
                self.answers[1] += 1
                await self._send_without_end(writer)
                return
            since = int(query.partition("since=")[2])
            wait_s = int(request.headers.get("wait-ms", "0")) / 1000
            body = await self._read_events(since, min(wait_s, _MAX_WAIT_S))
        elif path == "/-/kv-list":
            held = [
                [salt, part, tokens, manifests.MODEL]
                for (salt, part), tokens in self._parts.items()
            ]
            next_since = len(self._events)
            body = {"epoch": _EPOCH, "next": next_since, "held": held}
        else:
            http.reply(writer, 404)
            return
        http.reply(
            writer,
            200,
            json.dumps(body).encode(),
            content_type="application/json",
        )

    async def _read_events(
        self, since: int, wait_s: float
    ) -> dict[str, object]:
        if since >= len(self._events):
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await changed.wait()
        return {
            "epoch": _EPOCH,
            "next": len(self._events),
            "lost": False,
            "events": self._events[since:],
        }

    def _is_next_spoiled(self, writer: asyncio.StreamWriter) -> bool:
        if not self.is_faulty:
            return False
        caller = writer.get_extra_info("peername")[0]
        self._polls[caller] = self._polls.get(caller, 0) + 1
        return self._polls[caller] % self._spoiled_every == 0

    async def _send_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Sends a body without end at the speed of the caller's link."""
        head = {
            "content-type": "application/json",
            "transfer-encoding": "chunked",
        }
        writer.write(http.make_head(200, head))
        size = len(self._block)
        began = time.monotonic()
        for number in itertools.count(1):
            writer.write(b"%x\r\n%s\r\n" % (size, self._block))
            await writer.drain()
            due = began + number * size / self._bytes_per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
