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
_WATCHERS = 2
_ALL_WATCH = 4
# An answer that has not come by then is asked of another, in seconds.
_ANSWER_S = 0.15
_MOST_ASKED = 3
# Changes kept for others, and what an answer and each of its datagrams carry,
# in bytes.
_KEPT_BYTES = 262_144
_ANSWER_BYTES = 24_576
_PIECE_BYTES = 1_200
_ENTRY_BYTES = 16


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
        self._floor: int | None = None

    def restart(self, revision: int) -> None:
        """Notes that everything was read anew at a revision."""
        self._entries.clear()
        self._bytes = 0
        self._floor = revision

    def add(self, entries: Iterable[keyvalue.Entry], revision: int) -> None:
        """Notes all changes since the last call, up to a revision."""
        if self._floor is None:
            self._floor = revision
            return
        for entry in entries:
            former = self._entries.pop(entry.key, None)
            if former is not None:
                self._bytes -= _count_bytes(former)
            self._entries[entry.key] = entry
            self._bytes += _count_bytes(entry)
        while self._bytes > _KEPT_BYTES:
            _, dropped = self._entries.popitem(last=False)
            self._bytes -= _count_bytes(dropped)
            self._floor = dropped.revision

    def list_since(self, revision: int) -> list[keyvalue.Entry] | None:
        """Returns the changes after a revision; None if some are not kept."""
        if self._floor is None or revision < self._floor:
            return None
        return [
            entry
            for entry in self._entries.values()
            if entry.revision > revision
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """What another gateway knows of the store.

    Attributes:
        revision: The revision that it has seen.
        proved_at: When that was known to be current, on this gateway's clock.
        entries: The changes up to it; None if they must be read elsewhere.
        returns_until: Until when registrations that lapsed in an outage of the
            store may come back.
    """

    revision: int
    proved_at: float
    entries: tuple[keyvalue.Entry, ...] | None
    returns_until: clocks.Deadline = clocks.Deadline(float("-inf"))


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    """A call under way.

    Attributes:
        sent_at: When it was sent.
        answer: What came of it.
        pieces: What has come of an answer in several datagrams, by place.
    """

    sent_at: float
    answer: "asyncio.Future[News]"
    pieces: dict[int, bytes] = dataclasses.field(default_factory=dict)


Message = digests.FeedCall | digests.FeedAnswer


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
        self._questions: dict[int, _Question] = {}
        self._last_good = ""
        self.log = ChangeLog()
        self.send: Callable[[str, Message], None] = _send_nowhere

    def is_follower(self) -> bool:
        """Returns whether others of the failure domain watch the store."""
        watchers = self._list_watchers()
        return bool(watchers) and self._settings.name not in watchers

    async def ask_watchers(self) -> News | None:
        """Returns what a gateway that watches the store knows."""
        return await self._ask_some(self._list_watchers())

    async def ask_anybody(self) -> News | None:
        """Returns what some other gateway knows."""
        return await self._ask_some(list(self._replica.members))

    def answer(self, call: digests.FeedCall, address: str) -> None:
        """Answers another gateway."""
        if not self._replica.is_filled:
            return
        packed = self._pack_since(call.revision)
        pieces: list[bytes | None] = [None]
        if packed is not None:
            starts = range(0, len(packed), _PIECE_BYTES)
            pieces = [packed[start : start + _PIECE_BYTES] for start in starts]
        for place, piece in enumerate(pieces):
            answer = digests.FeedAnswer(
                number=call.number,
                revision=self._replica.revision,
                age_ms=int(self._replica.count_age() * 1000) + 1,
                piece=piece,
                doubt_ms=int(self._replica.returns_until.remaining() * 1000),
                place=place,
                pieces=len(pieces),
            )
            self.send(address, answer)

    def _pack_since(self, revision: int) -> bytes | None:
        """Returns the changes after a revision; None if they do not fit."""
        entries = self.log.list_since(revision)
        if entries is None:
            return None
        packed = digests.pack_entries(
            [
                digests.FeedEntry(entry.key, entry.value, entry.revision)
                for entry in entries
            ]
        )
        return packed if len(packed) <= _ANSWER_BYTES else None

    def take(self, answer: digests.FeedAnswer) -> None:
        """Takes in another gateway's answer, or a piece of it."""
        question = self._questions.get(answer.number)
        if question is None or question.answer.done():
            return
        entries = None
        if answer.piece is not None:
            question.pieces[answer.place] = answer.piece
            if len(question.pieces) < answer.pieces:
                return
            entries = _join_entries(question.pieces)
        proved_at = question.sent_at - answer.age_ms / 1000
        returns_until = clocks.Deadline.after(answer.doubt_ms / 1000)
        question.answer.set_result(
            News(answer.revision, proved_at, entries, returns_until)
        )

    def _list_watchers(self) -> list[str]:
        """Returns who watches for this failure domain; none if all do."""
        domain = self._settings.failure_domain
        near = [
            name
            for name, found in self._replica.member_domains.items()
            if found == domain and name in self._replica.members
        ]
        if len(near) <= _ALL_WATCH:
            return []
        return balancing.rank_preferred("store watchers", near)[:_WATCHERS]

    async def _ask_some(self, names: list[str]) -> News | None:
        others = [name for name in names if name != self._settings.name]
        random.shuffle(others)
        # Whoever answered last is likely to do so again.
        others.sort(key=lambda name: name != self._last_good)
        for name in others[:_MOST_ASKED]:
            news = await self._ask(self._replica.members[name])
            if news is not None:
                self._last_good = name
                return news
        self._last_good = ""
        return None

    async def _ask(self, address: str) -> News | None:
        self._number += 1
        number = self._number
        answer = asyncio.get_running_loop().create_future()
        self._questions[number] = _Question(clocks.read_monotonic(), answer)
        self.send(address, digests.FeedCall(number, self._replica.revision))
        try:
            async with asyncio.timeout(_ANSWER_S):
                return await answer
        except TimeoutError:
            return None
        finally:
            self._questions.pop(number, None)


def _join_entries(pieces: Mapping[int, bytes]) -> tuple[keyvalue.Entry, ...]:
    packed = b"".join(pieces[place] for place in sorted(pieces))
    return tuple(
        keyvalue.Entry(entry.key, entry.value, entry.revision)
        for entry in digests.unpack_entries(packed)
    )


def _count_bytes(entry: keyvalue.Entry) -> int:
    return len(entry.key) + len(entry.value or b"") + _ENTRY_BYTES


def _send_nowhere(address: str, message: Message) -> None:
    """Sends nothing: the gateway does not listen yet."""
