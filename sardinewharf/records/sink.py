"""Writes log records to a pipe without ever blocking.

Lines are dropped if the pipe is full, or if there are too many of one kind in a
second. The next line that is written states how many were dropped before it.

Examples:
    >>> sink = RecordSink(-1, "vm-1", SinkSettings(per_second=1))
    >>> sink.admit_line("request_answered", now=5.0)
    True
    >>> sink.admit_line("request_answered", now=5.5), sink.dropped
    (False, 1)
    >>> sink.admit_line("request_answered", now=6.1)
    True
"""

import dataclasses
import os

import msgspec

from sardinewharf import clocks
from sardinewharf.records import events

# Lines are buffered up to this size while the pipe is full, then dropped.
_MAX_WAITING_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class SinkSettings:
    """Limits on the volume of the log.

    Attributes:
        per_second: Maximum number of lines of each kind in a second.
    """

    per_second: int = 200


class RecordSink:
    """Writes records to a file descriptor, one JSON object on each line.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking.
        vm: Name of the VM, which each line contains.
        settings: Limits on the volume.

    Attributes:
        dropped: Number of lines dropped since the last one written.
        total_dropped: Number of lines dropped since the start.
        written: Number of lines written since the start.
    """

    def __init__(self, descriptor: int, vm: str, settings: SinkSettings):
        self._descriptor = descriptor
        self._vm = msgspec.json.encode(vm)
        self._settings = settings
        self._encoder = msgspec.json.Encoder()
        # The last second with a line and the number of lines in it, by kind.
        self._counts: dict[str, tuple[int, int]] = {}
        self._waiting = b""
        self.dropped = 0
        self.total_dropped = 0
        self.written = 0
        if descriptor >= 0:
            os.set_blocking(descriptor, False)

    def write(self, record: events.Record) -> None:
        """Writes a record, or drops and counts it."""
        now = clocks.read_wall()
        if not self.admit_line(type(record).__struct_config__.tag, now):
            return
        head = b'{"time":%.3f,"vm":%s,' % (now, self._vm)
        if self.dropped:
            head += b'"dropped_before":%d,' % self.dropped
        line = head + self._encoder.encode(record)[1:] + b"\n"
        if len(self._waiting) + len(line) > _MAX_WAITING_BYTES:
            self._drop()
            self._flush()
            return
        self.dropped = 0
        self.written += 1
        self._waiting += line
        self._flush()

    def admit_line(self, kind: str, now: float) -> bool:
        """Returns whether the rate limit admits a line of a kind; counts it."""
        second = int(now)
        at, count = self._counts.get(kind, (second, 0))
        if at != second:
            count = 0
        if count >= self._settings.per_second:
            self._drop()
            return False
        self._counts[kind] = (second, count + 1)
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self.total_dropped += 1

    def _flush(self) -> None:
        try:
            sent = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            # The pipe is full: the lines are written with the next record.
            return
        except OSError:
            # The reader has closed the pipe, so the lines can reach nobody.
            self._waiting = b""
            return
        self._waiting = self._waiting[sent:]
