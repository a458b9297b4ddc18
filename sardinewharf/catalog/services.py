"""Describes the services that endpoints belong to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of each model engine of a service.

    Attributes:
        slots: Number of requests that run concurrently.
        capacity_tokens: KV cache for running requests and cached prefixes, in
            tokens.
        token_bytes: Size of the KV cache of one token, in bytes.
        link_mbps: Speed of cache transfers, in Mbit/s.
        models: Names of the models served.
        event_readers: Maximum number of clients that read an engine's cache
            events.
    """

    slots: int
    capacity_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[str, ...]
    event_readers: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheStore:
    """A store that keeps KV cache outside of the engines.

    Attributes:
        name: Name of its service.
        address: ``IP:PORT``.
        failure_domain: Failure domain of the store.
        capacity_tokens: KV cache that it can keep, in tokens.
        link_mbps: Speed of cache transfers, in Mbit/s.
        event_readers: Maximum number of clients that read its cache events.
    """

    name: str
    address: str
    failure_domain: str
    capacity_tokens: int
    link_mbps: float
    event_readers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable endpoints.

    Attributes:
        name: Name of the service.
        max_connections: Connections that an endpoint accepts from all clients.
        engine: Capacity of each engine; None for an ordinary application.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
