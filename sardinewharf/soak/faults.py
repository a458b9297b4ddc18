"""Injects faults into a field, each for a span of time.

A fault of this family says what it does at its start and at its end. Planned
work, such as a restart by signal or a new configuration, excuses nothing.
"""

import abc
import dataclasses

from sardinewharf import clocks
from sardinewharf.soak import field as field_lib
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
    def begin(self, field: field_lib.Field, operator: operators.Operator):
        """Starts it."""

    def end(self, field: field_lib.Field, operator: operators.Operator):
        """Ends it, unless it ends by itself."""
        return

    def is_over(self, field: field_lib.Field) -> bool:
        """Returns whether it may end now."""
        return True


@dataclasses.dataclass(slots=True)
class Pause(Fault):
    """A process is frozen and wakes again.

    Attributes:
        name: The process.
    """

    name: str

    def begin(self, field, operator):
        """Freezes it."""
        field.processes[self.name].freeze()

    def end(self, field, operator):
        """Lets it go on."""
        field.processes[self.name].thaw()


@dataclasses.dataclass(slots=True)
class Kill(Fault):
    """A process is killed and comes back.

    Attributes:
        name: The process.
    """

    name: str

    def begin(self, field, operator):
        """Kills it."""
        field.kill(self.name)

    def end(self, field, operator):
        """Starts it again."""
        field.start_process(self.name)


@dataclasses.dataclass(slots=True)
class Restart(Fault):
    """A process is told to leave and is started again once it has.

    Attributes:
        name: The process.
    """

    name: str
    is_planned = True

    def begin(self, field, operator):
        """Tells it to leave."""
        field.terminate(self.name)

    def is_over(self, field):
        """Returns whether the process has ended."""
        return field.has_left(self.name)

    def end(self, field, operator):
        """Starts it again."""
        field.start_process(self.name)


@dataclasses.dataclass(slots=True)
class Reload(Fault):
    """A gateway is told that its settings have changed.

    Attributes:
        name: The gateway.
    """

    name: str
    is_planned = True

    def begin(self, field, operator):
        """Lays the settings anew."""
        field.reload(self.name)


@dataclasses.dataclass(slots=True)
class HarmLink(Fault):
    """A link is cut, held, delayed or loses answers.

    Attributes:
        name: The link.
        harm: Name of the proxy's fault.
        value: Its strength.
    """

    name: str
    harm: str
    value: object

    def begin(self, field, operator):
        """Harms the link."""
        field.set_link(self.name, **{self.harm: self.value})

    def end(self, field, operator):
        """Heals the link."""
        field.set_link(self.name)


@dataclasses.dataclass(slots=True)
class HarmServer(Fault):
    """A server answers wrongly.

    Attributes:
        name: The server.
        harm: Name of the server's fault.
        value: Its strength.
    """

    name: str
    harm: str
    value: object

    def begin(self, field, operator):
        """Makes the server err."""
        field.set_server(self.name, **{self.harm: self.value})

    def end(self, field, operator):
        """Makes it sound again."""
        field.set_server(self.name)


@dataclasses.dataclass(slots=True)
class HarmStore(Fault):
    """The store is out, silent, or loses answers.

    Attributes:
        harm: Name of the store's fault.
        value: Its strength.
    """

    harm: str
    value: object

    def begin(self, field, operator):
        """Harms the store."""
        field.set_store(**{self.harm: self.value})

    def end(self, field, operator):
        """Heals the store."""
        field.set_store()


@dataclasses.dataclass(slots=True)
class Compact(Fault):
    """The store forgets its history."""

    def begin(self, field, operator):
        """Drops the history."""
        field.compact_store()


@dataclasses.dataclass(slots=True)
class NameWeights(Fault):
    """The operator names new weights."""

    is_planned = True

    def begin(self, field, operator):
        """Names them."""
        operator.name_weights()


@dataclasses.dataclass(slots=True)
class AddRoute(Fault):
    """The operator writes a configuration with one more route."""

    is_planned = True

    def begin(self, field, operator):
        """Writes it."""
        operator.add_route()


@dataclasses.dataclass(slots=True)
class RevokeKey(Fault):
    """The operator takes a caller's key away."""

    is_planned = True

    def begin(self, field, operator):
        """Writes a configuration without the key."""
        operator.revoke_key()


def overlaps(
    faults: list[Fault], since: clocks.Deadline, until: clocks.Deadline
) -> bool:
    """Returns whether one of the faults touches a span.

    Examples:
        >>> span = clocks.Deadline(1.0), clocks.Deadline(2.0)
        >>> overlaps([Compact(1.5, 1.6)], *span)
        True
        >>> overlaps([Compact(2.5, 2.6)], *span)
        False
    """
    return any(f.at <= until.at and f.until >= since.at for f in faults)
