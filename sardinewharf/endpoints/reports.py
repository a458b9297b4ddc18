"""Describes what endpoints report, and the orders they take."""

import msgspec

from sardinewharf import ids


class LoadReport(msgspec.Struct, frozen=True):
    """An endpoint's own view of its load.

    Attributes:
        running: Streams or calls that run.
        incarnation: Changes when the endpoint starts anew.
        queued_tokens: Prompt tokens that wait or are being computed.
        leaving: Whether it takes no new work.
        weights: Loaded weights version for each model or adapter.
        loading: Versions being loaded.
        fence: Highest fencing number seen.
    """

    running: int
    incarnation: ids.Incarnation = ids.Incarnation("")
    queued_tokens: int = 0
    leaving: bool = False
    weights: dict[str, str] = {}
    loading: dict[str, str] = {}
    fence: int = 0


class CacheEvent(msgspec.Struct, frozen=True, array_like=True):
    """A change of an engine's prefix cache.

    Attributes:
        sequence: Rises by one with each event; a jump is a gap.
        action: ``stored``, ``evicted`` or ``cleared``.
        block_id: Name of the prefix piece, in hex.
    """

    sequence: int
    action: str
    block_id: str


class CacheEvents(msgspec.Struct, frozen=True):
    """A batch of cache events of one incarnation."""

    incarnation: ids.Incarnation
    events: tuple[CacheEvent, ...]


class Order(msgspec.Struct, frozen=True):
    """The wanted state of an engine.

    Attributes:
        fence: Fencing number; engines may refuse a lower one than seen.
        weights: Wanted weights version for each model or adapter.
    """

    fence: int
    weights: dict[str, str]
