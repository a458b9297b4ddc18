"""Implements the policies that choose among candidate engines.

Each policy implements ``Policy.pick``.
"""

import abc
from collections.abc import Sequence
import dataclasses
import random

import xxhash

from sardinewharf.routing import prefixes


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """The properties of a request that a policy takes into account.

    Attributes:
        chain: The prefix blocks of the prompt.
        first_token_weight: Configured weight of the time to first token.
        recompute_weight: Configured weight of recomputed prompt tokens.
    """

    chain: prefixes.BlockChain
    first_token_weight: float = 1.0
    recompute_weight: float = 1.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """An engine that could take the request.

    Attributes:
        engine: The engine's id.
        wait: Expected seconds in the engine's queue.
        compute: Expected seconds to compute the tokens that are not cached.
        cached: Number of leading prefix blocks that are probably cached.
        tokens: Expected number of prompt tokens to compute.
        is_cache_assumed: Whether this is a preferred engine of the prefix
            although the cache index lists no block of the prompt as cached
            there. Its response then updates the assumed hit ratio.
        cost: Cost that the policy computed, in seconds.
    """

    engine: str
    wait: float
    compute: float
    cached: int
    tokens: int
    is_cache_assumed: bool = False
    cost: float = 0.0


class Policy(abc.ABC):
    """Chooses one of several candidates."""

    @abc.abstractmethod
    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the candidate to use.

        Args:
            request: The request to route.
            candidates: The engines to choose from, at least one.
        """


class RandomPolicy(Policy):
    """Chooses a random candidate."""

    def __init__(self, seed: int = 0):
        self._random = random.Random(seed)

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns a random candidate."""
        return self._random.choice(candidates)


class RoundRobinPolicy(Policy):
    """Chooses the candidates in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the next candidate in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastLoadedPolicy(Policy):
    """Chooses the engine with the shortest expected queue."""

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the candidate with the shortest wait."""
        return min(candidates, key=lambda c: (c.wait, c.engine))


class RendezvousPolicy(Policy):
    """Chooses by rendezvous hashing of the longest shared prefix alone.

    References:
        Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
        Rates", IEEE/ACM Transactions on Networking 6 (1), 1998.
    """

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the candidate with the highest hash for the prefix."""
        last_shared_id = request.chain.last_shared_id

        def score(candidate: Candidate) -> int:
            return xxhash.xxh3_64_intdigest(
                last_shared_id + candidate.engine.encode()
            )

        return max(candidates, key=score)


class CostPolicy(Policy):
    """Chooses the lowest sum of waiting and weighted recomputation time.

    Args:
        price: Weight of a second of recomputation against one of waiting.
            Recomputation delays other requests and evicts blocks that they
            would have hit, so that it costs more than its own time.

    Examples:
        >>> warm = Candidate("e1", wait=0.5, compute=0.0, cached=2, tokens=0)
        >>> idle = Candidate("e2", wait=0.0, compute=0.4, cached=0, tokens=9)
        >>> chain = prefixes.build_block_chain("00" * 16, [b"x"])
        >>> CostPolicy(1.0).pick(RouteRequest(chain), [warm, idle]).engine
        'e2'
        >>> CostPolicy(2.0).pick(RouteRequest(chain), [warm, idle]).engine
        'e1'
    """

    def __init__(self, price: float):
        self._price = price

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the candidate with the lowest cost."""
        price = self.find_price(request, candidates)
        for candidate in candidates:
            candidate.cost = candidate.wait + price * candidate.compute
        return min(candidates, key=lambda c: (c.cost, -c.cached))

    def find_price(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> float:
        """Returns the weight of recomputation time against waiting time."""
        return self._price


class AdaptivePolicy(CostPolicy):
    """Sets the price of recomputation by load and by the request's weights.

    While the engines are idle, recomputation delays no other request, so that
    its price is 1. As queues grow, recomputation takes capacity from every
    queued request, and the price rises.
    """

    _MIN_PRICE = 1.0
    _MAX_PRICE = 6.0
    # Mean wait at which the price is halfway between minimum and maximum.
    _HALF_WAIT_S = 0.2

    def __init__(self) -> None:
        super().__init__(self._MIN_PRICE)

    def find_price(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> float:
        """Returns the weight of recomputation time against waiting time."""
        mean_wait = sum(c.wait for c in candidates) / len(candidates)
        busy_share = mean_wait / (mean_wait + self._HALF_WAIT_S)
        price = (
            self._MIN_PRICE + (self._MAX_PRICE - self._MIN_PRICE) * busy_share
        )
        weight_ratio = request.recompute_weight / request.first_token_weight
        return max(self._MIN_PRICE, price * weight_ratio**0.5)
