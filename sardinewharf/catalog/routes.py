"""Describes which requests go to which service, and what may be repeated."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether they may be repeated.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones may not, and
    ``STREAM`` ones may if their stream can be resumed.
    """

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
        kind: Whether its requests may be repeated.
        timeout_ms: Maximum time that a caller is kept waiting.
        target_ms: Target latency, within which a response is fully useful.
        priority: Priority of its requests, 0 first.
        splits: The services and their shares.
        max_attempts: Maximum number of endpoints that may run one request.
        is_public: Whether its requests need no key.
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
        """Whether a request may run more than once without harm."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE
