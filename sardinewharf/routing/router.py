"""Chooses an engine for each request from a few candidates.

The candidates are the engines that probably have the longest prefix cached,
the preferred engines of the prefix, and a few random ones, so that the cost of
a decision does not grow with the number of engines.
"""

from collections.abc import Iterable
import dataclasses
import math
import random

from sardinewharf.routing import cache_index
from sardinewharf.routing import demand as demand_lib
from sardinewharf.routing import policies
from sardinewharf.routing import prefixes
from sardinewharf.routing import ring
from sardinewharf.routing import views

_MAX_HOLDERS = 4
_MAX_PREFERRED_ENGINES = 8
_RANDOM_CANDIDATES = 8
# Up to this many engines, all are candidates: random candidates alone could
# miss an idle engine.
_FULL_SCAN_ENGINES = 12
_DEMAND_ENTRIES = 4096
_DEMAND_WINDOW_S = 20.0
# Demand, in engine seconds per second, that adds one more preferred engine.
_DEMAND_PER_ENGINE = 0.5
# How far the number of engines that the demand requires must fall below the
# current number of preferred engines before that number is reduced.
_ENGINE_COUNT_HYSTERESIS = 0.5
# Share of a shared prefix that a preferred engine is assumed to have cached
# without any report; an average over responses with this smoothing factor.
_INITIAL_HIT_RATIO = 0.0
_HIT_RATIO_SMOOTHING = 0.1


class Pool:
    """The engines that may serve a model or adapter; immutable.

    Args:
        engines: The ids of the engines.
    """

    def __init__(self, engines: Iterable[str]):
        self.engines = tuple(sorted(engines))
        self.members = frozenset(self.engines)
        self.ring = ring.HashRing(self.engines)

    def __len__(self) -> int:
        return len(self.engines)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A routing decision.

    Attributes:
        engine: The chosen engine.
        candidate: The chosen candidate with its expected wait and computation.
        considered: All candidates.
        demand: Demand for the prefix in engine seconds per second.
        preferred_count: Number of preferred engines of the prefix.
    """

    engine: str
    candidate: policies.Candidate
    considered: tuple[policies.Candidate, ...]
    demand: float
    preferred_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchUpdate:
    """A dispatch as reported to the other daemons.

    Attributes:
        engine: The engine that was chosen.
        tokens: Prompt tokens that the engine has to compute.
        block_ids: Ids of the shared prefix blocks.
        sent_at: Time of the dispatch, on this process's monotonic clock.
    """

    engine: str
    tokens: int
    block_ids: tuple[bytes, ...]
    sent_at: float


def make_dispatch_update(
    choice: Choice, chain: prefixes.BlockChain, now: float
) -> DispatchUpdate | None:
    """Returns the update that reports a dispatch, or None if none is needed.

    Most prompts are cached except for their last message. Dispatches of such
    prompts change neither the engine's queue nor its cache by much, so that
    they are not reported.
    """
    if choice.candidate.tokens < prefixes.BLOCK_TOKENS:
        return None
    block_ids = tuple(block.id for block in chain.blocks[: chain.shared_count])
    return DispatchUpdate(
        choice.engine, choice.candidate.tokens, block_ids, now
    )


class Router:
    """Chooses engines and updates its estimates from their responses.

    Args:
        policy: Chooses among the candidates.
        cache_blocks: Initial estimate of the blocks that fit an engine's cache.
        tokens_per_second: Assumed rate at which engines compute prompts.
        seed: Seed for the choice of random candidates.

    Attributes:
        index: The assumed contents of the engines' prefix caches.
        demand: The demand for each prefix.
    """

    def __init__(
        self,
        policy: policies.Policy,
        cache_blocks: int = 512,
        tokens_per_second: float = 20_000.0,
        seed: int = 0,
    ):
        self._policy = policy
        self._tokens_per_second = tokens_per_second
        self._random = random.Random(seed)
        self._views: dict[str, views.EngineView] = {}
        self.index = cache_index.CacheIndex(cache_blocks)
        self.demand = demand_lib.DemandTable(_DEMAND_ENTRIES, _DEMAND_WINDOW_S)
        self._preferred_counts: dict[bytes, int] = {}
        self._assumed_hit_ratio = _INITIAL_HIT_RATIO

    def get_view(self, engine: str) -> views.EngineView:
        """Returns the queue estimate of an engine, created if needed."""
        view = self._views.get(engine)
        if view is None:
            view = views.EngineView(engine, self._tokens_per_second)
            self._views[engine] = view
        return view

    def choose(
        self,
        request: policies.RouteRequest,
        pool: Pool,
        excluded: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Returns the engine to use, or None if all are excluded.

        Args:
            request: The request to route.
            pool: The engines that may serve the request.
            excluded: Ids of engines that must not be chosen.
            now: Current time in seconds.
        """
        chain = request.chain
        demand = self.demand.read(chain.first_id, now)
        preferred_count = self._count_preferred(
            chain.first_id, demand, len(pool)
        )
        ring_engines = pool.ring.walk(
            chain.first_id, preferred_count + len(excluded)
        )
        names = self._list_candidates(chain, pool, excluded, ring_engines)
        if not names:
            return None
        block_ids = [block.id for block in chain.blocks]
        preferred = ring_engines[:preferred_count]
        considered = tuple(
            self._evaluate(name, chain, block_ids, now, name in preferred)
            for name in names
        )
        candidate = self._policy.pick(request, considered)
        return Choice(
            candidate.engine, candidate, considered, demand, preferred_count
        )

    def record_dispatch(
        self, choice: Choice, chain: prefixes.BlockChain, now: float
    ) -> None:
        """Records that a request was sent to the chosen engine."""
        view = self.get_view(choice.engine)
        view.record_dispatch(choice.candidate.tokens, now)
        shared_ids = [block.id for block in chain.blocks[: chain.shared_count]]
        self.index.record_cached(choice.engine, shared_ids)
        self.demand.add(chain.first_id, choice.candidate.compute, now)

    def record_dispatch_update(
        self, update: DispatchUpdate, now: float
    ) -> None:
        """Records a dispatch that another daemon reported."""
        self.get_view(update.engine).record_peer_dispatch(
            update.tokens, update.sent_at, now
        )
        self.index.record_cached(update.engine, update.block_ids)

    def record_response(
        self,
        choice: Choice,
        chain: prefixes.BlockChain,
        cached_tokens: int,
        queued_tokens: int,
        now: float,
    ) -> None:
        """Updates the estimates from the head of an engine's response.

        Args:
            choice: The decision that sent the request to the engine.
            chain: The prefix blocks of the prompt.
            cached_tokens: Prompt tokens that the engine found in its cache.
            queued_tokens: Prompt tokens in the engine's queue.
            now: Current time in seconds.
        """
        self.get_view(choice.engine).record_report(queued_tokens, now)
        shared_ids = [block.id for block in chain.blocks[: chain.shared_count]]
        found = 0
        for block in chain.blocks[: chain.shared_count]:
            cached_tokens -= block.tokens
            if cached_tokens < 0:
                break
            found += 1
        if choice.candidate.is_cache_assumed:
            hit_ratio = found / chain.shared_count
            self._assumed_hit_ratio += _HIT_RATIO_SMOOTHING * (
                hit_ratio - self._assumed_hit_ratio
            )
        expected = min(choice.candidate.cached, chain.shared_count)
        self.index.record_hit_count(choice.engine, shared_ids, expected, found)

    def record_incarnation(self, engine: str, incarnation: str) -> None:
        """Records an incarnation; a changed one drops the cache entries."""
        view = self.get_view(engine)
        if view.incarnation != incarnation:
            if view.incarnation:
                self.index.reset(engine)
            view.incarnation = incarnation

    def forget_engine(self, engine: str) -> None:
        """Drops all state of an engine that was removed."""
        self._views.pop(engine, None)
        self.index.reset(engine)

    def _count_preferred(
        self, first_id: bytes, demand: float, limit: int
    ) -> int:
        """Returns the number of preferred engines that the demand requires.

        The number falls only once the demand is clearly too low for it, so that
        small changes of the demand do not move prefixes back and forth.
        """
        required = 1.0 + demand / _DEMAND_PER_ENGINE
        preferred_count = self._preferred_counts.get(first_id, 1)
        if required >= preferred_count + 1:
            preferred_count = int(required)
        elif required < preferred_count - _ENGINE_COUNT_HYSTERESIS:
            preferred_count = max(1, math.ceil(required))
        preferred_count = max(
            1, min(limit, _MAX_PREFERRED_ENGINES, preferred_count)
        )
        # Only prefixes in high demand have an entry; all others have one
        # preferred engine.
        self._preferred_counts.pop(first_id, None)
        if preferred_count > 1:
            self._preferred_counts[first_id] = preferred_count
        return preferred_count

    def _list_candidates(
        self,
        chain: prefixes.BlockChain,
        pool: Pool,
        excluded: frozenset[str],
        ring_engines: list[str],
    ) -> list[str]:
        """Returns the ids of the candidates, without duplicates.

        If all of them are excluded, the first other engine is returned, if any.
        """
        names: dict[str, None] = {}
        for engine in self._list_holders(chain):
            if engine in pool.members:
                names[engine] = None
        for engine in ring_engines:
            names[engine] = None
        engines = pool.engines
        if len(engines) <= _FULL_SCAN_ENGINES:
            names.update(dict.fromkeys(engines))
        else:
            for _ in range(_RANDOM_CANDIDATES):
                names[engines[self._random.randrange(len(engines))]] = None
        found = [name for name in names if name not in excluded]
        if found:
            return found
        return [name for name in engines if name not in excluded][:1]

    def _list_holders(self, chain: prefixes.BlockChain) -> tuple[str, ...]:
        """Returns engines that probably have the longest prefix cached."""
        for block in reversed(chain.blocks[: chain.shared_count]):
            holders = self.index.list_holders(block.id)
            if holders:
                return holders[:_MAX_HOLDERS]
        return ()

    def _evaluate(
        self,
        name: str,
        chain: prefixes.BlockChain,
        block_ids: list[bytes],
        now: float,
        is_preferred: bool,
    ) -> policies.Candidate:
        """Returns an engine as a candidate, with its expected wait and work."""
        view = self.get_view(name)
        cached = self.index.match(name, block_ids)
        tokens = sum(block.tokens for block in chain.blocks[cached:])
        is_cache_assumed = (
            is_preferred and cached == 0 and chain.shared_count > 0
        )
        if is_cache_assumed and not self.index.is_known(name, block_ids[0]):
            # Other daemons prefer the same engines for the prefix, so that a
            # preferred engine has probably cached it though no daemon has
            # reported it.
            shared_tokens = sum(
                block.tokens for block in chain.blocks[: chain.shared_count]
            )
            tokens -= int(shared_tokens * self._assumed_hit_ratio)
        return policies.Candidate(
            engine=name,
            wait=view.estimate_wait(now),
            compute=view.estimate_compute(tokens),
            cached=cached,
            tokens=tokens,
            is_cache_assumed=is_cache_assumed,
        )
