"""Defines a log line as it is read back from a log."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A log line.

    Attributes:
        time: Seconds since the epoch, on the clock of its VM.
        vm: Name of the VM.
        event: Kind of the event, the tag of its record.
        fields: All other fields.
    """

    time: float
    vm: str
    event: str
    fields: dict[str, object]

    def get(self, name: str) -> object:
        """Returns a field, or an empty string if the line lacks it."""
        return self.fields.get(name, "")
