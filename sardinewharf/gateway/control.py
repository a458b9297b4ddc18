"""Defines the control interface of model engines and cache stores."""

import abc
from collections.abc import Mapping
import dataclasses
import enum

from sardinewharf import clocks
from sardinewharf import fleet


class SwitchMode(enum.Enum):
    """What happens to running requests when an engine switches weights."""

    FINISH = "finish"
    CUT = "cut"
    KEEP = "keep"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to an engine to load weights.

    Attributes:
        model: The model.
        version: The version to load.
        mode: What happens to running requests.
        holder: Name of the gateway that sends the order.
        epoch: Fencing token of that gateway's leader lease; the engine refuses
            one that is lower than that of an earlier order.
        after_orders: Number of orders that the engine must have accepted so
            far, so that an order that arrives late has no effect.
    """

    model: str
    version: int
    mode: SwitchMode
    holder: str
    epoch: int
    after_orders: int


class OrderResult(enum.Enum):
    """How an engine responded to an order.

    Attributes:
        ACCEPTED: It carries the order out.
        HOLDS_ALREADY: It has loaded the version already.
        CONFLICT: It is busy, or has accepted another number of orders than
            the order states.
        OLD_EPOCH: The fencing token is lower than that of an earlier order.
        REFUSED: It did not accept the order, or could not be reached.
        UNKNOWN: It may have accepted the order; the response is missing or
            unexpected.
    """

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    OLD_EPOCH = "old_epoch"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of itself.

    Attributes:
        weights: Version of the weights by model.
        is_busy: Whether it is carrying out an order.
        orders: Number of orders accepted since its start.
    """

    weights: Mapping[str, int]
    is_busy: bool
    orders: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt part that a cache stored or evicted.

    Attributes:
        is_held: Whether the cache holds the part now.
        scope: Cache salt; only requests with the same one share the part.
        part_id: Id of the prompt part.
        tokens: Tokens of the part that the cache holds.
    """

    is_held: bool
    scope: str
    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheUpdate:
    """Changes of a cache since a position in its event log.

    Attributes:
        epoch: Differs after the cache restarted empty.
        next_since: Position to read from next.
        has_gap: Whether events are missing.
        events: The changes, oldest first.
    """

    epoch: int
    next_since: int
    has_gap: bool
    events: tuple[CacheEvent, ...]


class EngineControl(abc.ABC):
    """Client for the control calls of engines and cache stores."""

    @abc.abstractmethod
    async def order_weights(
        self,
        endpoint: fleet.Endpoint,
        order: WeightsOrder,
        deadline: clocks.Deadline,
    ) -> OrderResult:
        """Sends an order to load weights to an engine."""

    @abc.abstractmethod
    async def read_report(
        self, endpoint: fleet.Endpoint, deadline: clocks.Deadline
    ) -> EngineReport | None:
        """Returns an engine's report; None if it could not be read."""

    @abc.abstractmethod
    async def read_cache(
        self, address: str, since: int, until: clocks.Deadline
    ) -> CacheUpdate | None:
        """Waits for changes of a cache and returns them; None on failure.

        Args:
            address: ``IP:PORT`` of the engine or store.
            since: Position to read from; 0 for all events it still has.
            until: When to return even without changes.
        """
