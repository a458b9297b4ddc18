"""Describes the endpoints of services by their registrations."""

from collections.abc import Mapping
import dataclasses
import enum

from sardinewharf import ids


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint's registration.

    Attributes:
        id: Id of the endpoint; may stay the same after a restart.
        service: Name of its service.
        address: ``IP:PORT``.
        failure_domain: Failure domain of the endpoint.
        slots: Number of requests that it runs concurrently.
        state: Whether it accepts new requests.
        started_ms: When it started, in milliseconds since the epoch; 0 if it
            does not report it.
        weights: Version of its weights for each model.
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
        """Identifies this run of the endpoint; changes with each restart."""
        return f"{self.id}@{self.started_ms}"
