"""Knows where shared prompts are held, and who reads one just now."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import dataclasses

import xxhash

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf.gateway import messages

# Shared prompts from this length on are worth fetching and saving.
MIN_SHARED_TOKENS = 512
# Share of an engine's memory that its cached prompts are believed to fill.
_CACHE_MEMORY_SHARE = 0.5
# Prompts that were used within this time are told to peers, in seconds.
_USE_BROADCAST_S = 0.8
_MAX_BROADCAST_USES = 24
# Prompts that were used by anybody and are kept in mind.
_MAX_RECENT_PROMPTS = 1_000
# Tokens of a part that are lost to whole blocks.
_BLOCK_TOKENS = 32
# A store that has not answered for this long is not asked, in seconds.
_STORE_TIMEOUT_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class CacheUse:
    """A shared prompt that an engine used.

    Attributes:
        key: The prompt.
        incarnation: The engine.
        tokens: Tokens of the prompt.
        at: When.
    """

    key: int
    incarnation: str
    tokens: int
    at: float


class PrefillHandle:
    """What is noted of one request's shared prompt until it has been read."""

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
        """Notes that the engine has read the prompt."""
        use, self._use = self._use, None
        if use is not None:
            self._table.finish(use, self._needs_prefill, is_cached=True)

    def fail(self) -> None:
        """Notes that the engine may not have read the prompt."""
        use, self._use = self._use, None
        if use is not None:
            self._table.finish(use, self._needs_prefill, is_cached=False)


class CacheStoreIndex:
    """What a store of kept cache holds, as it told.

    Attributes:
        address: ``IP:PORT`` of the store; empty if there is none.
        is_followed: Whether this gateway reads the store's news itself.
    """

    def __init__(self) -> None:
        self.address = ""
        self.is_watched = True
        self._held: dict[tuple[str, str], int] = {}
        self._last_response_at = float("-inf")

    @property
    def is_alive(self) -> bool:
        """Whether the store answered of late."""
        return (
            clocks.read_monotonic() - self._last_response_at < _STORE_TIMEOUT_S
        )

    def record_response(self, age_s: float = 0.0) -> None:
        """Notes that the store answered, here or at another gateway."""
        at = clocks.read_monotonic() - age_s
        self._last_response_at = max(self._last_response_at, at)

    def count_age(self) -> float | None:
        """Returns the seconds since it answered; None if it is silent."""
        age = clocks.read_monotonic() - self._last_response_at
        return age if age < _STORE_TIMEOUT_S else None

    def clear(self) -> None:
        """Forgets all, since the store began anew."""
        self._held.clear()

    def put(self, scope: str, part: str, tokens: int) -> None:
        """Notes that the store holds a part."""
        self._held[scope, part] = tokens

    def drop(self, scope: str, part: str) -> None:
        """Notes that the store dropped a part."""
        self._held.pop((scope, part), None)

    def holds(self, scope: str, prompt: messages.Prompt) -> bool:
        """Returns whether the store holds all shared parts of a prompt."""
        return all(
            self._held.get((scope, part.id), -1) >= part.tokens - _BLOCK_TOKENS
            for part in prompt.shared
        )


class PromptTable:
    """Where shared prompts are held.

    Args:
        tell: Called when peers should hear the news soon.

    Attributes:
        store: What the store of kept cache holds.
    """

    def __init__(self, schedule_broadcast: Callable[[], None]):
        self._schedule_broadcast = schedule_broadcast
        self._prefix_cache = balancing.PrefixCacheIndex(0)
        self._prefills = balancing.PrefillTable()
        self._own_uses: list[CacheUse] = []
        self._recently_used: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._changed = asyncio.Event()
        self.store = CacheStoreIndex()

    def set_capacity(self, tokens: int) -> None:
        """Sets the memory of each engine, in tokens."""
        self._prefix_cache.capacity_tokens = int(tokens * _CACHE_MEMORY_SHARE)

    def locate(
        self,
        key: int,
        is_stored: bool,
        incarnation: str,
        incarnations: list[str],
    ) -> balancing.PrefixSource:
        """Returns where an engine would take a shared prompt from.

        Args:
            key: The prompt under its scope.
            is_stored: Whether the store is believed to hold it.
            incarnation: The engine.
            incarnations: The engines that it could fetch from; it may be one
                of them.
        """
        if not key or self._prefix_cache.holds(incarnation, key):
            return balancing.PrefixSource.CACHED
        prefill_engine = self._prefills.find_prefill_engine(
            key, clocks.read_monotonic()
        )
        if prefill_engine == incarnation:
            # What is read there now is held once this request's turn comes.
            return balancing.PrefixSource.CACHED
        if is_stored:
            return balancing.PrefixSource.FETCHED
        if self._prefix_cache.find_most_recent(key, incarnations) is not None:
            return balancing.PrefixSource.FETCHED
        return balancing.PrefixSource.COMPUTED

    def is_stored(self, key: int, scope: str, prompt: messages.Prompt) -> bool:
        """Returns whether the store is believed to hold a long shared prompt.

        A gateway that does not read the store's news goes by the uses that it
        has heard of: whoever read a prompt first had it saved.
        """
        if not key or not self.store.is_alive:
            return False
        if self.store.is_watched:
            return self.store.holds(scope, prompt)
        return key in self._recently_used

    def find_holder(self, key: int, incarnations: list[str]) -> str | None:
        """Returns the engine that used a prompt last."""
        return self._prefix_cache.find_most_recent(key, incarnations)

    def begin(
        self, incarnation: str, key: int, tokens: int, needs_prefill: bool
    ) -> PrefillHandle:
        """Notes a request that was sent to an engine."""
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
        """Notes the end of a reading."""
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
        """Waits while a prompt is being read; returns whether it was."""
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
        """Lets those look again who wait for a prompt."""
        self._changed.set()

    def list_prefills(self) -> list[tuple[int, str, float]]:
        """Returns key, engine and begin of this gateway's reads."""
        return self._prefills.list_own()

    def list_uses(self) -> list[CacheUse]:
        """Returns this gateway's latest uses, to be told to peers."""
        limit = clocks.read_monotonic() - _USE_BROADCAST_S
        self._own_uses = [use for use in self._own_uses if use.at > limit]
        return self._own_uses[-_MAX_BROADCAST_USES:]

    def _record_use(self, use: CacheUse) -> None:
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
        """Takes in a peer's reads and uses."""
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
    """Returns a number that names a long shared prompt; 0 for others."""
    if prompt.shared_tokens < MIN_SHARED_TOKENS:
        return 0
    parts = ",".join(part.id for part in prompt.shared)
    return xxhash.xxh3_64_intdigest(f"{scope}\0{parts}".encode())
