"""Models a model engine: its prefix cache, its costs and its answers.

The same model drives the stand-in engine in real time and the routing bench
in simulated time.

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
    """How long an engine takes.

    Attributes:
        prefill_tokens_per_second: Rate at which a prompt is computed.
        decode_seconds: Time between tokens with one running stream.
        decode_slowdown: Share by which each further stream slows decoding.
        import_tokens_per_second: Rate at which kept cache is imported.
        load_seconds: Time to load new weights.
    """

    prefill_tokens_per_second: float = 20_000.0
    decode_seconds: float = 0.010
    decode_slowdown: float = 0.02
    import_tokens_per_second: float = 200_000.0
    load_seconds: float = 1.0

    def prefill(self, tokens: float) -> float:
        """Returns the seconds that computing ``tokens`` takes."""
        return tokens / self.prefill_tokens_per_second

    def decode(self, running: int) -> float:
        """Returns the seconds between tokens with ``running`` streams."""
        return self.decode_seconds * (1 + self.decode_slowdown * (running - 1))


class PrefixCache:
    """A prefix cache that evicts the piece used least recently.

    Args:
        capacity: Number of pieces that fit.
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
        """Returns how many leading pieces are cached, and uses them."""
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
        """Caches ``blocks`` and returns those added and those evicted."""
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
        """Forgets all pieces."""
        self._blocks.clear()


def generate_text(prompt: bytes, weights: str, start: int, end: int) -> str:
    """Returns tokens ``start`` to ``end`` of the answer to ``prompt``.

    The answer depends on nothing else, so that a test can tell whether a
    stream was whole.

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
