"""Passes changes of the store from gateway to gateway.

In a large fleet only a few gateways of each failure domain watch the store.
The others request new changes from them, so that a change is not fetched from
the store once for each gateway. A gateway that gets no response from the store
requests the changes from any other gateway.

A response confirms that the replica was current at some time. The requester
computes that time from when it sent the request, so that no delay in transit
makes the replica look more current than it is.

Examples:
    >>> log = ChangeLog()
    >>> log.restart(revision=5)
    >>> log.add([keyvalue.Entry("a", b"1", 6)], revision=7)
    >>> [entry.key for entry in log.list_since(5)], log.list_since(7)
    (['a'], [])
    >>> log.list_since(4) is None
    True

See Also:
    ``sync``, which decides when to watch the store and when to send requests.
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
from sardinewharf.gateway import freshness
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib

# Gateways of a failure domain that watch the store, and the number of gateways
# up to which all of them do.
_WATCHERS_PER_DOMAIN = 2
_MAX_ALL_WATCHING = 4
# How many gateways are asked at the same time.
_MAX_QUERIES = 3
# Largest size of the log of changes, of the changes in a response, and of those
# in each of its datagrams; and what an entry counts beyond its key and value.
_MAX_LOG_BYTES = 262_144
_MAX_RESPONSE_BYTES = 24_576
_CHUNK_BYTES = 1_200
_ENTRY_OVERHEAD_BYTES = 16
# Size of the random number from which a process numbers its requests.
_FIRST_NUMBER_BITS = 60


class ChangeLog:
    """A bounded log of the store's latest changes, for other gateways.

    Only the last change of each key is kept.
    """

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[str, keyvalue.Entry] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        # The log is complete after this revision; None before the store was
        # first read.
        self._compacted_revision: int | None = None

    def restart(self, revision: int) -> None:
        """Clears the log after a full listing at a revision."""
        self._entries.clear()
        self._bytes = 0
        self._compacted_revision = revision

    def add(self, entries: Iterable[keyvalue.Entry], revision: int) -> None:
        """Adds all changes since the last call, up to a revision."""
        if self._compacted_revision is None:
            self._compacted_revision = revision
            return
        for entry in sorted(entries, key=lambda entry: entry.revision):
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
    """Another gateway's response to a request for changes.

    Attributes:
        revision: Revision of that gateway's replica.
        last_confirmed_at: When that replica was last confirmed to be current,
            on this gateway's clock.
        entries: The changes up to that revision; None if they must be read
            from the store.
        reregistration_deadline: When the time ends in which registrations
            that expired in an outage of the store may be renewed.
        has_store_contact: Whether that gateway's last update came from the
            store itself.
        responder: That gateway's name.
    """

    revision: int
    last_confirmed_at: float
    entries: tuple[keyvalue.Entry, ...] | None
    reregistration_deadline: clocks.Deadline = clocks.Deadline(float("-inf"))
    has_store_contact: bool = True
    responder: str = ""

    def is_recent(self, limits: freshness.FreshnessLimits) -> bool:
        """Returns whether the replica it is from was confirmed recently."""
        age_s = clocks.read_monotonic() - self.last_confirmed_at
        return age_s <= limits.max_update_age_s


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request that awaits its response.

    Attributes:
        responder: Name of the gateway that it was sent to.
        sent_at: When it was sent.
        response: Completed once the whole response is received.
        chunks: The chunks of the response received so far, by index.
    """

    responder: str
    sent_at: float
    response: "asyncio.Future[FeedUpdate]"
    chunks: dict[int, bytes] = dataclasses.field(default_factory=dict)


Message = digests.FeedRequest | digests.FeedResponse


class Feed:
    """Requests changes from other gateways, and responds to their requests.

    Args:
        settings: Settings of the gateway.
        replica: The gateway's replica of the store.

    Attributes:
        log: The latest changes, for other gateways.
        send: Sends a message to another gateway's address.
        has_store_contact: Whether this gateway's last update came from the
            store itself, not from another gateway.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
    ):
        self._settings = settings
        self._replica = replica
        self._limits = freshness.split_guarantees(settings.guarantees)
        # A late response to a request of a former process must match none.
        self._number = random.getrandbits(_FIRST_NUMBER_BITS)
        self._pending: dict[int, _PendingRequest] = {}
        self._last_responder = ""
        self.has_store_contact = False
        self.log = ChangeLog()
        self.send: Callable[[str, Message], None] = _discard_message

    def is_follower(self) -> bool:
        """Returns whether only other gateways of the domain watch the store."""
        watchers = self._list_watchers()
        return bool(watchers) and self._settings.name not in watchers

    def is_followed(self) -> bool:
        """Returns whether other gateways of the domain rely on this watch."""
        return self._settings.name in self._list_watchers()

    async def query_watchers(self) -> FeedUpdate | None:
        """Returns a recent update from a gateway with contact to the store.

        It is one that watches for this failure domain, or else any other; None
        if none of those that were asked has such an update.
        """
        names = self._list_watchers()
        if self._last_responder in names:
            names = [self._last_responder]
        update = await self._query_best(names)
        if not self._is_reliable(update):
            update = await self._query_best(list(self._replica.members))
        return update if self._is_reliable(update) else None

    async def query_peer(self, name: str) -> FeedUpdate | None:
        """Returns an update of one gateway, if it responds."""
        if name not in self._replica.members:
            return None
        return await self._query(name)

    async def query_any_peer(self) -> FeedUpdate | None:
        """Returns the best update of some other gateways, if any responds."""
        return await self._query_best(list(self._replica.members))

    def respond(self, request: digests.FeedRequest, address: str) -> None:
        """Sends another gateway the changes that it requests."""
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
                has_store_contact=self.has_store_contact,
            )
            self.send(address, response)

    def _compress_since(self, revision: int) -> bytes | None:
        """Returns the changes after a revision; None if too many or lost."""
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
        """Handles another gateway's response, or a chunk of it.

        Raises:
            DecodeError: If it holds no list of changes.
        """
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
                response.has_store_contact,
                pending.responder,
            )
        )

    def _list_watchers(self) -> list[str]:
        """Returns the gateways that watch for this domain; none if all do."""
        domain = self._settings.failure_domain
        in_domain = [
            name
            for name, member_domain in self._replica.member_domains.items()
            if member_domain == domain and name in self._replica.members
        ]
        if len(in_domain) <= _MAX_ALL_WATCHING:
            return []
        return balancing.rank_preferred("store watchers", in_domain)[
            :_WATCHERS_PER_DOMAIN
        ]

    async def _query_best(self, names: list[str]) -> FeedUpdate | None:
        """Queries some of the named gateways and returns the best update.

        A recent update of a gateway that has contact to the store goes before
        all others: gateways without contact may have their updates from each
        other. Among equal ones, the last confirmed goes first.
        """
        others = [
            name
            for name in names
            if name != self._settings.name and name in self._replica.members
        ]
        random.shuffle(others)
        # The gateway that responded last is likely to respond again.
        others.sort(key=lambda name: name != self._last_responder)
        asked = others[:_MAX_QUERIES]
        updates = await asyncio.gather(*(self._query(name) for name in asked))
        responses = [
            (
                self._is_reliable(update),
                update.last_confirmed_at,
                name,
                update,
            )
            for name, update in zip(asked, updates, strict=True)
            if update is not None
        ]
        if not responses:
            self._last_responder = ""
            return None
        is_reliable, _, name, update = max(responses, key=lambda r: r[:3])
        self._last_responder = name if is_reliable else ""
        return update

    def _is_reliable(self, update: FeedUpdate | None) -> bool:
        """Returns whether an update is recent and not from a follower."""
        return (
            update is not None
            and update.has_store_contact
            and update.is_recent(self._limits)
        )

    async def _query(self, name: str) -> FeedUpdate | None:
        self._number += 1
        number = self._number
        response = asyncio.get_running_loop().create_future()
        self._pending[number] = _PendingRequest(
            name, clocks.read_monotonic(), response
        )
        self.send(
            self._replica.members[name],
            digests.FeedRequest(number, self._replica.revision),
        )
        try:
            async with asyncio.timeout(self._limits.response_timeout_s):
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
    """Discards a message, as the gateway does not listen yet."""
