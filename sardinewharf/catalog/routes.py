"""Describes which requests go to which service, and how they may be tried."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated of a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """A service's share of a route.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with one prefix.

    Attributes:
        name: Name of the route.
        host: Value of the Host header, without port.
        prefix: First part of the path, with slashes at both ends.
        kind: What may be repeated.
        timeout_ms: Longest time a caller is kept waiting.
        target_ms: Time in which an answer is fully useful.
        priority: Rank, 0 first.
        splits: The services and their shares.
        max_attempts: Endpoints that may run one request.
        is_public: Whether it needs no key.
        has_prompt: Whether its requests describe a prompt.
        is_resumable: Whether its streams may be resumed.

    Examples:
        >>> splits = (Split("orders", 1.0),)
        >>> kind = RouteKind.STREAM
        >>> route = Route("r", "h", "/a/", kind, 1000, 100, 0, splits)
        >>> route.is_idempotent
        False
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    target_ms: int
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int = 1
    is_public: bool = False
    has_prompt: bool = False
    is_resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE
