"""Injects faults into a deployment, each for a span of time.

A fault of this family says what it does at its start and at its end. Planned
work, such as a restart by signal or a new configuration, excuses nothing.
"""

import abc
import dataclasses

from sardinewharf import clocks
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import operators


@dataclasses.dataclass(slots=True)
class Fault(abc.ABC):
    """Something that goes wrong, or is changed, from outside.

    Attributes:
        at: Start in seconds of the soak.
        until: End in seconds of the soak.
    """

    at: float
    until: float
    is_planned = False

    @abc.abstractmethod
    def begin(
        self,
        deployment: deployment_lib.Deployment,
        operator: operators.Operator,
    ):
        """Starts it."""

    def end(
        self,
        deployment: deployment_lib.Deployment,
        operator: operators.Operator,
    ):
        """Ends it, unless it ends by itself."""
        return

    def can_end(self, deployment: deployment_lib.Deployment) -> bool:
        """Returns whether it may end now."""
        return True


@dataclasses.dataclass(slots=True)
class Pause(Fault):
    """A process is frozen and wakes again.

    Attributes:
        name: The process.
    """

    name: str

    def begin(self, deployment, operator):
        """Freezes it."""
        deployment.processes[self.name].freeze()

    def end(self, deployment, operator):
        """Lets it go on."""
        deployment.processes[self.name].thaw()


@dataclasses.dataclass(slots=True)
class Kill(Fault):
    """A process is killed and comes back.

    Attributes:
        name: The process.
    """

    name: str

    def begin(self, deployment, operator):
        """Kills it."""
        deployment.kill(self.name)

    def end(self, deployment, operator):
        """Starts it again."""
        deployment.start_process(self.name)


@dataclasses.dataclass(slots=True)
class Restart(Fault):
    """A process is told to leave and is started again once it has.

    Attributes:
        name: The process.
    """

    name: str
    is_planned = True

    def begin(self, deployment, operator):
        """Tells it to leave."""
        deployment.terminate(self.name)

    def can_end(self, deployment):
        """Returns whether the process has ended."""
        return deployment.has_exited(self.name)

    def end(self, deployment, operator):
        """Starts it again."""
        deployment.start_process(self.name)


@dataclasses.dataclass(slots=True)
class Reload(Fault):
    """A gateway is told that its settings have changed.

    Attributes:
        name: The gateway.
    """

    name: str
    is_planned = True

    def begin(self, deployment, operator):
        """Writes the settings anew."""
        deployment.reload(self.name)


@dataclasses.dataclass(slots=True)
class StandInFault(Fault):
    """Something errs, as one of its faults says, and is sound again.

    Attributes:
        harm: Name of the fault.
        value: Its strength.
    """

    harm: str
    value: object

    @abc.abstractmethod
    def set_faults(self, deployment, **faults: object):
        """Sets all faults; those that are not named are none."""

    def begin(self, deployment, operator):
        """Makes it err."""
        self.set_faults(deployment, **{self.harm: self.value})

    def end(self, deployment, operator):
        """Makes it sound again."""
        self.set_faults(deployment)


@dataclasses.dataclass(slots=True)
class LinkFault(StandInFault):
    """A link is cut, held, delayed or loses answers.

    Attributes:
        name: The link.
    """

    name: str

    def set_faults(self, deployment, **faults):
        """Sets the faults of the link."""
        deployment.set_link_faults(self.name, **faults)


@dataclasses.dataclass(slots=True)
class ServerFault(StandInFault):
    """A server answers wrongly.

    Attributes:
        name: The server.
    """

    name: str

    def set_faults(self, deployment, **faults):
        """Sets the faults of the server."""
        deployment.set_server_faults(self.name, **faults)


@dataclasses.dataclass(slots=True)
class StoreFault(StandInFault):
    """The store is out, silent, or loses answers."""

    def set_faults(self, deployment, **faults):
        """Sets the faults of the store."""
        deployment.set_store_faults(**faults)


@dataclasses.dataclass(slots=True)
class CompactStore(Fault):
    """The store forgets its history."""

    def begin(self, deployment, operator):
        """Drops the history."""
        deployment.compact_store()


@dataclasses.dataclass(slots=True)
class SetTargetVersion(Fault):
    """The operator names new weights."""

    is_planned = True

    def begin(self, deployment, operator):
        """Names them."""
        operator.set_target_version()


@dataclasses.dataclass(slots=True)
class AddRoute(Fault):
    """The operator writes a configuration with one more route."""

    is_planned = True

    def begin(self, deployment, operator):
        """Writes it."""
        operator.add_route()


@dataclasses.dataclass(slots=True)
class RevokeKey(Fault):
    """The operator takes a caller's key away."""

    is_planned = True

    def begin(self, deployment, operator):
        """Writes a configuration without the key."""
        operator.revoke_key()


def overlaps(
    faults: list[Fault], since: clocks.Deadline, until: clocks.Deadline
) -> bool:
    """Returns whether one of the faults touches a span.

    Examples:
        >>> span = clocks.Deadline(1.0), clocks.Deadline(2.0)
        >>> overlaps([CompactStore(1.5, 1.6)], *span)
        True
        >>> overlaps([CompactStore(2.5, 2.6)], *span)
        False
    """
    return any(f.at <= until.at and f.until >= since.at for f in faults)
