"""Remembers which engine is likely to hold which prefix piece.

Three sources feed it: this daemon's own dispatches, the cached-token figure
on each response, and an engine's cache events where they are read.

Examples:
    >>> index = CacheIndex(capacity=4)
    >>> index.record_cached("e1", (b"a", b"b"))
    >>> index.match("e1", (b"a", b"b", b"c"))
    2
    >>> index.list_holders(b"b")
    ('e1',)
    >>> index.reset("e1")
    >>> index.match("e1", (b"a", b"b"))
    0
"""

import collections
from collections.abc import Sequence


class _EngineCache:
    """What is believed of one engine's cache, oldest first.

    A piece maps to whether it is held; one known to be gone is kept as such,
    since it tells that nothing deeper is held either.
    """

    def __init__(self, capacity: int):
        self.blocks: collections.OrderedDict[bytes, bool] = (
            collections.OrderedDict()
        )
        self.capacity = capacity


class CacheIndex:
    """Believed contents of the engines' prefix caches.

    Args:
        capacity: Number of pieces believed to fit an engine at first.
    """

    # An engine's true capacity is learned from its answers: a piece believed
    # cached that was not shrinks the belief, a confirmed one lets it grow.
    _SHRINK = 0.97
    _MIN_CAPACITY = 8

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._engines: dict[str, _EngineCache] = {}
        self._holders: dict[bytes, tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def match(self, engine: str, block_ids: Sequence[bytes]) -> int:
        """Returns how many leading pieces an engine is believed to hold.

        Engines give up the deepest piece of a prefix first. A held piece
        therefore vouches for those before it whose events were lost, and a
        piece that is gone speaks against those after it.
        """
        cache = self._engines.get(engine)
        if cache is None:
            return 0
        known = cache.blocks
        count = 0
        for number, block_id in enumerate(block_ids, 1):
            held = known.get(block_id)
            if held:
                count = number
            elif held is False:
                break
        return count

    def is_known(self, engine: str, block_id: bytes) -> bool:
        """Returns whether it is known if an engine holds a piece."""
        cache = self._engines.get(engine)
        return cache is not None and block_id in cache.blocks

    def list_holders(self, block_id: bytes) -> tuple[str, ...]:
        """Returns the engines believed to hold a piece."""
        return self._holders.get(block_id, ())

    def record_cached(self, engine: str, block_ids: Sequence[bytes]) -> None:
        """Notes that an engine used or stored these leading pieces."""
        cache = self._engines.setdefault(engine, _EngineCache(self._capacity))
        held = cache.blocks
        for block_id in reversed(block_ids):
            if not held.get(block_id):
                holders = self._holders.get(block_id, ())
                self._holders[block_id] = (*holders, engine)
            held[block_id] = True
            held.move_to_end(block_id)
        self._trim(engine, cache)

    def record_evicted(self, engine: str, block_id: bytes) -> None:
        """Notes that an engine does not hold a piece."""
        cache = self._engines.setdefault(engine, _EngineCache(self._capacity))
        if cache.blocks.get(block_id):
            self._drop(engine, block_id)
        cache.blocks[block_id] = False
        self._trim(engine, cache)

    def record_hit_count(
        self, engine: str, block_ids: Sequence[bytes], expected: int, found: int
    ) -> None:
        """Learns from an answer that tells how many pieces were cached.

        Args:
            engine: The engine that answered.
            block_ids: Ids of the shared blocks of the prompt.
            expected: Number of pieces believed cached at dispatch.
            found: Number of pieces that were cached.
        """
        cache = self._engines.setdefault(engine, _EngineCache(self._capacity))
        if found < expected:
            smaller = int(cache.capacity * self._SHRINK)
            cache.capacity = max(self._MIN_CAPACITY, smaller)
        else:
            cache.capacity = min(self._capacity, cache.capacity + 1)
        self.record_cached(engine, block_ids)

    def drop_older_half(self, engine: str) -> None:
        """Drops the older half of what is believed, after a gap in events."""
        cache = self._engines.get(engine)
        if cache is None:
            return
        self._pop_oldest(engine, cache, len(cache.blocks) // 2)

    def reset(self, engine: str) -> None:
        """Forgets everything about an engine."""
        cache = self._engines.pop(engine, None)
        if cache is not None:
            self._pop_oldest(engine, cache, len(cache.blocks))

    def _trim(self, engine: str, cache: _EngineCache) -> None:
        excess = len(cache.blocks) - cache.capacity
        self._pop_oldest(engine, cache, excess)

    def _pop_oldest(self, engine: str, cache: _EngineCache, count: int) -> None:
        for _ in range(count):
            oldest, held = cache.blocks.popitem(last=False)
            if held:
                self._drop(engine, oldest)

    def _drop(self, engine: str, block_id: bytes) -> None:
        left = tuple(e for e in self._holders[block_id] if e != engine)
        if left:
            self._holders[block_id] = left
        else:
            del self._holders[block_id]
