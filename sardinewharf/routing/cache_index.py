"""Tracks which prefix blocks each engine is likely to have cached.

The index is updated from three sources: the dispatches of this and other
daemons, the number of cached tokens in each response, and the cache events of
those engines whose events this daemon reads.

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
    """The assumed contents of one engine's cache.

    Attributes:
        blocks: Maps block ids to whether the block is cached, least recently
            used first. Evicted blocks stay in the map as not cached, because
            they imply that no later block of the same prompt is cached.
        capacity: Estimated number of blocks that fit the cache.
    """

    def __init__(self, capacity: int):
        self.blocks: collections.OrderedDict[bytes, bool] = (
            collections.OrderedDict()
        )
        self.capacity = capacity


class CacheIndex:
    """The assumed contents of the engines' prefix caches.

    Args:
        capacity: Initial estimate of the blocks that fit an engine's cache,
            which is also the upper limit of the estimate.
    """

    # The capacity of an engine is estimated from its responses: the estimate
    # shrinks by this factor when fewer blocks were cached than expected, and
    # grows by one block otherwise.
    _CAPACITY_SHRINK_FACTOR = 0.97
    _MIN_CAPACITY_BLOCKS = 8

    def __init__(self, capacity: int):
        self._capacity = capacity
        self._engines: dict[str, _EngineCache] = {}
        self._holders: dict[bytes, tuple[str, ...]] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def match(self, engine: str, block_ids: Sequence[bytes]) -> int:
        """Returns how many leading blocks an engine has probably cached.

        Engines evict the last block of a prefix first. A cached block
        therefore implies that all blocks before it are cached, even if their
        events were lost, and an evicted block implies that no block after it
        is cached.
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
        """Returns whether the index has an entry for a block at an engine.

        The entry may say that the block is cached or that it is not.
        """
        cache = self._engines.get(engine)
        return cache is not None and block_id in cache.blocks

    def list_holders(self, block_id: bytes) -> tuple[str, ...]:
        """Returns the engines that have probably cached a block."""
        return self._holders.get(block_id, ())

    def record_cached(self, engine: str, block_ids: Sequence[bytes]) -> None:
        """Records that an engine used or stored these leading blocks."""
        cache = self._engines.setdefault(engine, _EngineCache(self._capacity))
        known = cache.blocks
        # The last block of a prefix is to be evicted first, as engines do it.
        for block_id in reversed(block_ids):
            if not known.get(block_id):
                holders = self._holders.get(block_id, ())
                self._holders[block_id] = (*holders, engine)
            known[block_id] = True
            known.move_to_end(block_id)
        self._trim(engine, cache)

    def record_evicted(self, engine: str, block_id: bytes) -> None:
        """Records that an engine does not have a block in its cache."""
        cache = self._engines.setdefault(engine, _EngineCache(self._capacity))
        if cache.blocks.get(block_id):
            self._remove_holder(engine, block_id)
        cache.blocks[block_id] = False
        self._trim(engine, cache)

    def record_hit_count(
        self, engine: str, block_ids: Sequence[bytes], expected: int, found: int
    ) -> None:
        """Adjusts the estimates to the cache hits that a response reported.

        Args:
            engine: The engine that responded.
            block_ids: Ids of the shared blocks of the prompt, which the engine
                has cached by now.
            expected: Number of blocks assumed to be cached at dispatch.
            found: Number of blocks that were cached.
        """
        cache = self._engines.setdefault(engine, _EngineCache(self._capacity))
        if found < expected:
            smaller = int(cache.capacity * self._CAPACITY_SHRINK_FACTOR)
            cache.capacity = max(self._MIN_CAPACITY_BLOCKS, smaller)
        else:
            cache.capacity = min(self._capacity, cache.capacity + 1)
        self.record_cached(engine, block_ids)

    def drop_older_half(self, engine: str) -> None:
        """Drops the least recently used half of an engine's entries.

        Called after a gap in the engine's cache events, any of which may have
        been an eviction.
        """
        cache = self._engines.get(engine)
        if cache is None:
            return
        self._pop_oldest(engine, cache, len(cache.blocks) // 2)

    def reset(self, engine: str) -> None:
        """Drops all entries of an engine."""
        cache = self._engines.pop(engine, None)
        if cache is not None:
            self._pop_oldest(engine, cache, len(cache.blocks))

    def _trim(self, engine: str, cache: _EngineCache) -> None:
        """Drops the least recently used entries beyond the capacity."""
        excess = len(cache.blocks) - cache.capacity
        self._pop_oldest(engine, cache, excess)

    def _pop_oldest(self, engine: str, cache: _EngineCache, count: int) -> None:
        """Drops the ``count`` least recently used entries."""
        for _ in range(count):
            oldest, held = cache.blocks.popitem(last=False)
            if held:
                self._remove_holder(engine, oldest)

    def _remove_holder(self, engine: str, block_id: bytes) -> None:
        remaining = tuple(e for e in self._holders[block_id] if e != engine)
        if remaining:
            self._holders[block_id] = remaining
        else:
            del self._holders[block_id]
