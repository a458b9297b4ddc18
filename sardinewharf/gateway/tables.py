"""Holds what a gateway keeps for each endpoint or each service."""

from sardinewharf import balancing
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import memory


class ConnectionTable:
    """Connection pools by endpoint.

    Args:
        account: Counts the memory that responses take.
    """

    def __init__(self, account: memory.MemoryAccount):
        self._account = account
        self._pools: dict[tuple[ids.EndpointId, int], http1.Pool] = {}

    def find(self, endpoint: fleet.Endpoint, limit: int) -> http1.Pool:
        """Returns the pool of an endpoint's current incarnation.

        Args:
            endpoint: The endpoint.
            limit: Most connections that the pool may have from now on.
        """
        key = (endpoint.id, endpoint.started_ms)
        pool = self._pools.get(key)
        if pool is None or pool.address != endpoint.address:
            pool = http1.Pool(endpoint.address, limit, self._account)
            self._pools[key] = pool
        pool.limit = limit
        return pool

    def close_removed(self, registry: fleet.Registry) -> None:
        """Closes the pools of endpoints that were removed or restarted."""
        for key in list(self._pools):
            endpoint = registry.find(key[0])
            if endpoint is None or endpoint.started_ms != key[1]:
                self._pools.pop(key).close()


class RetryBudgetTable:
    """Retry budgets by service.

    Args:
        share: This gateway's share of each budget.
    """

    def __init__(self, share: limits.BudgetShare):
        self._share = share
        self._budgets: dict[str, limits.WindowBudget] = {}

    def find(self, service: str) -> limits.WindowBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = limits.WindowBudget(self._share)
            self._budgets[service] = budget
        return budget

    def set_share(self, share: limits.BudgetShare) -> None:
        """Changes this gateway's share of each budget."""
        self._share = share
        for budget in self._budgets.values():
            budget.share = share


class EstimatorTable:
    """Estimators of engines and prompts by service."""

    def __init__(self) -> None:
        self._estimators: dict[str, balancing.EngineEstimator] = {}

    def find(self, service: str) -> balancing.EngineEstimator:
        """Returns the estimator of a service."""
        estimator = self._estimators.get(service)
        if estimator is None:
            estimator = balancing.EngineEstimator()
            self._estimators[service] = estimator
        return estimator
