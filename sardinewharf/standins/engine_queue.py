"""Models an engine's prefill queue and prefix cache in simulated time.

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
    """When a submitted prompt is prefilled, and what that does to the cache.

    Attributes:
        starts_at: When the prefill starts, in seconds of simulated time.
        first_token_at: When the prefill ends and the first token is ready.
        cached_tokens: Prompt tokens found in the prefix cache.
        computed_tokens: Prompt tokens to prefill.
        stored: Ids of the blocks added to the cache.
        evicted: Ids of the blocks evicted from the cache.
    """

    starts_at: float
    first_token_at: float
    cached_tokens: int
    computed_tokens: int
    stored: tuple[bytes, ...]
    evicted: tuple[bytes, ...]


class QueuedEngine:
    """An engine that prefills prompts one after another.

    Args:
        name: The engine's id.
        capacity: Maximum number of blocks in its prefix cache.
        tokens_per_second: Prompt tokens prefilled per second.

    Attributes:
        name: The engine's id.
        cache: Its prefix cache.
        busy_seconds: Total time spent on prefills.
    """

    def __init__(self, name: str, capacity: int, tokens_per_second: float):
        self.name = name
        self.cache = engine_model.PrefixCache(capacity)
        self._rate = tokens_per_second
        self._free_at = 0.0
        self.busy_seconds = 0.0

    def submit(self, chain: routing.BlockChain, now: float) -> PrefillResult:
        """Queues a prompt and returns the outcome of its prefill.

        The cache is looked up and updated on arrival: prompts queued earlier
        are in the cache by the time this one is prefilled.
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
        """Returns the seconds that a new prompt would wait for its prefill."""
        return max(0.0, self._free_at - now)

    def read_queued_tokens(self, now: float) -> float:
        """Returns the number of queued tokens that are not yet prefilled."""
        return self.read_wait(now) * self._rate

    def restart(self, now: float, down_seconds: float) -> None:
        """Clears the cache; the engine is unavailable for ``down_seconds``."""
        self.cache.clear()
        self._free_at = now + down_seconds
