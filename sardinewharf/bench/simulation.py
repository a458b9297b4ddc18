"""Routes a trace over modelled engines in simulated time."""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import time

from sardinewharf import load
from sardinewharf import routing
from sardinewharf.standins import engine_queue

PIECE = routing.BLOCK_TOKENS
QUESTION_TOKENS = 128
_DIGEST_LAG_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """What is simulated.

    Attributes:
        engines: Number of engines.
        capacity: Pieces that fit an engine's cache.
        tokens_per_second: Rate at which an engine computes prompts.
        daemons: Number of daemons that decide on their own.
        report_seconds: Time between an engine's load reports.
        report_lag: Time until a report reaches the daemons.
        event_lag: Time until a cache event reaches the daemons.
        event_loss: Share of cache events that are lost.
        share_seconds: Time between the digests in which daemons tell each
            other what they sent; 0 for none.
        first_token_weight: The intent's weight of the first token.
        recompute_weight: The intent's weight of recomputation.
        kill_at: When an engine loses its cache, as a share of the trace; 0
            for never.
    """

    engines: int
    capacity: int = 64
    tokens_per_second: float = 20_000.0
    daemons: int = 3
    report_seconds: float = 1.0
    report_lag: float = 0.5
    event_lag: float = 0.2
    event_loss: float = 0.0
    share_seconds: float = 0.25
    first_token_weight: float = 1.0
    recompute_weight: float = 1.0
    kill_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """What came of a trace.

    Attributes:
        hit_rate: Share of prompt tokens found in a cache.
        recomputed: Tokens computed for each request.
        first: Times to the first token, in order of arrival, in seconds.
        imbalance: Busiest engine's time over the mean.
        decision_us: Mean time of a decision in microseconds.
    """

    hit_rate: float
    recomputed: float
    first: list[float]
    imbalance: float
    decision_us: float

    def read_first(self, share: float) -> float:
        """Returns a quantile of the time to the first token."""
        ordered = sorted(self.first)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class TruthRouter(routing.Router):
    """A router that sees every queue and cache as it is."""

    def __init__(self, policy: routing.Policy, engines: dict):
        super().__init__(policy)
        self._engines = engines

    def _list_candidates(self, chain, pool, excluded, ring_engines):
        return list(pool.engines)

    def _evaluate(self, name, chain, pieces, now, is_preferred):
        engine = self._engines[name]
        cached = 0
        for piece in pieces:
            if piece not in engine.cache:
                break
            cached += 1
        tokens = sum(piece.tokens for piece in chain.blocks[cached:])
        return routing.Candidate(
            engine=name,
            wait=engine.read_wait(now),
            compute=self.get_view(name).estimate_compute(tokens),
            cached=cached,
            tokens=tokens,
        )


class AllRouter(routing.Router):
    """A router that considers every engine, for the baselines."""

    def _list_candidates(self, chain, pool, excluded, ring_engines):
        return list(pool.engines)


MakeRouter = Callable[[dict, int], routing.Router]


class Simulation:
    """Runs one trace through one kind of router.

    Args:
        deployment: What is simulated.
        make_router: Makes a daemon's router from the engines and a seed.
    """

    def __init__(self, deployment: Deployment, make_router: MakeRouter):
        self._deployment = deployment
        names = [f"engine-{n:03d}" for n in range(deployment.engines)]
        self._engines = {
            name: engine_queue.QueuedEngine(
                name, deployment.capacity, deployment.tokens_per_second
            )
            for name in names
        }
        self._pool = routing.Pool(names)
        self._routers = [
            make_router(self._engines, seed)
            for seed in range(deployment.daemons)
        ]
        self._paces = [
            routing.make_urgent_bucket(now=0.0) for _ in self._routers
        ]
        self._later: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._chance = random.Random(1)
        self._spent = 0.0

    def run(
        self, trace: tuple[load.Prompt, ...], shape: load.TraceSettings
    ) -> Result:
        """Returns what came of the trace."""
        chains = _ChainCache(shape)
        first = []
        cached = computed = 0
        kill_at = trace[-1].at * self._deployment.kill_at
        self._schedule(0.0, self._report)
        if kill_at:
            self._schedule(kill_at, self._kill)
        for number, prompt in enumerate(trace):
            self._advance(prompt.at)
            router = self._routers[number % len(self._routers)]
            run = self._send(router, chains.get(prompt), prompt.at)
            first.append(run.first_token_at - prompt.at)
            cached += run.cached_tokens
            computed += run.computed_tokens
        busy = [engine.busy_seconds for engine in self._engines.values()]
        return Result(
            cached / (cached + computed),
            computed / len(trace),
            first,
            max(busy) * len(busy) / sum(busy),
            self._spent / len(trace) * 1e6,
        )

    def _send(
        self, router: routing.Router, chain: routing.BlockChain, now: float
    ) -> engine_queue.PrefillResult:
        deployment = self._deployment
        request = routing.RouteRequest(
            chain,
            deployment.first_token_weight,
            deployment.recompute_weight,
        )
        begun = time.perf_counter()
        choice = router.choose(request, self._pool, frozenset(), now)
        router.record_dispatch(choice, chain, now)
        self._spent += time.perf_counter() - begun
        engine = self._engines[choice.engine]
        run = engine.submit(chain, now)

        def answer(at: float) -> None:
            router.record_response(
                choice,
                chain,
                run.cached_tokens,
                engine.read_queued_tokens(at),
                at,
            )

        if deployment.share_seconds:
            self._share(router, choice, chain, now)
        self._schedule(run.first_token_at, answer)
        self._publish(engine.name, run)
        return run

    def _share(
        self,
        router: routing.Router,
        choice: routing.Choice,
        chain: routing.BlockChain,
        now: float,
    ) -> None:
        """Tells the other daemons of a dispatch with the next digest."""
        news = routing.make_dispatch_update(choice, chain, now)
        if news is None:
            return
        period = self._deployment.share_seconds
        due = (now // period + 1) * period
        others = len(self._routers) - 1
        pace = self._paces[self._routers.index(router)]
        if news.tokens >= routing.URGENT_TOKENS and not pace.take(now, others):
            due = now

        def tell(at: float) -> None:
            for other in self._routers:
                if other is not router:
                    other.record_dispatch_update(news, at)

        self._schedule(due + _DIGEST_LAG_S, tell)

    def _publish(self, name: str, run: engine_queue.PrefillResult) -> None:
        deployment = self._deployment

        def tell(at: float) -> None:
            for router in self._routers:
                for piece in run.stored:
                    if self._chance.random() >= deployment.event_loss:
                        router.index.record_cached(name, (piece,))
                for piece in run.evicted:
                    if self._chance.random() >= deployment.event_loss:
                        router.index.record_evicted(name, piece)

        self._schedule(run.first_token_at + deployment.event_lag, tell)

    def _report(self, now: float) -> None:
        queued = {
            name: engine.read_queued_tokens(now)
            for name, engine in self._engines.items()
        }

        def tell(at: float) -> None:
            for router in self._routers:
                for name, tokens in queued.items():
                    router.get_view(name).record_report(tokens, at, made_at=now)

        self._schedule(now + self._deployment.report_lag, tell)
        self._schedule(now + self._deployment.report_seconds, self._report)

    def _kill(self, now: float) -> None:
        name = next(iter(self._engines))
        self._engines[name].restart(now, down_seconds=0.0)
        for router in self._routers:
            router.record_incarnation(name, "before")
            router.record_incarnation(name, "after")

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._later, (at, next(self._order), action))

    def _advance(self, now: float) -> None:
        while self._later and self._later[0][0] <= now:
            at, _, action = heapq.heappop(self._later)
            action(at)


class _ChainCache:
    """Makes the chains of a trace's prompts without their text."""

    def __init__(self, shape: load.TraceSettings):
        self._shape = shape

    def get(self, prompt: load.Prompt) -> routing.BlockChain:
        shape = self._shape
        pieces = [
            routing.PrefixBlock(f"r{prompt.rules}/{n}".encode(), PIECE)
            for n in range(shape.rules_pieces)
        ]
        pieces += [
            routing.PrefixBlock(
                f"r{prompt.rules}/l{prompt.label}/{n}".encode(), PIECE
            )
            for n in range(shape.label_pieces)
        ]
        question = f"q{prompt.question}".encode()
        pieces.append(routing.PrefixBlock(question, QUESTION_TOKENS))
        return routing.BlockChain(tuple(pieces), len(pieces) - 1)


def find_limit(
    trace: tuple[load.Prompt, ...], shape: load.TraceSettings, capacity: int
) -> float:
    """Returns the hit rate of one cache of all capacity with foresight.

    References:
        Belady, "A study of replacement algorithms for a virtual-storage
        computer", IBM Systems Journal 5 (2), 1966.
    """
    chains = _ChainCache(shape)
    uses: dict[bytes, list[int]] = {}
    for number, prompt in enumerate(trace):
        for piece in chains.get(prompt).blocks[:-1]:
            uses.setdefault(piece.id, []).append(number)
    for numbers in uses.values():
        numbers.reverse()
    held: dict[bytes, int] = {}
    hits = total = 0
    for prompt in trace:
        chain = chains.get(prompt)
        total += chain.tokens
        for piece in chain.blocks[:-1]:
            uses[piece.id].pop()
            hits += piece.tokens if piece.id in held else 0
            left = uses[piece.id]
            held[piece.id] = left[-1] if left else len(trace)
        while len(held) > capacity:
            del held[max(held, key=held.__getitem__)]
    return hits / total
