"""Defines the changes that a gateway reads from the platform's store."""

import abc
import dataclasses

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import keyvalue
from sardinewharf import leases
from sardinewharf import limits

# Name of the leader lease whose holder runs rolling updates of weights.
ROLLOUT_LEASE = "weights"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A new configuration of the fleet."""

    configuration: catalog.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersionChange:
    """A new target version of a model's weights.

    Attributes:
        model: Name of the model.
        version: The version that all engines are to load.
    """

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChange:
    """An endpoint that was registered, or whose registration changed."""

    endpoint: fleet.Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRemoval:
    """An endpoint whose registration was removed or cannot be used."""

    id: ids.EndpointId


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A gateway that was registered, or whose registration was removed.

    Attributes:
        name: Name of its VM.
        address: ``IP:PORT`` at which other gateways reach it; empty if the
            registration was removed.
        failure_domain: Failure domain of its VM.
    """

    name: str
    address: str
    failure_domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderChange:
    """A new holder of the leader lease for rolling updates.

    Attributes:
        tenure: The state of the lease's record.
        revision: Revision of the change, also if the record was removed.
    """

    tenure: leases.Tenure
    revision: int

    @property
    def holder(self) -> str:
        """Name of the gateway; empty if none holds the lease."""
        return self.tenure.holder


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectChange:
    """What the store holds of a suspect that crashes endpoints.

    Attributes:
        key: Key of the entry.
        revision: Revision of the entry.
        suspect: The suspect; None if the entry was removed or holds none.
    """

    key: str
    revision: int
    suspect: limits.Suspect | None


Change = (
    ConfigurationChange
    | TargetVersionChange
    | EndpointChange
    | EndpointRemoval
    | MemberChange
    | LeaderChange
    | SuspectChange
)


class ChangeReader(abc.ABC):
    """Decodes the store's entries."""

    @abc.abstractmethod
    def read_change(self, entry: keyvalue.Entry) -> Change | None:
        """Returns the change that an entry holds; None if it is irrelevant."""
