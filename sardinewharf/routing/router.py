"""Chooses an engine for each request from a few candidates.

The candidates are the engines believed to hold the longest prefix, the
prefix's homes, and a few by chance, so that the cost of a decision does not
grow with the number of engines.
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
_MAX_PREFERRED = 8
_RANDOM_CANDIDATES = 8
# Of so few engines all are considered: by chance, an idle one may be left out.
_FULL_SCAN_ENGINES = 12
_DEMAND_ENTRIES = 4096
_DEMAND_WINDOW_S = 20.0
# Engine seconds a second for each further home, and how far the heat must
# fall below that of a home before it is given up.
_DEMAND_PER_ENGINE = 0.5
_ENGINE_COUNT_HYSTERESIS = 0.5
# Share of a prefix that a home is taken to hold; learned from answers.
_INITIAL_HIT_RATIO = 0.0
_HIT_RATIO_SMOOTHING = 0.1


class Pool:
    """The engines that may serve a model or adapter, never changed.

    Args:
        engines: Their ids.
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
        candidate: Why: its expected wait and recomputation.
        considered: All candidates.
        demand: Engine seconds a second that the prefix asks for.
        preferred_count: Number of home engines of the prefix.
    """

    engine: str
    candidate: policies.Candidate
    considered: tuple[policies.Candidate, ...]
    demand: float
    preferred_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchUpdate:
    """What a daemon tells others of a dispatch.

    Attributes:
        engine: The engine that was chosen.
        tokens: Prompt tokens that it has to compute.
        block_ids: Ids of the shared pieces.
        sent_at: When it was sent, on this process's clock.
    """

    engine: str
    tokens: int
    block_ids: tuple[bytes, ...]
    sent_at: float


def make_dispatch_update(
    choice: Choice, chain: prefixes.BlockChain, now: float
) -> DispatchUpdate | None:
    """Returns what others should know of a dispatch, or None.

    A prompt that is cached but for its question changes neither queue nor
    cache by much, and these are nearly all.
    """
    if choice.candidate.tokens < prefixes.BLOCK_TOKENS:
        return None
    block_ids = tuple(block.id for block in chain.blocks[: chain.shared_count])
    return DispatchUpdate(
        choice.engine, choice.candidate.tokens, block_ids, now
    )


class Router:
    """Chooses engines and learns from their answers.

    Args:
        policy: How candidates are weighed.
        cache_blocks: Number of pieces believed to fit an engine at first.
        tokens_per_second: Believed rate at which engines compute prompts.
        seed: Seed of the random candidates.
    """

    def __init__(
        self,
        policy: policies.Policy,
        cache_blocks: int = 512,
        tokens_per_second: float = 20_000.0,
        seed: int = 0,
    ):
        self._policy = policy
        self._rate = tokens_per_second
        self._random = random.Random(seed)
        self._views: dict[str, views.EngineView] = {}
        self.index = cache_index.CacheIndex(cache_blocks)
        self.demand = demand_lib.DemandTable(_DEMAND_ENTRIES, _DEMAND_WINDOW_S)
        self._preferred_counts: dict[bytes, int] = {}
        self._assumed_hit_ratio = _INITIAL_HIT_RATIO

    def get_view(self, engine: str) -> views.EngineView:
        """Returns the view of an engine."""
        view = self._views.get(engine)
        if view is None:
            view = views.EngineView(engine, self._rate)
            self._views[engine] = view
        return view

    def choose(
        self,
        request: policies.RouteRequest,
        pool: Pool,
        excluded: frozenset[str],
        now: float,
    ) -> Choice | None:
        """Returns the engine to use, or None if all are excluded."""
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
        """Notes that a request was sent to the chosen engine."""
        view = self.get_view(choice.engine)
        view.record_dispatch(choice.candidate.tokens, now)
        shared_ids = [block.id for block in chain.blocks[: chain.shared_count]]
        self.index.record_cached(choice.engine, shared_ids)
        self.demand.add(chain.first_id, choice.candidate.compute, now)

    def record_dispatch_update(
        self, update: DispatchUpdate, now: float
    ) -> None:
        """Takes in what another daemon sent."""
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
        """Learns from what an engine said before its first chunk."""
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
        """Forgets an engine's cache when it has started anew."""
        view = self.get_view(engine)
        if view.incarnation != incarnation:
            if view.incarnation:
                self.index.reset(engine)
            view.incarnation = incarnation

    def forget_engine(self, engine: str) -> None:
        """Forgets everything about an engine that is gone."""
        self._views.pop(engine, None)
        self.index.reset(engine)

    def _count_preferred(
        self, first_id: bytes, demand: float, limit: int
    ) -> int:
        wanted = 1.0 + demand / _DEMAND_PER_ENGINE
        preferred_count = self._preferred_counts.get(first_id, 1)
        if wanted >= preferred_count + 1:
            preferred_count = int(wanted)
        elif wanted < preferred_count - _ENGINE_COUNT_HYSTERESIS:
            preferred_count = max(1, math.ceil(wanted))
        preferred_count = max(1, min(limit, _MAX_PREFERRED, preferred_count))
        # Only hot prefixes are remembered; all others have one home.
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
        view = self.get_view(name)
        cached = self.index.match(name, block_ids)
        tokens = sum(block.tokens for block in chain.blocks[cached:])
        is_cache_assumed = (
            is_preferred and cached == 0 and chain.shared_count > 0
        )
        if is_cache_assumed and not self.index.is_known(name, block_ids[0]):
            # Other daemons send the prefix to the same homes, so that a home
            # is likely to hold it though none of them said so.
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
