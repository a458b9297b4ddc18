"""Types of what a gateway asks and orders of model engines."""

import abc
from collections.abc import Mapping
import dataclasses
import enum

from sardinewharf import clocks
from sardinewharf import fleet


class SwitchMode(enum.Enum):
    """What becomes of running requests when weights change."""

    FINISH = "finish"
    CUT = "cut"
    KEEP = "keep"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Orders an engine to load weights.

    Attributes:
        model: The model.
        version: The version to load.
        mode: What becomes of running requests.
        holder: Who orders.
        epoch: The holder's epoch; a lower one is refused.
        after_orders: Orders that the engine must have accepted so far, so
            that an order carried out late does nothing.
    """

    model: str
    version: int
    mode: SwitchMode
    holder: str
    epoch: int
    after_orders: int


class OrderResult(enum.Enum):
    """What an engine made of an order."""

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
        is_busy: Whether it carries out an order.
        orders: Orders accepted since its start.
    """

    weights: Mapping[str, int]
    is_busy: bool
    orders: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of what a cache holds.

    Attributes:
        is_held: Whether the part is held now.
        scope: Text under which it is shared.
        part: Id of the prompt part.
        tokens: Tokens held of it.
    """

    is_held: bool
    scope: str
    block_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheUpdate:
    """Changes of a cache since the last ones read.

    Attributes:
        epoch: Changes when the cache starts anew, empty.
        next: Where to read on.
        has_gap: Whether changes are missing.
        events: The changes, oldest first.
    """

    epoch: int
    next_since: int
    has_gap: bool
    events: tuple[CacheEvent, ...]


class EngineControl(abc.ABC):
    """Calls to engines and cache stores, beside the requests."""

    @abc.abstractmethod
    async def order_weights(
        self,
        endpoint: fleet.Endpoint,
        order: WeightsOrder,
        deadline: clocks.Deadline,
    ) -> OrderResult:
        """Orders an engine to load weights."""

    @abc.abstractmethod
    async def read_report(
        self, endpoint: fleet.Endpoint, deadline: clocks.Deadline
    ) -> EngineReport | None:
        """Returns an engine's report; None if there is none."""

    @abc.abstractmethod
    async def read_cache(
        self, address: str, since: int, until: clocks.Deadline
    ) -> CacheUpdate | None:
        """Returns what changed in a cache, once something has.

        Args:
            address: ``IP:PORT`` of the engine or store.
            since: Where to read on; 0 for all that it remembers.
            until: When to return without changes.
        """
