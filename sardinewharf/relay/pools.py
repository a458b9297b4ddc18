"""Caches the engines that may serve each model or adapter."""

from sardinewharf import endpoints
from sardinewharf import routing
from sardinewharf.relay import requests


class PoolTable:
    """Pools of engines by target.

    The pools are derived again after the directory's version has changed.

    Args:
        directory: The endpoints.
    """

    def __init__(self, directory: endpoints.Directory):
        self._directory = directory
        self._version = -1
        self._pools: dict[requests.ModelTarget, routing.Pool] = {}

    def get_pool(self, target: requests.ModelTarget) -> routing.Pool:
        """Returns the engines that may serve a target."""
        if self._version != self._directory.version:
            self._pools.clear()
            self._version = self._directory.version
        pool = self._pools.get(target)
        if pool is None:
            serving = self._directory.list_serving(
                target.name, target.weights, target.min_engines
            )
            pool = routing.Pool(e.endpoint for e in serving)
            self._pools[target] = pool
        return pool
