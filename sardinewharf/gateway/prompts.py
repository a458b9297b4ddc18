"""Tracks where shared prompts are cached, and which are being prefilled.

Cache stores report what they hold. What engines have cached is assumed from
the requests that this gateway and its peers sent to them.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses

import xxhash

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf.gateway import cache_stores
from sardinewharf.gateway import messages

# Shorter shared prompts are not worth fetching or saving.
MIN_SHARED_TOKENS = 512
# Share of an engine's KV cache memory that is assumed to hold shared prompts.
_CACHE_MEMORY_SHARE = 0.5
# How long a use of a prompt is reported to peers, in seconds, and how many uses
# are reported at most.
_USE_BROADCAST_S = 0.8
_MAX_BROADCAST_USES = 24
# Number of recently used prompts that are remembered.
_MAX_RECENT_PROMPTS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class CacheUse:
    """Records that an engine used a shared prompt, and so has it cached.

    Attributes:
        key: Key of the prompt, from ``make_key``.
        incarnation: Incarnation of the engine.
        tokens: Tokens of the prompt.
        at: When it was used, on the monotonic clock.
    """

    key: int
    incarnation: str
    tokens: int
    at: float


class PrefillHandle:
    """Reports to a prompt table how the prefill of one request ended.

    Only the first call of ``succeed`` or ``fail`` has an effect.

    Args:
        table: The table to report to.
        use: The use to record on success; None if the request has no long
            shared prompt.
        needs_prefill: Whether the engine has to prefill the shared prompt.
    """

    def __init__(
        self,
        table: "PromptTable",
        use: CacheUse | None,
        needs_prefill: bool,
    ):
        self._table = table
        self._use = use
        self._needs_prefill = needs_prefill

    def succeed(self) -> None:
        """Records that the engine has prefilled the prompt."""
        use, self._use = self._use, None
        if use is not None:
            self._table.finish(use, self._needs_prefill, is_cached=True)

    def fail(self) -> None:
        """Records that the engine may not have prefilled the prompt."""
        use, self._use = self._use, None
        if use is not None:
            self._table.finish(use, self._needs_prefill, is_cached=False)


class PromptTable:
    """Table of where shared prompts are cached and being prefilled.

    Args:
        schedule_broadcast: Called after a change that peers should receive
            without waiting for the next regular message.

    Attributes:
        stores: Indexes of what the cache stores hold.
    """

    def __init__(self, schedule_broadcast: Callable[[], None]):
        self._schedule_broadcast = schedule_broadcast
        self._prefix_cache = balancing.PrefixCacheIndex(0)
        self._prefills = balancing.PrefillTable()
        self._own_uses: list[CacheUse] = []
        self._recently_used: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        # Set when a prefill may have ended, for the requests that wait for it.
        self._changed = asyncio.Event()
        self.stores = cache_stores.CacheStoreTable()

    def set_capacity(self, tokens: int) -> None:
        """Sets the KV cache memory of each engine, in tokens."""
        self._prefix_cache.capacity_tokens = int(tokens * _CACHE_MEMORY_SHARE)

    def locate(
        self,
        key: int,
        is_stored: bool,
        incarnation: str,
        incarnations: list[str],
    ) -> balancing.PrefixSource:
        """Returns whether an engine has a prompt cached, or how it gets it.

        Args:
            key: Key of the prompt; 0 if it has none.
            is_stored: Whether a cache store is assumed to hold the prompt.
            incarnation: The engine's incarnation.
            incarnations: Incarnations of the engines that it could fetch from;
                its own may be among them.
        """
        if not key or self._prefix_cache.holds(incarnation, key):
            return balancing.PrefixSource.CACHED
        prefill_engine = self._prefills.find_prefill_engine(
            key, clocks.read_monotonic()
        )
        if prefill_engine == incarnation:
            # The prefill that runs there ends before this request's begins.
            return balancing.PrefixSource.CACHED
        if is_stored:
            return balancing.PrefixSource.FETCHED
        if self._prefix_cache.find_most_recent(key, incarnations) is not None:
            return balancing.PrefixSource.FETCHED
        return balancing.PrefixSource.COMPUTED

    def is_stored(
        self,
        key: int,
        scope: str,
        prompt: messages.Prompt,
        store: cache_stores.CacheStoreIndex | None,
    ) -> bool:
        """Returns whether a cache store is assumed to hold a shared prompt.

        A gateway that does not watch the store assumes it of every prompt whose
        use is known, since the first engine to prefill a prompt is
        instructed to save it. That is so only where the prompt belongs while
        all stores respond.

        Args:
            key: Key of the prompt; 0 if it has none.
            scope: Its cache scope.
            prompt: The prompt.
            store: The store that the prompt belongs to; None if none responds.
        """
        if not key or store is None:
            return False
        if store.is_watched:
            return store.holds(scope, prompt)
        is_first = self.stores.is_first_choice(key, store)
        return is_first and key in self._recently_used

    def may_be_stored(
        self,
        scope: str,
        prompt: messages.Prompt,
        store: cache_stores.CacheStoreIndex | None,
    ) -> bool:
        """Returns whether a cache store is not known to lack a shared prompt.

        Only a gateway that watches the store knows that. The others try it, as
        a miss costs an engine about a millisecond: after a restart they know of
        no use, but the store still holds the prompts.
        """
        if store is None:
            return False
        return not store.is_watched or store.holds(scope, prompt)

    def find_holder(self, key: int, incarnations: list[str]) -> str | None:
        """Returns the engine that used a prompt most recently, if any."""
        return self._prefix_cache.find_most_recent(key, incarnations)

    def begin(
        self, incarnation: str, key: int, tokens: int, needs_prefill: bool
    ) -> PrefillHandle:
        """Records a request that was sent to an engine.

        Returns:
            A handle by which the caller reports how the prefill ended.
        """
        if not key:
            return PrefillHandle(self, None, needs_prefill=False)
        now = clocks.read_monotonic()
        if needs_prefill:
            self._prefills.begin(key, incarnation, now)
            self._schedule_broadcast()
        return PrefillHandle(
            self, CacheUse(key, incarnation, tokens, now), needs_prefill
        )

    def finish(
        self, use: CacheUse, needs_prefill: bool, is_cached: bool
    ) -> None:
        """Records how a prefill ended, for ``PrefillHandle``."""
        if is_cached:
            now = clocks.read_monotonic()
            self._record_use(dataclasses.replace(use, at=now))
            self._own_uses.append(dataclasses.replace(use, at=now))
        if needs_prefill:
            self._prefills.end(use.key, use.incarnation)
            self._schedule_broadcast()
        self.notify_waiters()

    async def wait_for_prefill(
        self, key: int, deadline: clocks.Deadline
    ) -> bool:
        """Waits while a prompt is being prefilled.

        Returns:
            Whether it was being prefilled at the start.
        """
        has_waited = False
        while not deadline.is_past():
            now = clocks.read_monotonic()
            if self._prefills.find_prefill_engine(key, now) is None:
                break
            has_waited = True
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline.at):
                    await self._changed.wait()
        return has_waited

    def notify_waiters(self) -> None:
        """Makes the requests that wait for a prefill check it again."""
        self._changed.set()

    def list_prefills(self) -> list[tuple[int, str, float]]:
        """Returns key, engine and start time of this gateway's prefills."""
        return self._prefills.list_own()

    def list_cache_uses(self) -> list[CacheUse]:
        """Returns this gateway's recent uses, for reporting to peers."""
        limit = clocks.read_monotonic() - _USE_BROADCAST_S
        self._own_uses = [use for use in self._own_uses if use.at > limit]
        return self._own_uses[-_MAX_BROADCAST_USES:]

    def _record_use(self, use: CacheUse) -> None:
        """Records that an engine has a prompt cached, as it has used it."""
        self._prefix_cache.touch(use.incarnation, use.key, use.tokens, use.at)
        self._recently_used[use.key] = None
        self._recently_used.move_to_end(use.key)
        if len(self._recently_used) > _MAX_RECENT_PROMPTS:
            self._recently_used.popitem(last=False)

    def merge_peer(
        self,
        peer: str,
        prefills: list[tuple[int, str, float]],
        uses: list[CacheUse],
    ) -> None:
        """Merges the prefills and uses that a peer reported.

        Prefills of the peer that are no longer reported have ended.

        Args:
            peer: Name of the peer.
            prefills: Key, incarnation of the engine and start time of each
                prefill in progress, on this gateway's clock.
            uses: Recent uses.
        """
        for use in uses:
            self._record_use(use)
        has_ended = self._prefills.keep_only(
            peer, {prefill[0] for prefill in prefills}
        )
        for key, incarnation, began in prefills:
            self._prefills.begin(key, incarnation, began, owner=peer)
        if has_ended or uses:
            self.notify_waiters()


def make_key(scope: str, prompt: messages.Prompt) -> int:
    """Returns a hash that identifies a shared prompt within a cache scope.

    It is 0 for a shared prompt that is too short to be worth caching.
    """
    if prompt.shared_tokens < MIN_SHARED_TOKENS:
        return 0
    parts = ",".join(part.id for part in prompt.shared)
    return xxhash.xxh3_64_intdigest(f"{scope}\0{parts}".encode())
