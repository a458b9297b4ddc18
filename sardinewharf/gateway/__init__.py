"""Routes the requests of callers to the endpoints of services.

A request goes through ``app`` (reads it), ``admission`` (may it pass),
``dispatcher`` with ``selection`` and ``prompts`` (where it goes, and what may
be tried again) and ``relay`` with ``streams`` (its answer). ``service`` starts
all of it. Beside it run ``sync`` with ``replica`` (what the store says),
``peers`` (what other gateways say), ``caches`` (what the cache store holds) and
``rollout`` (weights of the engines).

Modules are imported by name: the platform's adapter needs ``settings`` and
``messages`` alone, and must not load the servers.
"""

__all__ = [
    "admission",
    "app",
    "caches",
    "dispatcher",
    "peers",
    "prompts",
    "relay",
    "replica",
    "rollout",
    "selection",
    "service",
    "streams",
    "sync",
]
