"""Bundles the dependencies and the shared state of the model relay."""

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
    """Settings of the model relay.

    Attributes:
        retry_ratio: Retries that each request adds to the retry budget.
        retry_reserve: Maximum number of unused retries in the budget.
        failure_domain: Failure domain of this daemon.
    """

    retry_ratio: float = 0.1
    retry_reserve: float = 20.0
    failure_domain: ids.FailureDomainId = ids.FailureDomainId("")


async def _ignore_crash() -> None:
    """Does nothing; the default callback for crashes."""


class EngineAccess:
    """The engines, their state and the limits on requests to them.

    Args:
        directory: The endpoints.
        engines: The client of the model engines.
        router: Chooses the engine of each request.
        suspects: Requests that ran on endpoints when these crashed.
        slots: Run at most one suspect request at a time on each engine.
        settings: The settings.

    Attributes:
        directory: The endpoints.
        engines: The client of the model engines.
        router: Chooses the engine of each request.
        suspects: Requests that ran on endpoints when these crashed.
        slots: Run at most one suspect request at a time on each engine.
        background: Tasks that outlive the request that started them.
        pending_dispatches: Dispatches to report to the other daemons.
        pools: The engines that may serve each model or adapter.
        budget: Limits retries over all requests.
        failure_domain: Failure domain of this daemon.
        on_crash: Called when an endpoint has crashed while it ran a request.
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
