"""Describes a key-value service whose keys can be listed and watched together.

See Also:
    ``store.KeyValueStore``, which reads and writes one key at a time.
"""

import abc
import dataclasses

from sardinewharf import clocks
from sardinewharf.keyvalue import store


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key's state.

    Attributes:
        key: The key.
        value: The bytes stored; None if the key was removed.
        revision: Revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All keys with one prefix.

    Attributes:
        entries: The keys, in order.
        revision: Changes after this one are not all contained.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed under one prefix.

    Attributes:
        entries: The changes, oldest first.
        revision: Where the next watch continues.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The service no longer has the changes since the revision asked for."""


class PrefixStore(store.KeyValueStore):
    """A key-value service with listings and watches of prefixes.

    Attributes:
        calls: Calls made so far.
    """

    calls: int = 0

    @abc.abstractmethod
    async def list_prefix(
        self, prefix: str, deadline: clocks.Deadline
    ) -> Listing | store.Unavailable:
        """Returns all keys with the prefix."""

    @abc.abstractmethod
    async def watch_prefix(
        self, prefix: str, revision: int, until: clocks.Deadline
    ) -> Changes | HistoryLost | store.Unavailable:
        """Returns the changes after a revision, as soon as there are some.

        Args:
            prefix: What the keys begin with.
            revision: Changes after this one are wanted.
            until: When to return without changes.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str, revision: int, deadline: clocks.Deadline
    ) -> store.WriteResult:
        """Removes a key if it is still at ``revision``."""
