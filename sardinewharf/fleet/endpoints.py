"""Describes the endpoints of services as they registered themselves."""

from collections.abc import Mapping
import dataclasses
import enum

from sardinewharf import ids


class EndpointState(enum.Enum):
    """Whether an endpoint takes new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint's registration.

    Attributes:
        id: Its id; a restart may keep it.
        service: Name of its service.
        address: ``IP:PORT``.
        failure_domain: Where it stands.
        slots: Requests that it runs at once.
        state: Whether it takes new requests.
        started_ms: When it started, in milliseconds since the epoch; 0 if it
            does not say.
        weights: Version of the weights by model.
    """

    id: ids.EndpointId
    service: str
    address: str
    failure_domain: str
    slots: int
    state: EndpointState
    started_ms: int = 0
    weights: Mapping[str, int] = dataclasses.field(default_factory=dict)

    @property
    def incarnation(self) -> str:
        """Names this run of the endpoint; a restart has another."""
        return f"{self.id}@{self.started_ms}"
