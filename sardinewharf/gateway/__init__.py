"""Routes the requests of callers to the endpoints of services.

A request passes through ``app`` (reads it), ``admission`` (finds its route and
checks its key), ``dispatcher`` with ``selection`` and ``prompts`` (chooses an
endpoint and decides about retries) and ``relay`` with ``streams`` (relays the
response). ``service`` starts everything. In the background run ``sync`` with
``replica`` (replicates the store), ``peers`` (exchanges state with the other
gateways), ``caches`` (tracks what the cache store holds), ``rollout`` (updates
the weights of the engines), ``registrar`` (registers the gateway in the store)
and ``maintenance`` (drops outdated state).

This package imports no modules itself: the platform's adapter needs only
``settings`` and ``messages``, and must not load the servers.
"""

__all__ = [
    "admission",
    "app",
    "caches",
    "dispatcher",
    "maintenance",
    "peers",
    "prompts",
    "registrar",
    "relay",
    "replica",
    "rollout",
    "selection",
    "service",
    "streams",
    "sync",
]
