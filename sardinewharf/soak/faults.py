"""Injects faults into a deployment, each for a span of time.

Each class defines what happens at the start and at the end of the span.
Planned operations, such as a graceful restart or a new configuration, are part
of the schedule too, but no invariant may be violated because of them.
"""

import abc
import dataclasses

from sardinewharf import clocks
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import operators


@dataclasses.dataclass(slots=True)
class Fault(abc.ABC):
    """A fault or a planned operation with a start and an end.

    Attributes:
        at: Start, in seconds since the start of the schedule.
        until: End, in seconds since the start of the schedule.
        is_planned: Whether it is a planned operation that callers must not
            notice.
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
        """Starts the fault."""

    def end(
        self,
        deployment: deployment_lib.Deployment,
        operator: operators.Operator,
    ):
        """Ends the fault; does nothing for faults that need no cleanup."""
        return

    def can_end(self, deployment: deployment_lib.Deployment) -> bool:
        """Returns whether ``end`` may be called now."""
        return True


@dataclasses.dataclass(slots=True)
class Pause(Fault):
    """Suspends a process and resumes it.

    Attributes:
        name: The process.
    """

    name: str

    def begin(self, deployment, operator):
        """Suspends the process."""
        deployment.processes[self.name].freeze()

    def end(self, deployment, operator):
        """Resumes the process."""
        deployment.processes[self.name].thaw()


@dataclasses.dataclass(slots=True)
class Kill(Fault):
    """Kills a process and starts it again.

    Attributes:
        name: The process.
    """

    name: str

    def begin(self, deployment, operator):
        """Kills the process."""
        deployment.kill(self.name)

    def end(self, deployment, operator):
        """Starts it again."""
        deployment.start_process(self.name)


@dataclasses.dataclass(slots=True)
class Restart(Fault):
    """Shuts a process down gracefully and starts it again once it has exited.

    Attributes:
        name: The process.
    """

    name: str
    is_planned = True

    def begin(self, deployment, operator):
        """Sends SIGTERM to the process."""
        deployment.terminate(self.name)

    def can_end(self, deployment):
        """Returns whether the process has exited."""
        return deployment.has_exited(self.name)

    def end(self, deployment, operator):
        """Starts it again."""
        deployment.start_process(self.name)


@dataclasses.dataclass(slots=True)
class Reload(Fault):
    """Makes a gateway reload its settings.

    Attributes:
        name: The gateway.
    """

    name: str
    is_planned = True

    def begin(self, deployment, operator):
        """Rewrites the settings file and sends SIGHUP."""
        deployment.reload(self.name)


@dataclasses.dataclass(slots=True)
class StandInFault(Fault):
    """Makes a test double inject one of its own faults.

    Attributes:
        harm: Field of the test double's ``Faults`` that is set.
        value: Value of the field.
    """

    harm: str
    value: object

    @abc.abstractmethod
    def set_faults(self, deployment, **faults: object):
        """Sets the given faults of the test double and clears all others."""

    def begin(self, deployment, operator):
        """Sets the fault."""
        self.set_faults(deployment, **{self.harm: self.value})

    def end(self, deployment, operator):
        """Clears all faults of the test double."""
        self.set_faults(deployment)


@dataclasses.dataclass(slots=True)
class LinkFault(StandInFault):
    """Makes the proxy cut, stall or delay a link, or drop its responses.

    Attributes:
        name: The link.
    """

    name: str

    def set_faults(self, deployment, **faults):
        """Sets the faults of the link."""
        deployment.set_link_faults(self.name, **faults)


@dataclasses.dataclass(slots=True)
class ServerFault(StandInFault):
    """Makes a server or engine refuse requests or send faulty responses.

    Attributes:
        name: The server or engine.
    """

    name: str

    def set_faults(self, deployment, **faults):
        """Sets the faults of the server."""
        deployment.set_server_faults(self.name, **faults)


@dataclasses.dataclass(slots=True)
class StoreFault(StandInFault):
    """Makes the store return errors, hang or drop responses."""

    def set_faults(self, deployment, **faults):
        """Sets the faults of the store."""
        deployment.set_store_faults(**faults)


@dataclasses.dataclass(slots=True)
class CompactStore(Fault):
    """Compacts the store, so that watches from old revisions fail."""

    def begin(self, deployment, operator):
        """Compacts the store."""
        deployment.compact_store()


@dataclasses.dataclass(slots=True)
class SetTargetVersion(Fault):
    """Sets a new target version of the model's weights."""

    is_planned = True

    def begin(self, deployment, operator):
        """Writes the target version."""
        operator.set_target_version()


@dataclasses.dataclass(slots=True)
class AddRoute(Fault):
    """Adds a route to the configuration."""

    is_planned = True

    def begin(self, deployment, operator):
        """Writes the configuration with the route."""
        operator.add_route()


@dataclasses.dataclass(slots=True)
class RevokeKey(Fault):
    """Revokes an API key."""

    is_planned = True

    def begin(self, deployment, operator):
        """Writes the configuration without the key."""
        operator.revoke_key()


def overlaps(
    faults: list[Fault], since: clocks.Deadline, until: clocks.Deadline
) -> bool:
    """Returns whether any fault overlaps a time span.

    Examples:
        >>> span = clocks.Deadline(1.0), clocks.Deadline(2.0)
        >>> overlaps([CompactStore(1.5, 1.6)], *span)
        True
        >>> overlaps([CompactStore(2.5, 2.6)], *span)
        False
    """
    return any(f.at <= until.at and f.until >= since.at for f in faults)
