"""Simulates an engine's prefill queue and prefix cache.

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
    """The result of a submitted prompt; times are simulated, in seconds.

    Attributes:
        starts_at: When its prefill starts.
        first_token_at: When its prefill ends and the first token is sent.
        cached_tokens: Prompt tokens found in the cache.
        computed_tokens: Prompt tokens that had to be computed.
        stored: Ids of the blocks added to the cache.
        evicted: Ids of the blocks evicted from it.
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
        capacity: Capacity of its prefix cache in blocks.
        tokens_per_second: Its prefill rate.

    Attributes:
        name: The engine's id.
        cache: Its prefix cache.
        busy_seconds: Total prefill time of all submitted prompts.
    """

    def __init__(self, name: str, capacity: int, tokens_per_second: float):
        self.name = name
        self.cache = engine_model.PrefixCache(capacity)
        self._rate = tokens_per_second
        self._free_at = 0.0
        self.busy_seconds = 0.0

    def submit(self, chain: routing.BlockChain, now: float) -> PrefillResult:
        """Queues a prompt that arrives at ``now`` and returns its result.

        The cache is matched on arrival, since the prompts that are queued
        before it are in the cache by the time its prefill starts.
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
        """Returns the number of queued prompt tokens not yet computed."""
        return self.read_wait(now) * self._rate

    def restart(self, now: float, down_seconds: float) -> None:
        """Empties the cache and the queue; ``down_seconds`` delay new prompts.

        Results that were already returned stay as they are.
        """
        self.cache.clear()
        self._free_at = now + down_seconds
