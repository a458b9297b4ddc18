"""Stands in for a model engine.

It computes prompts one after another, streams answers side by side, keeps a
limited prefix cache, and records every request it ran.
"""

import asyncio
import collections
import dataclasses
import itertools
import os
import secrets
import time

from aiohttp import web
import msgspec

from sardinewharf.standins import engine_model
from sardinewharf.standins import program

_EVENTS_KEPT = 4096
_STREAMS_KEPT_S = 30.0
_DONE = b"[DONE]"


class Faults(msgspec.Struct):
    """What the engine does wrong.

    Attributes:
        refuse: Answers 503 with ``Not-Run: 1``.
        break_after: Cuts each stream's connection after this many chunks.
        crash_after: Ends the process after this many chunks of a stream.
        event_gap: Share of cache events that are lost.
        queued_seconds: Queue that the engine reports beside its own.
        never_load: Weights version whose load never ends.
    """

    refuse: bool = False
    break_after: int = 0
    crash_after: int = 0
    event_gap: float = 0.0
    queued_seconds: float = 0.0
    never_load: str = ""


class Order(msgspec.Struct):
    """The wanted state of an engine.

    Attributes:
        fence: Orders with a lower number than one seen are refused.
        weights: Wanted weights version for each model or adapter.
    """

    fence: int
    weights: dict[str, str]


@dataclasses.dataclass
class _Stream:
    """A running answer, kept for a while so that it can be resumed."""

    head: dict[str, str] = dataclasses.field(default_factory=dict)
    frames: list[bytes] = dataclasses.field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    grown: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ends: float = 0.0


class EngineServer:
    """Runs model requests.

    Args:
        costs: How long things take.
        capacity: Number of prefix pieces that fit the cache.
        weights: Weights version for each model at the start.
        honours_fence: Whether orders with an old fence are refused.
        crash_marker: Prompts that contain it end the process.
    """

    def __init__(
        self,
        costs: engine_model.EngineCosts,
        capacity: int,
        weights: dict[str, str],
        honours_fence: bool,
        crash_marker: str,
    ):
        self._costs = costs
        self._cache = engine_model.PrefixCache(capacity)
        self._weights = weights
        self._loading: dict[str, str] = {}
        self._honours_fence = honours_fence
        self._crash_marker = crash_marker.encode()
        self._fence = 0
        self._incarnation = secrets.token_hex(4)
        self._prefill = asyncio.Lock()
        self._queued_tokens = 0
        self._running = 0
        self._streams: dict[str, _Stream] = {}
        self._events: collections.deque[tuple[int, str, str]] = (
            collections.deque(maxlen=_EVENTS_KEPT)
        )
        self._event_numbers = itertools.count(1)
        self._leaving = False
        self._left_at = 0.0
        self._late_arrivals: list[float] = []
        self._refused = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._record: list[dict[str, object]] = []
        self._orders: list[Order] = []
        self.faults = Faults()

    def make_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=1 << 25)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_get("/v1/streams/{attempt}", self._resume)
        app.router.add_delete("/v1/streams/{attempt}", self._cancel)
        app.router.add_get("/v1/events", self._list_events)
        app.router.add_get("/v1/load", self._load)
        app.router.add_post("/v1/orders", self._order)
        app.router.add_post("/v1/leave", self._leave)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/record", self._show)
        return app

    def _describe(self) -> dict[str, object]:
        return {
            "incarnation": self._incarnation,
            "running": self._running,
            "queued_tokens": self._count_queued(),
            "leaving": self._leaving,
            "weights": self._weights,
            "loading": self._loading,
            "fence": self._fence,
        }

    def _count_queued(self) -> int:
        rate = self._costs.prefill_tokens_per_second
        return self._queued_tokens + int(self.faults.queued_seconds * rate)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        attempt = request.headers["X-Attempt-Id"]
        target = body.get("adapter") or body["model"]
        weights = self._weights.get(target)
        if self._leaving:
            self._late_arrivals.append(time.monotonic() - self._left_at)
        if self.faults.refuse or self._leaving or weights is None:
            self._refused += 1
            return web.Response(status=503, headers={"Not-Run": "1"})
        prompt = msgspec.json.encode(body.get("messages", body.get("prompt")))
        if self._crash_marker and self._crash_marker in prompt:
            os._exit(1)
        stream = _Stream()
        self._streams[attempt] = stream
        try:
            matched, cached, computed = await self._compute(body)
        except asyncio.CancelledError:
            # The caller left before its prompt was computed.
            del self._streams[attempt]
            raise
        start = body.get("continuation", {}).get("tokens", 0)
        end = max(start, body.get("max_tokens") or 16)
        self._record.append(
            {
                "request": request.headers.get("X-Request-Id", ""),
                "attempt": attempt,
                "start": start,
                "cached_tokens": cached,
                "computed_tokens": computed,
                "weights": weights,
                "pieces": [name for name, _ in body["cache_pieces"]],
                "cached_pieces": matched,
            }
        )
        stream.head = {
            "X-Cached-Tokens": str(cached),
            "X-Weights-Version": weights,
            "X-Computed-Tokens": str(computed),
        }
        source = _Source(
            request.headers.get("X-Request-Id", ""), body["model"], attempt
        )
        task = asyncio.create_task(
            self._decode(stream, source, prompt, weights, start, end)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await self._send(request, attempt, stream, 0)

    async def _compute(self, body: dict) -> tuple[int, int, int]:
        pieces = [(name, tokens) for name, tokens in body["cache_pieces"]]
        total = sum(tokens for _, tokens in pieces)
        names = [name for name, _ in pieces]
        self._queued_tokens += total
        try:
            async with self._prefill:
                matched = self._cache.match(names)
                cached = sum(tokens for _, tokens in pieces[:matched])
                await asyncio.sleep(self._costs.prefill(total - cached))
                # The last piece holds the question and is seldom shared.
                added, evicted = self._cache.insert(names[:-1])
                self._note("stored", added)
                self._note("evicted", evicted)
        finally:
            self._queued_tokens -= total
        return matched, cached, total - cached

    def _note(self, action: str, names: list) -> None:
        for name in names:
            number = next(self._event_numbers)
            if secrets.randbelow(1000) >= self.faults.event_gap * 1000:
                self._events.append((number, action, name))

    async def _decode(
        self,
        stream: _Stream,
        source: "_Source",
        prompt: bytes,
        weights: str,
        start: int,
        end: int,
    ) -> None:
        self._running += 1
        try:
            for index in range(start, end):
                text = engine_model.write_answer(
                    prompt, weights, index, index + 1
                )
                reason = "stop" if index == end - 1 else None
                stream.frames.append(source.frame(index - start, text, reason))
                stream.grown.set()
                await asyncio.sleep(self._costs.decode(self._running))
                if stream.cancelled:
                    return
                crash = self.faults.crash_after
                if crash and index - start + 1 >= crash:
                    os._exit(1)
            stream.frames.append(source.end(end - start))
        finally:
            self._running -= 1
            stream.done = True
            stream.ends = time.monotonic() + _STREAMS_KEPT_S
            stream.grown.set()
            self._forget_streams()

    def _forget_streams(self) -> None:
        now = time.monotonic()
        for attempt, stream in list(self._streams.items()):
            if stream.done and stream.ends < now:
                del self._streams[attempt]

    async def _send(
        self,
        request: web.Request,
        attempt: str,
        stream: _Stream,
        position: int,
    ) -> web.StreamResponse:
        while not stream.head and not stream.done:
            stream.grown.clear()
            await stream.grown.wait()
        response = web.StreamResponse(headers=stream.head)
        response.content_type = "text/event-stream"
        response.headers["X-Attempt-Id"] = attempt
        response.headers["X-Incarnation"] = self._incarnation
        response.headers["X-Load"] = f"{self._running} {self._queued_tokens}"
        await response.prepare(request)
        first = position
        while True:
            while position < len(stream.frames):
                await response.write(stream.frames[position])
                position += 1
                broken = self.faults.break_after
                if broken and position - first >= broken:
                    request.transport.abort()
                    return response
            if stream.done:
                return response
            stream.grown.clear()
            await stream.grown.wait()

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        attempt = request.match_info["attempt"]
        stream = self._streams.get(attempt)
        if stream is None:
            return web.Response(status=404)
        position = int(request.query["after"])
        return await self._send(request, attempt, stream, position)

    async def _cancel(self, request: web.Request) -> web.Response:
        stream = self._streams.get(request.match_info["attempt"])
        if stream is not None:
            stream.cancelled = True
        return web.Response()

    async def _list_events(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        events = [e for e in self._events if e[0] > after]
        return program.answer_json(
            {"incarnation": self._incarnation, "events": events}
        )

    async def _load(self, request: web.Request) -> web.Response:
        return program.answer_json(self._describe())

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=Order)
        if self._honours_fence and order.fence < self._fence:
            return program.answer_json(self._describe(), status=409)
        self._fence = max(self._fence, order.fence)
        self._orders.append(order)
        for name in list(self._weights):
            if name not in order.weights:
                del self._weights[name]
        for name, version in order.weights.items():
            wanted = self._loading.get(name, self._weights.get(name))
            if wanted != version:
                self._loading[name] = version
                task = asyncio.create_task(self._load_weights(name, version))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        return program.answer_json(self._describe())

    async def _load_weights(self, name: str, version: str) -> None:
        await asyncio.sleep(self._costs.load_seconds)
        if self._loading.get(name) != version:
            return
        if version == self.faults.never_load:
            return
        del self._loading[name]
        if name in self._weights:
            # Entries of the older weights are of no use any more.
            self._cache.clear()
            self._note("cleared", [""])
        self._weights[name] = version

    async def _leave(self, request: web.Request) -> web.Response:
        self._leaving = True
        self._left_at = time.monotonic()
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return program.answer_json(self.faults)

    async def _show(self, request: web.Request) -> web.Response:
        body = {
            "runs": self._record,
            "orders": self._orders,
            "refused": self._refused,
            "late_arrivals": self._late_arrivals,
        }
        return program.answer_json(body | self._describe())


@dataclasses.dataclass(frozen=True, slots=True)
class _Source:
    """Formats the events of one stream."""

    request: str
    model: str
    attempt: str

    def frame(self, sequence: int, text: str, reason: str | None) -> bytes:
        choice = {
            "index": 0,
            "delta": {"content": text},
            "text": text,
            "finish_reason": reason,
        }
        data = {
            "id": self.request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [choice],
        }
        return self._event(sequence, msgspec.json.encode(data))

    def end(self, sequence: int) -> bytes:
        return self._event(sequence, _DONE)

    def _event(self, sequence: int, data: bytes) -> bytes:
        tag = f"id: {self.attempt}/{sequence}\ndata: ".encode()
        return tag + data + b"\n\n"


def main() -> None:
    """Runs the stand-in."""
    parser = program.make_parser("Model engine stand-in.")
    parser.add_argument("--prefill-rate", type=float, default=20_000.0)
    parser.add_argument("--decode-ms", type=float, default=10.0)
    parser.add_argument("--load-seconds", type=float, default=1.0)
    parser.add_argument("--capacity", type=int, default=64)
    parser.add_argument(
        "--weights", default="proof=w1", help="NAME=VERSION,NAME=VERSION"
    )
    parser.add_argument("--ignore-fence", action="store_true")
    parser.add_argument("--crash-marker", default="")
    arguments = parser.parse_args()
    costs = engine_model.EngineCosts(
        prefill_tokens_per_second=arguments.prefill_rate,
        decode_seconds=arguments.decode_ms / 1000,
        load_seconds=arguments.load_seconds,
    )
    weights = dict(
        pair.split("=") for pair in arguments.weights.split(",") if pair
    )

    def make_app() -> web.Application:
        server = EngineServer(
            costs,
            arguments.capacity,
            weights,
            not arguments.ignore_fence,
            arguments.crash_marker,
        )
        return server.make_app()

    program.run_app(make_app, arguments)


if __name__ == "__main__":
    main()
