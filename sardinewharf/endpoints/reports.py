"""Defines the reports of endpoints and the orders sent to engines."""

import msgspec

from sardinewharf import ids


class LoadReport(msgspec.Struct, frozen=True):
    """The load and state that an endpoint reports.

    Attributes:
        running: Number of running streams or calls.
        incarnation: Id that changes when the endpoint restarts.
        queued_tokens: Prompt tokens that are queued or being computed.
        leaving: Whether it accepts no new requests.
        weights: Loaded weights version of each model or adapter.
        loading: Weights version being loaded, of each model or adapter.
        fence: Highest fencing token received.
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
        sequence: Number that increases by one with each event; if one is
            skipped, events were lost.
        action: ``stored``, ``evicted`` or ``cleared``.
        block_id: Id of the prefix block, in hex.
    """

    sequence: int
    action: str
    block_id: str


class CacheEvents(msgspec.Struct, frozen=True):
    """A batch of cache events of one incarnation."""

    incarnation: ids.Incarnation
    events: tuple[CacheEvent, ...]


class Order(msgspec.Struct, frozen=True):
    """An order to an engine to load the target versions of its weights.

    Attributes:
        fence: Fencing token; engines may refuse an order whose token is lower
            than the highest received.
        weights: Target weights version of each model or adapter.
    """

    fence: int
    weights: dict[str, str]
