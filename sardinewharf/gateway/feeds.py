"""Passes changes of the store from gateway to gateway.

In a large fleet a few gateways of each failure domain watch the store, and the
others ask them for what is new, so that a change is not fetched once for each
gateway. A gateway that the store does not answer is told by any other.

A gateway that asks dates the proof it gets from when it asked, so that no
delay on the way makes it look newer than it is.

Examples:
    >>> log = ChangeLog()
    >>> log.restart(revision=5)
    >>> log.add([keyvalue.Entry("a", b"1", 6)], revision=7)
    >>> [entry.key for entry in log.list_since(5)], log.list_since(7)
    (['a'], [])
    >>> log.list_since(4) is None
    True

See Also:
    ``sync``, which decides when to watch and when to ask.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf.gateway import digests
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib

# Gateways of a failure domain that watch the store, and up to how many all do.
_WATCHERS_PER_DOMAIN = 2
_MAX_ALL_WATCHING = 4
# An answer that has not come by then is asked of another, in seconds.
_RESPONSE_TIMEOUT_S = 0.15
_MAX_QUERIES = 3
# Changes kept for others, and what an answer and each of its datagrams carry,
# in bytes.
_MAX_LOG_BYTES = 262_144
_MAX_RESPONSE_BYTES = 24_576
_CHUNK_BYTES = 1_200
_ENTRY_OVERHEAD_BYTES = 16


class ChangeLog:
    """The latest changes of the store, to be passed on.

    Of the changes of a key only the last is kept.
    """

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[str, keyvalue.Entry] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        # Changes after this revision are all kept; None before a listing.
        self._compacted_revision: int | None = None

    def restart(self, revision: int) -> None:
        """Notes that everything was read anew at a revision."""
        self._entries.clear()
        self._bytes = 0
        self._compacted_revision = revision

    def add(self, entries: Iterable[keyvalue.Entry], revision: int) -> None:
        """Notes all changes since the last call, up to a revision."""
        if self._compacted_revision is None:
            self._compacted_revision = revision
            return
        for entry in entries:
            former = self._entries.pop(entry.key, None)
            if former is not None:
                self._bytes -= _count_bytes(former)
            self._entries[entry.key] = entry
            self._bytes += _count_bytes(entry)
        while self._bytes > _MAX_LOG_BYTES:
            _, dropped = self._entries.popitem(last=False)
            self._bytes -= _count_bytes(dropped)
            self._compacted_revision = dropped.revision

    def list_since(self, revision: int) -> list[keyvalue.Entry] | None:
        """Returns the changes after a revision; None if some are not kept."""
        if (
            self._compacted_revision is None
            or revision < self._compacted_revision
        ):
            return None
        return [
            entry
            for entry in self._entries.values()
            if entry.revision > revision
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class FeedUpdate:
    """What another gateway knows of the store.

    Attributes:
        revision: The revision that it has seen.
        proved_at: When that was known to be current, on this gateway's clock.
        entries: The changes up to it; None if they must be read elsewhere.
        returns_until: Until when registrations that lapsed in an outage of the
            store may come back.
    """

    revision: int
    last_confirmed_at: float
    entries: tuple[keyvalue.Entry, ...] | None
    reregistration_deadline: clocks.Deadline = clocks.Deadline(float("-inf"))


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A call under way.

    Attributes:
        sent_at: When it was sent.
        answer: What came of it.
        pieces: What has come of an answer in several datagrams, by place.
    """

    sent_at: float
    response: "asyncio.Future[FeedUpdate]"
    chunks: dict[int, bytes] = dataclasses.field(default_factory=dict)


Message = digests.FeedRequest | digests.FeedResponse


class Feed:
    """Asks other gateways for changes, and answers them.

    Args:
        settings: Settings of the gateway.
        replica: What the gateway believes.

    Attributes:
        log: The changes to be passed on.
        send: Sends a message to another gateway's address.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
    ):
        self._settings = settings
        self._replica = replica
        self._number = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._last_responder = ""
        self.log = ChangeLog()
        self.send: Callable[[str, Message], None] = _discard_message

    def is_follower(self) -> bool:
        """Returns whether others of the failure domain watch the store."""
        watchers = self._list_watchers()
        return bool(watchers) and self._settings.name not in watchers

    async def query_watchers(self) -> FeedUpdate | None:
        """Returns what a gateway that watches the store knows."""
        return await self._query_first(self._list_watchers())

    async def query_any_peer(self) -> FeedUpdate | None:
        """Returns what some other gateway knows."""
        return await self._query_first(list(self._replica.members))

    def respond(self, request: digests.FeedRequest, address: str) -> None:
        """Answers another gateway."""
        if not self._replica.is_filled:
            return
        compressed = self._compress_since(request.revision)
        chunks: list[bytes | None] = [None]
        if compressed is not None:
            starts = range(0, len(compressed), _CHUNK_BYTES)
            chunks = [
                compressed[start : start + _CHUNK_BYTES] for start in starts
            ]
        for chunk_index, chunk in enumerate(chunks):
            response = digests.FeedResponse(
                number=request.number,
                revision=self._replica.revision,
                age_ms=int(self._replica.count_age() * 1000) + 1,
                chunk=chunk,
                reregistration_ms=int(
                    self._replica.reregistration_deadline.remaining() * 1000
                ),
                chunk_index=chunk_index,
                chunk_count=len(chunks),
            )
            self.send(address, response)

    def _compress_since(self, revision: int) -> bytes | None:
        """Returns the changes after a revision; None if they do not fit."""
        entries = self.log.list_since(revision)
        if entries is None:
            return None
        compressed = digests.compress_entries(
            [
                digests.FeedEntry(entry.key, entry.value, entry.revision)
                for entry in entries
            ]
        )
        return compressed if len(compressed) <= _MAX_RESPONSE_BYTES else None

    def handle_response(self, response: digests.FeedResponse) -> None:
        """Takes in another gateway's answer, or a piece of it."""
        pending = self._pending.get(response.number)
        if pending is None or pending.response.done():
            return
        entries = None
        if response.chunk is not None:
            pending.chunks[response.chunk_index] = response.chunk
            if len(pending.chunks) < response.chunk_count:
                return
            entries = _join_entries(pending.chunks)
        last_confirmed_at = pending.sent_at - response.age_ms / 1000
        reregistration_deadline = clocks.Deadline.after(
            response.reregistration_ms / 1000
        )
        pending.response.set_result(
            FeedUpdate(
                response.revision,
                last_confirmed_at,
                entries,
                reregistration_deadline,
            )
        )

    def _list_watchers(self) -> list[str]:
        """Returns who watches for this failure domain; none if all do."""
        domain = self._settings.failure_domain
        in_domain = [
            name
            for name, found in self._replica.member_domains.items()
            if found == domain and name in self._replica.members
        ]
        if len(in_domain) <= _MAX_ALL_WATCHING:
            return []
        return balancing.rank_homes("store watchers", in_domain)[
            :_WATCHERS_PER_DOMAIN
        ]

    async def _query_first(self, names: list[str]) -> FeedUpdate | None:
        others = [name for name in names if name != self._settings.name]
        random.shuffle(others)
        # Whoever answered last is likely to do so again.
        others.sort(key=lambda name: name != self._last_responder)
        for name in others[:_MAX_QUERIES]:
            update = await self._query(self._replica.members[name])
            if update is not None:
                self._last_responder = name
                return update
        self._last_responder = ""
        return None

    async def _query(self, address: str) -> FeedUpdate | None:
        self._number += 1
        number = self._number
        response = asyncio.get_running_loop().create_future()
        self._pending[number] = _PendingRequest(
            clocks.read_monotonic(), response
        )
        self.send(address, digests.FeedRequest(number, self._replica.revision))
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                return await response
        except TimeoutError:
            return None
        finally:
            self._pending.pop(number, None)


def _join_entries(chunks: Mapping[int, bytes]) -> tuple[keyvalue.Entry, ...]:
    compressed = b"".join(chunks[chunk_index] for chunk_index in sorted(chunks))
    return tuple(
        keyvalue.Entry(entry.key, entry.value, entry.revision)
        for entry in digests.decompress_entries(compressed)
    )


def _count_bytes(entry: keyvalue.Entry) -> int:
    return len(entry.key) + len(entry.value or b"") + _ENTRY_OVERHEAD_BYTES


def _discard_message(address: str, message: Message) -> None:
    """Sends nothing: the gateway does not listen yet."""
