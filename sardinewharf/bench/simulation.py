"""Simulates the routing of a trace over modelled engines.

The routers are the real ones; engines, load reports, cache events and gossip
are events on a simulated clock.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import time

from sardinewharf import load
from sardinewharf import routing
from sardinewharf.standins import engine_queue

TOKENS_PER_BLOCK = routing.BLOCK_TOKENS
QUESTION_TOKENS = 128
_DIGEST_LAG_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Parameters of a simulated deployment; times are in seconds.

    Attributes:
        engines: Number of engines.
        cache_blocks: Capacity of an engine's prefix cache in blocks.
        tokens_per_second: Prefill rate of an engine.
        daemons: Number of daemons, each of which routes on its own.
        report_interval_s: Time between an engine's load reports.
        report_lag: Time until a report reaches the daemons.
        event_lag: Time until a cache event reaches the daemons.
        event_loss: Share of the cache events that are lost, for each daemon
            on its own.
        digest_interval_s: Time between the digests in which a daemon reports
            its dispatches to the others; 0 for no digests.
        first_token_weight: Weight of the time to first token in the requests.
        recompute_weight: Weight of recomputation in the requests.
        kill_at_share: When an engine restarts with an empty cache, as a share
            of the trace's length; 0 for never.
    """

    engines: int
    cache_blocks: int = 64
    tokens_per_second: float = 20_000.0
    daemons: int = 3
    report_interval_s: float = 1.0
    report_lag: float = 0.5
    event_lag: float = 0.2
    event_loss: float = 0.0
    digest_interval_s: float = 0.25
    first_token_weight: float = 1.0
    recompute_weight: float = 1.0
    kill_at_share: float = 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """Results of a simulated trace.

    Attributes:
        hit_rate: Share of the prompt tokens found in a prefix cache.
        recomputed: Mean number of prompt tokens computed per request.
        ttft_s: Times to first token (TTFT), in order of arrival.
        imbalance: Busy time of the busiest engine over the mean of all.
        decision_us: Mean wall-clock time of a routing decision.
    """

    hit_rate: float
    recomputed: float
    ttft_s: list[float]
    imbalance: float
    decision_us: float

    def find_ttft_quantile(self, share: float) -> float:
        """Returns a quantile (0 to 1) of the TTFT, in seconds."""
        ordered = sorted(self.ttft_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class ExactStateRouter(routing.Router):
    """A router that knows every queue and cache without delay or loss."""

    def __init__(self, policy: routing.Policy, engines: dict):
        super().__init__(policy)
        self._engines = engines

    def _list_candidates(self, chain, pool, excluded, ring_engines):
        return list(pool.engines)

    def _evaluate(self, name, chain, block_ids, now, is_preferred):
        engine = self._engines[name]
        cached = 0
        for block_id in block_ids:
            if block_id not in engine.cache:
                break
            cached += 1
        tokens = sum(block.tokens for block in chain.blocks[cached:])
        return routing.Candidate(
            engine=name,
            wait=engine.read_wait(now),
            compute=self.get_view(name).estimate_compute(tokens),
            cached=cached,
            tokens=tokens,
        )


class FullScanRouter(routing.Router):
    """A router that considers every engine, as the baseline policies need."""

    def _list_candidates(self, chain, pool, excluded, ring_engines):
        return list(pool.engines)


RouterFactory = Callable[[dict, int], routing.Router]


class Simulation:
    """Runs one trace through one kind of router.

    Args:
        deployment: Parameters of the deployment.
        make_router: Creates a daemon's router from the engines and a seed.
    """

    def __init__(self, deployment: Deployment, make_router: RouterFactory):
        self._deployment = deployment
        names = [f"engine-{n:03d}" for n in range(deployment.engines)]
        self._engines = {
            name: engine_queue.QueuedEngine(
                name, deployment.cache_blocks, deployment.tokens_per_second
            )
            for name in names
        }
        self._pool = routing.Pool(names)
        self._routers = [
            make_router(self._engines, seed)
            for seed in range(deployment.daemons)
        ]
        self._urgent_buckets = [
            routing.make_urgent_bucket(now=0.0) for _ in self._routers
        ]
        self._pending_events: list[
            tuple[float, int, Callable[[float], None]]
        ] = []
        self._event_numbers = itertools.count()
        self._rng = random.Random(1)
        self._decision_s = 0.0

    def run(
        self, trace: tuple[load.Prompt, ...], trace_settings: load.TraceSettings
    ) -> Result:
        """Simulates the trace and returns its results."""
        chains = _BlockChainBuilder(trace_settings)
        ttft_s = []
        cached = computed = 0
        kill_at = trace[-1].at * self._deployment.kill_at_share
        self._schedule(0.0, self._report_load)
        if kill_at:
            self._schedule(kill_at, self._restart_engine)
        for number, prompt in enumerate(trace):
            self._advance(prompt.at)
            router = self._routers[number % len(self._routers)]
            prefill = self._dispatch(router, chains.build(prompt), prompt.at)
            ttft_s.append(prefill.ends - prompt.at)
            cached += prefill.cached_tokens
            computed += prefill.computed_tokens
        busy = [engine.busy_seconds for engine in self._engines.values()]
        return Result(
            cached / (cached + computed),
            computed / len(trace),
            ttft_s,
            max(busy) * len(busy) / sum(busy),
            self._decision_s / len(trace) * 1e6,
        )

    def _dispatch(
        self, router: routing.Router, chain: routing.BlockChain, now: float
    ) -> engine_queue.Run:
        deployment = self._deployment
        request = routing.RouteRequest(
            chain,
            deployment.first_token_weight,
            deployment.recompute_weight,
        )
        begun = time.perf_counter()
        choice = router.choose(request, self._pool, frozenset(), now)
        router.record_dispatch(choice, chain, now)
        self._decision_s += time.perf_counter() - begun
        engine = self._engines[choice.engine]
        prefill = engine.submit(chain, now)

        def report_completion(at: float) -> None:
            router.record_response(
                choice,
                chain,
                prefill.cached_tokens,
                engine.read_queued_tokens(at),
                at,
            )

        if deployment.digest_interval_s:
            self._share_dispatch(router, choice, chain, now)
        self._schedule(prefill.ends, report_completion)
        self._publish_cache_events(engine.name, prefill)
        return prefill

    def _share_dispatch(
        self,
        router: routing.Router,
        choice: routing.Choice,
        chain: routing.BlockChain,
        now: float,
    ) -> None:
        """Reports a dispatch to the other daemons with the next digest.

        A dispatch of many tokens is reported at once, as far as the rate limit
        of urgent messages allows.
        """
        update = routing.make_dispatch_update(choice, chain, now)
        if update is None:
            return
        period = self._deployment.digest_interval_s
        due = (now // period + 1) * period
        others = len(self._routers) - 1
        bucket = self._urgent_buckets[self._routers.index(router)]
        if update.tokens >= routing.URGENT_TOKENS and not bucket.take(
            now, others
        ):
            due = now

        def deliver(at: float) -> None:
            for other in self._routers:
                if other is not router:
                    other.record_dispatch_update(update, at)

        self._schedule(due + _DIGEST_LAG_S, deliver)

    def _publish_cache_events(
        self, name: str, prefill: engine_queue.Run
    ) -> None:
        deployment = self._deployment

        def deliver(at: float) -> None:
            for router in self._routers:
                for block_id in prefill.stored:
                    if self._rng.random() >= deployment.event_loss:
                        router.index.record_cached(name, (block_id,))
                for block_id in prefill.evicted:
                    if self._rng.random() >= deployment.event_loss:
                        router.index.record_evicted(name, block_id)

        self._schedule(prefill.ends + deployment.event_lag, deliver)

    def _report_load(self, now: float) -> None:
        queued = {
            name: engine.read_queued_tokens(now)
            for name, engine in self._engines.items()
        }

        def deliver(at: float) -> None:
            for router in self._routers:
                for name, tokens in queued.items():
                    router.get_view(name).record_report(tokens, at, made_at=now)

        self._schedule(now + self._deployment.report_lag, deliver)
        self._schedule(
            now + self._deployment.report_interval_s, self._report_load
        )

    def _restart_engine(self, now: float) -> None:
        name = next(iter(self._engines))
        self._engines[name].restart(now, down_seconds=0.0)
        for router in self._routers:
            router.record_incarnation(name, "before")
            router.record_incarnation(name, "after")

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(
            self._pending_events, (at, next(self._event_numbers), action)
        )

    def _advance(self, now: float) -> None:
        while self._pending_events and self._pending_events[0][0] <= now:
            at, _, action = heapq.heappop(self._pending_events)
            action(at)


class _BlockChainBuilder:
    """Builds the block chains of a trace's prompts without their text."""

    def __init__(self, trace_settings: load.TraceSettings):
        self._trace_settings = trace_settings

    def build(self, prompt: load.Prompt) -> routing.BlockChain:
        trace_settings = self._trace_settings
        blocks = [
            routing.PrefixBlock(
                f"r{prompt.rules}/{n}".encode(), TOKENS_PER_BLOCK
            )
            for n in range(trace_settings.rules_blocks)
        ]
        blocks += [
            routing.PrefixBlock(
                f"r{prompt.rules}/l{prompt.label}/{n}".encode(),
                TOKENS_PER_BLOCK,
            )
            for n in range(trace_settings.label_blocks)
        ]
        question = f"q{prompt.question}".encode()
        blocks.append(routing.PrefixBlock(question, QUESTION_TOKENS))
        return routing.BlockChain(tuple(blocks), len(blocks) - 1)


def find_optimal_hit_rate(
    trace: tuple[load.Prompt, ...],
    trace_settings: load.TraceSettings,
    cache_blocks: int,
) -> float:
    """Returns the hit rate of one optimal cache of the given capacity.

    The cache evicts the block whose next use is farthest in the future, so that
    no routing policy over engines with the same total capacity can do better.

    References:
        Belady, "A study of replacement algorithms for a virtual-storage
        computer", IBM Systems Journal 5 (2), 1966.
    """
    chains = _BlockChainBuilder(trace_settings)
    uses: dict[bytes, list[int]] = {}
    for number, prompt in enumerate(trace):
        for block in chains.build(prompt).blocks[:-1]:
            uses.setdefault(block.id, []).append(number)
    for numbers in uses.values():
        numbers.reverse()
    next_uses: dict[bytes, int] = {}
    hits = total = 0
    for prompt in trace:
        chain = chains.build(prompt)
        total += chain.tokens
        for block in chain.blocks[:-1]:
            uses[block.id].pop()
            hits += block.tokens if block.id in next_uses else 0
            remaining_uses = uses[block.id]
            next_uses[block.id] = (
                remaining_uses[-1] if remaining_uses else len(trace)
            )
        while len(next_uses) > cache_blocks:
            del next_uses[max(next_uses, key=next_uses.__getitem__)]
    return hits / total
