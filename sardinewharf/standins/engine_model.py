"""Models an inference engine: its prefix cache, timing and generated text.

The engine test double uses the model in real time, and the routing benchmark
uses the prefix cache in simulated time.

Examples:
    >>> cache = PrefixCache(capacity=2)
    >>> cache.insert(("a", "b"))
    (['a', 'b'], [])
    >>> cache.match(("a", "b", "c"))
    2
"""

import collections
from collections.abc import Hashable
from collections.abc import Sequence
import dataclasses

import xxhash

_WORDS = ("ink", "press", "label", "sleeve", "yard", "track", "stone", "proof")


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCosts:
    """How long the operations of an engine take.

    Attributes:
        prefill_tokens_per_second: Prompt tokens prefilled per second.
        decode_seconds: Time between tokens with one running stream.
        decode_slowdown: Fraction of ``decode_seconds`` that each further
            running stream adds.
        import_tokens_per_second: Rate at which stored KV cache is imported.
        load_seconds: Time to load new weights.
    """

    prefill_tokens_per_second: float = 20_000.0
    decode_seconds: float = 0.010
    decode_slowdown: float = 0.02
    import_tokens_per_second: float = 200_000.0
    load_seconds: float = 1.0

    def prefill(self, tokens: float) -> float:
        """Returns how long the prefill of ``tokens`` takes, in seconds."""
        return tokens / self.prefill_tokens_per_second

    def decode(self, running: int) -> float:
        """Returns the seconds between tokens if ``running`` streams run."""
        return self.decode_seconds * (1 + self.decode_slowdown * (running - 1))


class PrefixCache:
    """A prefix cache that evicts the least recently used block.

    Args:
        capacity: Maximum number of blocks.
    """

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._blocks: collections.OrderedDict[Hashable, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, block: Hashable) -> bool:
        return block in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, blocks: Sequence[Hashable]) -> int:
        """Returns how many leading blocks are cached, and marks them used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def insert(
        self, blocks: Sequence[Hashable]
    ) -> tuple[list[Hashable], list[Hashable]]:
        """Caches blocks.

        The blocks are marked used from the last to the first, so that the end
        of a prefix is evicted before its start.

        Returns:
            The blocks that were not cached before, and those evicted.
        """
        added = []
        for block in reversed(blocks):
            if block not in self._blocks:
                added.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        added.reverse()
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        return added, evicted

    def clear(self) -> None:
        """Removes all blocks."""
        self._blocks.clear()


def generate_text(prompt: bytes, weights: str, start: int, end: int) -> str:
    """Returns the generated tokens ``start`` to ``end`` for a prompt.

    The text depends on the prompt and the weights version only, so that a
    test can compute it and tell whether a stream is complete.

    Examples:
        >>> whole = generate_text(b"p", "w1", 0, 4)
        >>> generate_text(b"p", "w1", 0, 2) + generate_text(b"p", "w1", 2, 4)
        ... # doctest: +ELLIPSIS
        '...'
        >>> len(whole.split())
        4
    """
    seed = xxhash.xxh3_64_intdigest(prompt + weights.encode())
    words = []
    for index in range(start, end):
        digest = xxhash.xxh3_64_intdigest(index.to_bytes(4, "big"), seed=seed)
        words.append(f"{_WORDS[digest % len(_WORDS)]}{digest % 997} ")
    return "".join(words)
