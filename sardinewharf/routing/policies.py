"""Weighs candidate engines against each other.

Each policy overrides the one hook ``Policy.pick``.
"""

import abc
from collections.abc import Sequence
import dataclasses
import random

import xxhash

from sardinewharf.routing import prefixes


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What a policy needs to know of a request.

    Attributes:
        chain: The prompt's pieces.
        first_token_weight: The intent's weight of the first token's time.
        recompute_weight: The intent's weight of recomputed tokens.
    """

    chain: prefixes.BlockChain
    first_token_weight: float = 1.0
    recompute_weight: float = 1.0


@dataclasses.dataclass(slots=True)
class Candidate:
    """An engine that could take the request.

    Attributes:
        engine: Its id.
        wait: Expected seconds in its queue.
        compute: Expected seconds to compute what is not cached.
        cached: Number of leading pieces believed cached.
        tokens: Number of tokens to compute.
        is_cache_assumed: Whether a part of the prompt is assumed cached though
            no dispatch or event reported it.
        cost: What the policy made of it, in seconds.
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
        """Returns the candidate to use; there is at least one."""


class RandomPolicy(Policy):
    """Chooses by chance."""

    def __init__(self, seed: int = 0):
        self._random = random.Random(seed)

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns any candidate."""
        return self._random.choice(candidates)


class RoundRobinPolicy(Policy):
    """Chooses each in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastLoadedPolicy(Policy):
    """Chooses the shortest expected queue."""

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the candidate with the shortest wait."""
        return min(candidates, key=lambda c: (c.wait, c.engine))


class RendezvousPolicy(Policy):
    """Chooses by the hash of the longest shared prefix alone.

    References:
        Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
        Rates", IEEE/ACM Transactions on Networking 6 (1), 1998.
    """

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the candidate with the highest hash."""
        last_shared_id = request.chain.last_shared_id

        def score(candidate: Candidate) -> int:
            return xxhash.xxh3_64_intdigest(
                last_shared_id + candidate.engine.encode()
            )

        return max(candidates, key=score)


class CostPolicy(Policy):
    """Chooses the lowest sum of wait and priced recomputation.

    Args:
        price: Weight of a second of recomputation against one of waiting.
            Recomputation delays others and evicts what they would have hit,
            so that it costs more than its own time.

    Examples:
        >>> near = Candidate("e1", wait=0.5, compute=0.0, cached=2, tokens=0)
        >>> idle = Candidate("e2", wait=0.0, compute=0.4, cached=0, tokens=9)
        >>> chain = prefixes.build_block_chain("00" * 16, [b"x"])
        >>> CostPolicy(1.0).pick(RouteRequest(chain), [near, idle]).engine
        'e2'
        >>> CostPolicy(2.0).pick(RouteRequest(chain), [near, idle]).engine
        'e1'
    """

    def __init__(self, price: float):
        self._price = price

    def pick(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Returns the cheapest candidate."""
        price = self.find_price(request, candidates)
        for candidate in candidates:
            candidate.cost = candidate.wait + price * candidate.compute
        return min(candidates, key=lambda c: (c.cost, -c.cached))

    def find_price(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> float:
        """Returns the price of a second of recomputation."""
        return self._price


class AdaptivePolicy(CostPolicy):
    """Prices recomputation by how busy the engines are and by the intent.

    With idle engines a recomputed token delays nobody else, so that its price
    is 1. As queues grow, it takes capacity from all that wait.
    """

    _LOWEST = 1.0
    _HIGHEST = 6.0
    # Queue at which the price is half way up.
    _HALF_WAIT_S = 0.2

    def __init__(self) -> None:
        super().__init__(self._LOWEST)

    def find_price(
        self, request: RouteRequest, candidates: Sequence[Candidate]
    ) -> float:
        """Returns the price of a second of recomputation."""
        wait = sum(c.wait for c in candidates) / len(candidates)
        busy = wait / (wait + self._HALF_WAIT_S)
        price = self._LOWEST + (self._HIGHEST - self._LOWEST) * busy
        weight_ratio = request.recompute_weight / request.first_token_weight
        return max(self._LOWEST, price * weight_ratio**0.5)
