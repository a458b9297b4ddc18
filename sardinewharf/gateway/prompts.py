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
LONG_TOKENS = 512
# Share of an engine's memory that its cached prompts are believed to fill.
_CACHE_SHARE = 0.5
# Prompts that were used within this time are told to peers, in seconds.
_TOLD_S = 0.8
_MAX_TOLD = 24
# Prompts that were used by anybody and are kept in mind.
_MAX_USED = 1_000
# Tokens of a part that are lost to whole blocks.
_BLOCK_TOKENS = 32
# A store that has not answered for this long is not asked, in seconds.
_STORE_SILENT_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
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


class Reading:
    """What is noted of one request's shared prompt until it has been read."""

    def __init__(
        self,
        table: "PromptTable",
        use: Use | None,
        is_reading: bool,
    ):
        self._table = table
        self._use = use
        self._is_reading = is_reading

    def succeed(self) -> None:
        """Notes that the engine has read the prompt."""
        use, self._use = self._use, None
        if use is not None:
            self._table.finish(use, self._is_reading, is_held=True)

    def fail(self) -> None:
        """Notes that the engine may not have read the prompt."""
        use, self._use = self._use, None
        if use is not None:
            self._table.finish(use, self._is_reading, is_held=False)


class StoreContent:
    """What a store of kept cache holds, as it told.

    Attributes:
        address: ``IP:PORT`` of the store; empty if there is none.
        is_followed: Whether this gateway reads the store's news itself.
    """

    def __init__(self) -> None:
        self.address = ""
        self.is_followed = True
        self._held: dict[tuple[str, str], int] = {}
        self._heard_at = float("-inf")

    @property
    def is_alive(self) -> bool:
        """Whether the store answered of late."""
        return clocks.read_monotonic() - self._heard_at < _STORE_SILENT_S

    def hear(self, age_s: float = 0.0) -> None:
        """Notes that the store answered, here or at another gateway."""
        at = clocks.read_monotonic() - age_s
        self._heard_at = max(self._heard_at, at)

    def count_age(self) -> float | None:
        """Returns the seconds since it answered; None if it is silent."""
        age = clocks.read_monotonic() - self._heard_at
        return age if age < _STORE_SILENT_S else None

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

    def __init__(self, tell: Callable[[], None]):
        self._tell = tell
        self._holdings = balancing.PrefixCacheIndex(0)
        self._reads = balancing.PrefillTable()
        self._uses: list[Use] = []
        self._used: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._changed = asyncio.Event()
        self.store = StoreContent()

    def set_capacity(self, tokens: int) -> None:
        """Sets the memory of each engine, in tokens."""
        self._holdings.capacity_tokens = int(tokens * _CACHE_SHARE)

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
        if not key or self._holdings.holds(incarnation, key):
            return balancing.PrefixSource.CACHED
        reader = self._reads.find_prefill_engine(key, clocks.read_monotonic())
        if reader == incarnation:
            # What is read there now is held once this request's turn comes.
            return balancing.PrefixSource.CACHED
        if is_stored:
            return balancing.PrefixSource.FETCHED
        if self._holdings.find_most_recent(key, incarnations) is not None:
            return balancing.PrefixSource.FETCHED
        return balancing.PrefixSource.COMPUTED

    def is_stored(self, key: int, scope: str, prompt: messages.Prompt) -> bool:
        """Returns whether the store is believed to hold a long shared prompt.

        A gateway that does not read the store's news goes by the uses that it
        has heard of: whoever read a prompt first had it saved.
        """
        if not key or not self.store.is_alive:
            return False
        if self.store.is_followed:
            return self.store.holds(scope, prompt)
        return key in self._used

    def find_holder(self, key: int, incarnations: list[str]) -> str | None:
        """Returns the engine that used a prompt last."""
        return self._holdings.find_most_recent(key, incarnations)

    def begin(
        self, incarnation: str, key: int, tokens: int, is_reading: bool
    ) -> Reading:
        """Notes a request that was sent to an engine."""
        if not key:
            return Reading(self, None, is_reading=False)
        now = clocks.read_monotonic()
        if is_reading:
            self._reads.begin(key, incarnation, now)
            self._tell()
        return Reading(self, Use(key, incarnation, tokens, now), is_reading)

    def finish(self, use: Use, is_reading: bool, is_held: bool) -> None:
        """Notes the end of a reading."""
        if is_held:
            now = clocks.read_monotonic()
            self._note_use(dataclasses.replace(use, at=now))
            self._uses.append(dataclasses.replace(use, at=now))
        if is_reading:
            self._reads.end(use.key, use.incarnation)
            self._tell()
        self.wake()

    async def wait_for_reader(self, key: int, until: clocks.Deadline) -> bool:
        """Waits while a prompt is being read; returns whether it was."""
        has_waited = False
        while not until.is_past():
            now = clocks.read_monotonic()
            if self._reads.find_prefill_engine(key, now) is None:
                break
            has_waited = True
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until.at):
                    await self._changed.wait()
        return has_waited

    def wake(self) -> None:
        """Lets those look again who wait for a prompt."""
        self._changed.set()

    def list_reads(self) -> list[tuple[int, str, float]]:
        """Returns key, engine and begin of this gateway's reads."""
        return self._reads.list_own()

    def list_uses(self) -> list[Use]:
        """Returns this gateway's latest uses, to be told to peers."""
        limit = clocks.read_monotonic() - _TOLD_S
        self._uses = [use for use in self._uses if use.at > limit]
        return self._uses[-_MAX_TOLD:]

    def _note_use(self, use: Use) -> None:
        self._holdings.touch(use.incarnation, use.key, use.tokens, use.at)
        self._used[use.key] = None
        self._used.move_to_end(use.key)
        if len(self._used) > _MAX_USED:
            self._used.popitem(last=False)

    def merge_peer(
        self, peer: str, reads: list[tuple[int, str, float]], uses: list[Use]
    ) -> None:
        """Takes in a peer's reads and uses."""
        for use in uses:
            self._note_use(use)
        is_over = self._reads.keep_only(peer, {read[0] for read in reads})
        for key, incarnation, began in reads:
            self._reads.begin(key, incarnation, began, owner=peer)
        if is_over or uses:
            self.wake()


def make_key(scope: str, prompt: messages.Prompt) -> int:
    """Returns a number that names a long shared prompt; 0 for others."""
    if prompt.shared_tokens < LONG_TOKENS:
        return 0
    parts = ",".join(part.id for part in prompt.shared)
    return xxhash.xxh3_64_intdigest(f"{scope}\0{parts}".encode())
