"""Describes the services that endpoints belong to."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What each model engine of a service offers.

    Attributes:
        slots: Requests that run at once.
        capacity_tokens: Tokens of running requests and cached prompt parts.
        token_bytes: KV cache of one token, in bytes.
        link_mbps: Speed of cache transfers, in Mbit/s.
        models: Names of the models served.
        event_readers: Readers of cache events that an engine serves at once.
    """

    slots: int
    capacity_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[str, ...]
    event_readers: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheStore:
    """A store of kept KV cache.

    Attributes:
        name: Name of its service.
        address: ``IP:PORT``.
        failure_domain: Where it stands.
        capacity_tokens: Tokens that it holds.
        link_mbps: Speed of transfers, in Mbit/s.
        event_readers: Readers of cache events that it serves at once.
    """

    name: str
    address: str
    failure_domain: str
    capacity_tokens: int
    link_mbps: float
    event_readers: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of like endpoints.

    Attributes:
        name: Name of the service.
        max_connections: Connections that an endpoint accepts from all callers.
        engine: The engines' sheet; None for plain applications.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
