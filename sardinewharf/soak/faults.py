"""Injects faults into a deployment, each for a span of time.

Each class defines what happens at the start and at the end of the span.
Planned operations, such as a graceful restart or a new configuration, are part
of the schedule too, but no invariant may be violated because of them.
"""

import abc
import dataclasses
import time

from sardinewharf import clocks
from sardinewharf.soak import crashes
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import odd_entries
from sardinewharf.soak import operators
from sardinewharf.testbed import gateway_harness

_RESTORE_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class Fault(abc.ABC):
    """A fault or a planned operation with a start and an end.

    Attributes:
        at: Start, in seconds since the start of the schedule.
        until: End, in seconds since the start of the schedule.
        is_planned: Whether it is a planned operation, or a pause so short,
            that callers must not notice it.
    """

    at: float
    until: float
    is_planned = False

    @property
    def target(self) -> str:
        """What it affects, which has one fault at a time.

        It is the process or link; faults without one, such as those of the
        store, have their class as target.
        """
        return getattr(self, "name", type(self).__name__)

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
class BusyRestart(Restart):
    """A graceful restart of a gateway to which callers send long requests."""


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
        return deployment.set_server_faults(self.name, **faults)

    def end(self, deployment, operator):
        """Clears the faults, once a server that crashed is back."""
        while not self._clear(deployment):
            if deployment.has_exited(self.name):
                return
            time.sleep(_RESTORE_INTERVAL_S)

    def _clear(self, deployment) -> bool:
        """Returns whether the server has cleared the faults."""
        return self.set_faults(deployment)


@dataclasses.dataclass(slots=True)
class LastingServerFault(ServerFault):
    """A fault of a server that outlives its restarts.

    Other faults of the server may overlap it.
    """

    @property
    def target(self):
        """The fault itself, beside others of the server."""
        return f"{self.name} {self.harm}"

    def begin(self, deployment, operator):
        """Sets the fault."""
        deployment.set_lasting_fault(self.name, self.harm, self.value)

    def _clear(self, deployment) -> bool:
        return deployment.set_lasting_fault(self.name, self.harm, None)


@dataclasses.dataclass(slots=True)
class Backoff(LastingServerFault):
    """Makes a server refuse some requests and ask for pauses."""

    is_planned = True


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


@dataclasses.dataclass(slots=True)
class ShortPause(Fault):
    """Makes servers or engines send nothing for about a second.

    Unlike suspended ones, they read, work and renew their entries meanwhile.

    Attributes:
        names: The servers or engines.
    """

    names: tuple[str, ...]
    is_planned = True

    def begin(self, deployment, operator):
        """Pauses the servers; they go on by themselves."""
        for name in self.names:
            deployment.pause_server(name, self.until - self.at)


@dataclasses.dataclass(slots=True)
class Drain(Fault):
    """Makes a server or engine register as draining, and as ready again.

    Attributes:
        name: The server or engine.
    """

    name: str
    is_planned = True

    def begin(self, deployment, operator):
        """Makes it register as draining."""
        deployment.set_server_state(self.name, "draining")

    def end(self, deployment, operator):
        """Makes it register as ready."""
        deployment.set_server_state(self.name, "ready")


@dataclasses.dataclass(slots=True)
class Leave(Fault):
    """Makes a server say that it leaves, go, and come back.

    Attributes:
        name: The server or engine.
        drains: Whether its entry says so at once, not only when it goes.
        keeps_id: Whether it comes back under the same id.
    """

    name: str
    drains: bool
    keeps_id: bool
    is_planned = True

    def begin(self, deployment, operator):
        """Makes it say in each response that it leaves."""
        deployment.set_server_faults(self.name, leaving=True)
        if self.drains:
            deployment.set_server_state(self.name, "draining")

    def end(self, deployment, operator):
        """Shuts it down gracefully, and starts it once it has exited."""
        deployment.terminate(self.name)
        while not deployment.has_exited(self.name):
            time.sleep(_RESTORE_INTERVAL_S)
        deployment.set_server_faults(self.name)
        deployment.start_process(self.name, keeps_id=self.keeps_id)


@dataclasses.dataclass(slots=True)
class CrashingRequest(Fault):
    """A caller sends requests that crash the servers that run them.

    Attributes:
        order: Body of the request that it repeats, or the part in common.
    """

    order: crashes.CrashOrder

    @property
    def target(self):
        """The request, since it may reach any server."""
        return f"crash {self.order.number}"

    def begin(self, deployment, operator):
        """Does nothing: the request's caller knows when to begin."""


@dataclasses.dataclass(slots=True)
class CrashRisk(Fault):
    """A server may crash, as such requests are sent to its service.

    Attributes:
        name: The server or engine.
    """

    name: str

    @property
    def target(self):
        """The crashes of a server, beside which it has other faults."""
        return f"crash of {self.name}"

    def begin(self, deployment, operator):
        """Does nothing: requests crash the server."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOverride:
    """An override of the configuration, and when it is written.

    Attributes:
        delay_s: Time since the override before it.
        override: What is replaced or dropped.
        value: The new value, or the name of what is dropped.
    """

    delay_s: float
    override: operators.Override
    value: str | int


@dataclasses.dataclass(slots=True)
class ChangeBurst(Fault):
    """Changes the configuration many times in quick succession.

    Attributes:
        overrides: The changes, in order.
    """

    overrides: tuple[TimedOverride, ...]
    is_planned = True

    def begin(self, deployment, operator):
        """Writes one configuration after the other."""
        for row in self.overrides:
            time.sleep(row.delay_s)
            operator.override(row.override, row.value)

    def end(self, deployment, operator):
        """Writes the configuration without overrides until it is accepted."""
        while not operator.end_overrides():
            time.sleep(_RESTORE_INTERVAL_S)


@dataclasses.dataclass(slots=True)
class OddEntry(Fault):
    """Writes an entry of a server or gateway that cannot be right.

    Attributes:
        prefix: Prefix of the key.
        name: Rest of the key.
        oddity: What is odd about the entry.
        service: Service of a server's entry.
    """

    prefix: str
    name: str
    oddity: odd_entries.Oddity
    service: str = gateway_harness.ORDERS
    is_planned = True

    @property
    def target(self):
        """The key."""
        return self.prefix + self.name

    def begin(self, deployment, operator):
        """Writes the entry."""
        value = odd_entries.make_value(self.oddity, self.prefix, self.service)
        deployment.put(self.target, value)

    def end(self, deployment, operator):
        """Removes the entry, if need be once the store responds again."""
        while not deployment.remove(self.target):
            time.sleep(_RESTORE_INTERVAL_S)


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
