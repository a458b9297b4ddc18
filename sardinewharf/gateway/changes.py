"""Types of what a gateway learns from the platform's store."""

import abc
import dataclasses

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import keyvalue

# Name of the office whose holder orders engines to load weights.
ROLLOUT_LEASE = "weights"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The configuration in force."""

    configuration: catalog.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersionChange:
    """The version of a model's weights that engines are to have.

    Attributes:
        model: Name of the model.
        version: The version.
    """

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChange:
    """An endpoint's registration."""

    endpoint: fleet.Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointGone:
    """An endpoint whose registration is gone, or names no endpoint to use."""

    id: ids.EndpointId


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChange:
    """A gateway's registration.

    Attributes:
        name: Name of its VM.
        address: ``IP:PORT`` for other gateways; empty if it is gone.
        failure_domain: Where it stands.
    """

    name: str
    address: str
    failure_domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderChange:
    """Who orders engines.

    Attributes:
        holder: Name of the gateway; empty if there is none.
    """

    holder: str


Change = (
    ConfigurationChange
    | TargetVersionChange
    | EndpointChange
    | EndpointGone
    | MemberChange
    | LeaderChange
)


class ChangeReader(abc.ABC):
    """Translates the store's entries."""

    @abc.abstractmethod
    def read_change(self, entry: keyvalue.Entry) -> Change | None:
        """Returns what an entry says; None if it is of no concern."""
