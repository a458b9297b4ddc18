"""Holds what a model request needs on its way to an engine."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import routing
from sardinewharf import tasks
from sardinewharf.relay import dispatches as dispatches_lib
from sardinewharf.relay import pools


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """How requests are carried.

    Attributes:
        retry_ratio: Retries allowed for each request.
        retry_reserve: Retries that may be saved up.
        failure_domain: Where this daemon stands.
    """

    retry_ratio: float = 0.1
    retry_reserve: float = 20.0
    failure_domain: ids.FailureDomainId = ids.FailureDomainId("")


async def _ignore_crash() -> None:
    """Tells nobody."""


class EngineAccess:
    """The engines, and what is known of them.

    Args:
        directory: The endpoints.
        engines: Speaks to model engines.
        router: Chooses among them.
        suspects: Requests that endpoints died of.
        slots: Keep suspects apart.
        settings: How requests are carried.

    Attributes:
        failure_domain: Where this daemon stands.
        on_crash: Called when an endpoint has died of a request.
    """

    def __init__(
        self,
        directory: endpoints.Directory,
        engines: endpoints.ModelEngine,
        router: routing.Router,
        suspects: limits.SuspectTable,
        slots: limits.SuspectSlots,
        settings: RelaySettings,
    ):
        self.directory = directory
        self.engines = engines
        self.router = router
        self.suspects = suspects
        self.slots = slots
        self.background = tasks.TaskGroup()
        self.pending_dispatches = dispatches_lib.PendingDispatches(router)
        self.pools = pools.PoolTable(directory)
        self.budget = limits.RetryBudget(
            settings.retry_ratio, settings.retry_reserve
        )
        self.failure_domain = settings.failure_domain
        self.on_crash: Callable[[], Awaitable[None]] = _ignore_crash
