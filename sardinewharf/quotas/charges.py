"""Holds the charge of one request to a quota."""

from collections.abc import Callable
import dataclasses
import enum
import math

from sardinewharf import catalog
from sardinewharf.quotas import messages


class State(enum.Enum):
    """How far the charge of a request is."""

    PENDING = "pending"
    ADMITTED = "admitted"
    OVER_QUOTA = "over_quota"
    UNOWNED = "unowned"


@dataclasses.dataclass(slots=True, eq=False)
class Charge:
    """The charge of one request.

    Attributes:
        organisation: Name of the organisation.
        quota: Its quota.
        cost: Cost of the request.
        begun_at: When it was begun.
        state: Whether the request is admitted; ``UNOWNED`` if no owner
            responded and the request is refused.
        next_at: When the charge has to be advanced while it is pending.
        wait_s: Time after which the request would be admitted, if it is
            refused.
        owner: The gateway that decided; empty if none did.
        on_settled: Called when it is no longer pending.
        candidates: The gateways that are asked, the first of them now.
        ask: The last ask; None before the first one.
        asked_at: When it was first sent.
        give_up_at: When the next gateway is asked.
        has_restarted: Whether a gateway has said that one before it in rank
            keeps the quota.
        is_held: Whether it waits to ask the next gateway, not for a response.
        is_asking: Whether it awaits a response.
        holds: How often it was denied and waited.
    """

    organisation: str
    quota: catalog.Quota
    cost: int
    begun_at: float
    state: State = State.ADMITTED
    next_at: float = math.inf
    wait_s: float = 0.0
    owner: str = ""
    on_settled: Callable[[], None] | None = None
    candidates: list[str] = dataclasses.field(default_factory=list)
    ask: messages.Ask | None = None
    asked_at: float = -math.inf
    give_up_at: float = math.inf
    has_restarted: bool = False
    is_held: bool = False
    is_asking: bool = False
    holds: int = 0
