"""Models an engine's queue and cache in simulated time.

Examples:
    >>> engine = QueuedEngine("e1", capacity=8, tokens_per_second=1000.0)
    >>> salt = routing.make_salt("o", "m", "w")
    >>> chain = routing.build_block_chain(salt, [b"x"] * 3)
    >>> engine.submit(chain, now=0.0).computed_tokens
    3
    >>> engine.submit(chain, now=1.0).computed_tokens
    1
"""

import dataclasses

from sardinewharf import routing
from sardinewharf.standins import engine_model


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillResult:
    """What became of a submitted prompt.

    Attributes:
        starts_at: When its computation begins, in seconds.
        first_token_at: When the first token comes.
        cached_tokens: Prompt tokens found in the cache.
        computed_tokens: Prompt tokens computed.
        stored: Pieces that the cache took up.
        evicted: Pieces that it gave up.
    """

    starts_at: float
    first_token_at: float
    cached_tokens: int
    computed_tokens: int
    stored: tuple[bytes, ...]
    evicted: tuple[bytes, ...]


class QueuedEngine:
    """An engine that computes prompts one after another.

    Args:
        name: The engine's id.
        capacity: Number of pieces that fit its cache.
        tokens_per_second: Rate at which it computes prompts.
    """

    def __init__(self, name: str, capacity: int, tokens_per_second: float):
        self.name = name
        self.cache = engine_model.PrefixCache(capacity)
        self._rate = tokens_per_second
        self._free_at = 0.0
        self.busy_seconds = 0.0

    def submit(self, chain: routing.BlockChain, now: float) -> PrefillResult:
        """Queues a prompt.

        The cache is looked up on arrival: what stands before a prompt in the
        queue is in the cache by the time it is computed.
        """
        block_ids = [block.id for block in chain.blocks]
        matched = self.cache.match(block_ids)
        cached = sum(block.tokens for block in chain.blocks[:matched])
        computed = chain.tokens - cached
        starts_at = max(now, self._free_at)
        first_token_at = starts_at + computed / self._rate
        self._free_at = first_token_at
        self.busy_seconds += first_token_at - starts_at
        stored, evicted = self.cache.insert(block_ids[: chain.shared_count])
        return PrefillResult(
            starts_at,
            first_token_at,
            cached,
            computed,
            tuple(stored),
            tuple(evicted),
        )

    def read_wait(self, now: float) -> float:
        """Returns the seconds until a new prompt would be begun."""
        return max(0.0, self._free_at - now)

    def read_queued_tokens(self, now: float) -> float:
        """Returns the tokens that are still to be computed."""
        return self.read_wait(now) * self._rate

    def restart(self, now: float, down_seconds: float) -> None:
        """Loses the cache, and is away for a while."""
        self.cache.clear()
        self._free_at = now + down_seconds
