"""Interface of a key-value service that lists and watches key prefixes.

See Also:
    ``store.KeyValueStore``, which reads and writes single keys.
"""

import abc
import dataclasses

from sardinewharf import clocks
from sardinewharf.keyvalue import store


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The state of a key.

    Attributes:
        key: The key.
        value: The stored bytes; None if the key was deleted.
        revision: Revision of the key's last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All keys with one prefix.

    Attributes:
        entries: The keys, sorted.
        revision: All changes up to this revision are contained; later ones
            may be.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changes under one prefix.

    Attributes:
        entries: The changes, oldest first.
        revision: Revision from which the next watch continues.
    """

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost:
    """The service no longer has the changes since the requested revision."""


class PrefixStore(store.KeyValueStore):
    """Client interface of a key-value service with listings and watches.

    Attributes:
        calls: Number of calls made so far.
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
        """Waits for changes after a revision and returns them.

        Args:
            prefix: Common prefix of the watched keys.
            revision: Only changes after this revision are returned.
            until: When to return even without changes.
        """

    @abc.abstractmethod
    async def delete(
        self, key: str, revision: int, deadline: clocks.Deadline
    ) -> store.WriteResult:
        """Deletes a key if it is still at ``revision``."""
