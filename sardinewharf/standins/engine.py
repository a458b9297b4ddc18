"""Test double of an inference engine.

It prefills prompts one after another, decodes streams concurrently, has a
prefix cache of limited size, and records every request that it executed.
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

_MAX_EVENTS = 4096
_STREAM_RETENTION_S = 30.0
_DONE = b"[DONE]"


class Faults(msgspec.Struct):
    """Faults to inject into the engine.

    Attributes:
        refuse: Responds with 503 and ``Not-Run: 1``.
        break_after: Aborts the connection of each stream after this many
            events; 0 for never.
        crash_after: Ends the process after this many events of a stream; 0
            for never.
        event_gap: Fraction of cache events that are lost.
        queued_seconds: Reports a prefill queue that is longer than the real
            one by this time.
        never_load: Weights version whose load never ends.
    """

    refuse: bool = False
    break_after: int = 0
    crash_after: int = 0
    event_gap: float = 0.0
    queued_seconds: float = 0.0
    never_load: str = ""


class Order(msgspec.Struct):
    """The target state of an engine.

    Attributes:
        fence: Fencing token; an order whose token is lower than the highest
            received is refused.
        weights: Target weights version of each model or adapter; those that
            are not listed are unloaded.
    """

    fence: int
    weights: dict[str, str]


@dataclasses.dataclass
class _Stream:
    """The events of a request, retained for a while for resumption.

    Attributes:
        headers: Headers of the response; empty until the prefill ends.
        events: Encoded events so far.
        done: Whether no more events follow.
        cancelled: Whether decoding stops at the next token.
        changed: Set when events are added or the stream is done.
        expires_at: When a stream that is done is removed.
    """

    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    events: list[bytes] = dataclasses.field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    expires_at: float = 0.0


class EngineServer:
    """Executes model requests.

    Args:
        costs: How long the operations take.
        capacity: Maximum number of blocks in the prefix cache.
        weights: Weights version of each model or adapter at the start.
        enforces_fence: Whether orders with an old fencing token are refused.
        crash_marker: Prompts that contain it end the process; none if empty.

    Attributes:
        faults: Faults to inject.
    """

    def __init__(
        self,
        costs: engine_model.EngineCosts,
        capacity: int,
        weights: dict[str, str],
        enforces_fence: bool,
        crash_marker: str,
    ):
        self._costs = costs
        self._cache = engine_model.PrefixCache(capacity)
        self._weights = weights
        self._loading: dict[str, str] = {}
        self._enforces_fence = enforces_fence
        self._crash_marker = crash_marker.encode()
        self._highest_fence = 0
        self._incarnation = secrets.token_hex(4)
        self._prefill_lock = asyncio.Lock()
        self._queued_tokens = 0
        self._running = 0
        self._streams: dict[str, _Stream] = {}
        self._events: collections.deque[tuple[int, str, str]] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )
        self._event_numbers = itertools.count(1)
        self._is_leaving = False
        self._leaving_since = 0.0
        self._late_arrivals: list[float] = []
        self._refused = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._runs: list[dict[str, object]] = []
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
        app.router.add_get("/v1/load", self._get_load)
        app.router.add_post("/v1/orders", self._handle_order)
        app.router.add_post("/v1/leave", self._leave)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/record", self._get_record)
        return app

    def _describe(self) -> dict[str, object]:
        return {
            "incarnation": self._incarnation,
            "running": self._running,
            "queued_tokens": self._count_queued_tokens(),
            "leaving": self._is_leaving,
            "weights": self._weights,
            "loading": self._loading,
            "fence": self._highest_fence,
        }

    def _count_queued_tokens(self) -> int:
        """Returns the queued prompt tokens, with those that a fault adds."""
        rate = self._costs.prefill_tokens_per_second
        return self._queued_tokens + int(self.faults.queued_seconds * rate)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        attempt = request.headers["X-Attempt-Id"]
        target = body.get("adapter") or body["model"]
        weights = self._weights.get(target)
        if self._is_leaving:
            self._late_arrivals.append(time.monotonic() - self._leaving_since)
        if self.faults.refuse or self._is_leaving or weights is None:
            self._refused += 1
            headers = {"Not-Run": "1", "X-Attempt-Id": attempt}
            return web.Response(status=503, headers=headers)
        prompt = msgspec.json.encode(body.get("messages", body.get("prompt")))
        if self._crash_marker and self._crash_marker in prompt:
            os._exit(1)
        stream = _Stream()
        self._streams[attempt] = stream
        try:
            matched, cached, computed = await self._run_prefill(body)
        except asyncio.CancelledError:
            # The caller disconnected before its prompt was prefilled.
            del self._streams[attempt]
            raise
        start = body.get("continuation", {}).get("tokens", 0)
        end = max(start, body.get("max_tokens") or 16)
        self._runs.append(
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
        stream.headers = {
            "X-Cached-Tokens": str(cached),
            "X-Weights-Version": weights,
            "X-Computed-Tokens": str(computed),
        }
        encoder = _EventEncoder(
            request.headers.get("X-Request-Id", ""), body["model"], attempt
        )
        task = asyncio.create_task(
            self._decode(stream, encoder, prompt, weights, start, end)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await self._send(request, attempt, stream, 0)

    async def _run_prefill(self, body: dict) -> tuple[int, int, int]:
        """Waits for the prefill of a prompt, and caches its blocks.

        Returns:
            Number of cached blocks, of cached tokens and of computed tokens.
        """
        blocks = [(name, tokens) for name, tokens in body["cache_pieces"]]
        total = sum(tokens for _, tokens in blocks)
        names = [name for name, _ in blocks]
        self._queued_tokens += total
        try:
            async with self._prefill_lock:
                matched = self._cache.match(names)
                cached = sum(tokens for _, tokens in blocks[:matched])
                await asyncio.sleep(self._costs.prefill(total - cached))
                # The last block holds the question and is seldom shared.
                added, evicted = self._cache.insert(names[:-1])
                self._record_cache_events("stored", added)
                self._record_cache_events("evicted", evicted)
        finally:
            self._queued_tokens -= total
        return matched, cached, total - cached

    def _record_cache_events(self, action: str, names: list) -> None:
        for name in names:
            number = next(self._event_numbers)
            if secrets.randbelow(1000) >= self.faults.event_gap * 1000:
                self._events.append((number, action, name))

    async def _decode(
        self,
        stream: _Stream,
        encoder: "_EventEncoder",
        prompt: bytes,
        weights: str,
        start: int,
        end: int,
    ) -> None:
        self._running += 1
        try:
            for index in range(start, end):
                text = engine_model.generate_text(
                    prompt, weights, index, index + 1
                )
                reason = "stop" if index == end - 1 else None
                stream.events.append(
                    encoder.encode_token(index - start, text, reason)
                )
                stream.changed.set()
                await asyncio.sleep(self._costs.decode(self._running))
                if stream.cancelled:
                    return
                crash_after = self.faults.crash_after
                if crash_after and index - start + 1 >= crash_after:
                    os._exit(1)
            stream.events.append(encoder.encode_end(end - start))
        finally:
            self._running -= 1
            stream.done = True
            stream.expires_at = time.monotonic() + _STREAM_RETENTION_S
            stream.changed.set()
            self._remove_expired_streams()

    def _remove_expired_streams(self) -> None:
        now = time.monotonic()
        for attempt, stream in list(self._streams.items()):
            if stream.done and stream.expires_at < now:
                del self._streams[attempt]

    async def _send(
        self,
        request: web.Request,
        attempt: str,
        stream: _Stream,
        position: int,
    ) -> web.StreamResponse:
        """Sends the events of a stream from a position, until it is done."""
        while not stream.headers and not stream.done:
            stream.changed.clear()
            await stream.changed.wait()
        response = web.StreamResponse(headers=stream.headers)
        response.content_type = "text/event-stream"
        response.headers["X-Attempt-Id"] = attempt
        response.headers["X-Incarnation"] = self._incarnation
        response.headers["X-Load"] = f"{self._running} {self._queued_tokens}"
        await response.prepare(request)
        first = position
        while True:
            while position < len(stream.events):
                await response.write(stream.events[position])
                position += 1
                max_chunks = self.faults.break_after
                if max_chunks and position - first >= max_chunks:
                    request.transport.abort()
                    return response
            if stream.done:
                return response
            stream.changed.clear()
            await stream.changed.wait()

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
        return program.make_json_response(
            {"incarnation": self._incarnation, "events": events}
        )

    async def _get_load(self, request: web.Request) -> web.Response:
        return program.make_json_response(self._describe())

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=Order)
        if self._enforces_fence and order.fence < self._highest_fence:
            return program.make_json_response(self._describe(), status=409)
        self._highest_fence = max(self._highest_fence, order.fence)
        self._orders.append(order)
        for name in list(self._weights):
            if name not in order.weights:
                del self._weights[name]
        for name, version in order.weights.items():
            current = self._loading.get(name, self._weights.get(name))
            if current != version:
                self._loading[name] = version
                task = asyncio.create_task(self._load_weights(name, version))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        return program.make_json_response(self._describe())

    async def _load_weights(self, name: str, version: str) -> None:
        await asyncio.sleep(self._costs.load_seconds)
        if self._loading.get(name) != version:
            return
        if version == self.faults.never_load:
            return
        del self._loading[name]
        if name in self._weights:
            # Entries of the previous weights cannot be used any more.
            self._cache.clear()
            self._record_cache_events("cleared", [""])
        self._weights[name] = version

    async def _leave(self, request: web.Request) -> web.Response:
        self._is_leaving = True
        self._leaving_since = time.monotonic()
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return program.make_json_response(self.faults)

    async def _get_record(self, request: web.Request) -> web.Response:
        body = {
            "runs": self._runs,
            "orders": self._orders,
            "refused": self._refused,
            "late_arrivals": self._late_arrivals,
        }
        return program.make_json_response(body | self._describe())


@dataclasses.dataclass(frozen=True, slots=True)
class _EventEncoder:
    """Encodes the server-sent events of one stream.

    Attributes:
        request: Id of the request.
        model: Name of the model.
        attempt: Id of the attempt, which is part of each event's id.
    """

    request: str
    model: str
    attempt: str

    def encode_token(
        self, sequence: int, text: str, reason: str | None
    ) -> bytes:
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
        return self._format_event(sequence, msgspec.json.encode(data))

    def encode_end(self, sequence: int) -> bytes:
        return self._format_event(sequence, _DONE)

    def _format_event(self, sequence: int, data: bytes) -> bytes:
        tag = f"id: {self.attempt}/{sequence}\ndata: ".encode()
        return tag + data + b"\n\n"


def main() -> None:
    """Runs the engine test double."""
    parser = program.make_parser("Test double of an inference engine.")
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
