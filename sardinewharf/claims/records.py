"""Stores the claims of a shard as a small head and sealed segments.

Each commit writes the head, which therefore has to stay small. When the head
exceeds its size limit, its entries are sealed into an immutable segment, and
the head keeps only the name of the segment. A segment is dropped when the
retention time of its entries has passed.

Examples:
    >>> record = ShardRecord()
    >>> entry = entries_lib.Entry(
    ...     entries_lib.EntryState.CLAIMED, "a", b"body", at=1.0
    ... )
    >>> overlay = record.open_overlay()
    >>> overlay[b"key"] = entry
    >>> record.adopt(record.make_head(overlay), 1)
    >>> record.open_overlay()[b"key"] == entry
    True
"""

from collections.abc import Iterator
from collections.abc import MutableMapping

import msgspec

from sardinewharf.claims import entries as entries_lib

_Entries = dict[bytes, entries_lib.Entry]


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """A reference to a record of sealed entries.

    Attributes:
        name: Name of the segment's record.
        expires_at: Wall-clock time after which the segment may be dropped.
    """

    name: str
    expires_at: float


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The record that each commit of a shard writes.

    Attributes:
        entries: The newest entries, which take precedence over sealed ones.
        segments: The sealed segments, newest first.
    """

    entries: _Entries = {}
    segments: tuple[Segment, ...] = ()


class EntryOverlay(MutableMapping):
    """A mutable view of a shard's entries, to which a batch is applied.

    Changes are made in a copy of the head. Sealed entries are immutable, so
    that the removal of one is recorded in the head as a released entry.
    Iteration and length cover the head only.

    Args:
        head: The entries of the head.
        sealed: The entries of each segment, newest segment first.

    Attributes:
        head: The changed entries of the head.
        has_changed: Whether any entry was set or removed.
    """

    def __init__(self, head: _Entries, sealed: list[_Entries]):
        self._sealed = sealed
        self.head = dict(head)
        self.has_changed = False

    def __getitem__(self, key: bytes) -> entries_lib.Entry:
        entry = self._find(key)
        if entry is None or entry.state is entries_lib.EntryState.RELEASED:
            raise KeyError(key)
        return entry

    def __setitem__(self, key: bytes, entry: entries_lib.Entry) -> None:
        self.head[key] = entry
        self.has_changed = True

    def __delitem__(self, key: bytes) -> None:
        entry = self[key]
        self.has_changed = True
        self.head.pop(key, None)
        if self._find(key) is not None:
            self.head[key] = msgspec.structs.replace(
                entry, state=entries_lib.EntryState.RELEASED
            )

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.head)

    def __len__(self) -> int:
        return len(self.head)

    def _find(self, key: bytes) -> entries_lib.Entry | None:
        """Returns the newest entry of a key, even if it is released."""
        entry = self.head.get(key)
        if entry is not None:
            return entry
        for sealed in self._sealed:
            if key in sealed:
                return sealed[key]
        return None


class ShardRecord:
    """A shard's head and segments as last read or written.

    Attributes:
        head: The head.
        revision: Revision of the head in the key-value service.
    """

    def __init__(self) -> None:
        self.head = Head()
        self.revision = 0
        self._segments: dict[str, _Entries] = {}

    def adopt(self, head: Head, revision: int) -> None:
        """Replaces the head by one that was read or written."""
        self.head = head
        self.revision = revision
        names = {segment.name for segment in head.segments}
        self._segments = {
            name: entries
            for name, entries in self._segments.items()
            if name in names
        }

    def add_segment(self, name: str, entries: _Entries) -> None:
        """Adds a segment that was read or sealed."""
        self._segments[name] = entries

    def list_missing(self, head: Head) -> list[str]:
        """Returns the names of a head's segments that are not loaded yet."""
        names = [segment.name for segment in head.segments]
        return [name for name in names if name not in self._segments]

    def open_overlay(self) -> EntryOverlay:
        """Returns a mutable view of the entries for a batch of changes."""
        names = [segment.name for segment in self.head.segments]
        sealed = [self._segments[name] for name in names]
        return EntryOverlay(self.head.entries, sealed)

    def make_head(self, overlay: EntryOverlay) -> Head:
        """Returns the head after a batch of changes."""
        return Head(overlay.head, self.head.segments)

    def make_sealed_head(self, segment: Segment) -> Head:
        """Returns the head after its entries were sealed into a segment."""
        return Head({}, (segment, *self.head.segments))


def drop_old_segments(head: Head, now: float) -> Head:
    """Returns a head without its expired segments."""
    kept = tuple(s for s in head.segments if s.expires_at > now)
    return Head(head.entries, kept) if kept != head.segments else head
