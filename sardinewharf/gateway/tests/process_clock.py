"""Measures the time of this process without its waits for a processor.

Gateway, endpoints and callers of these tests share one process. On a busy
machine it waits for a processor while the deadlines of its requests and the
durations of its endpoints run down, so that the same test fails or passes with
the load of the machine.
"""

import os

from sardinewharf import clocks

# The second number is the time that this thread was ready to run, but waited
# for a processor, in nanoseconds.
_PATH = "/proc/thread-self/schedstat"


class ProcessClock:
    """A monotonic clock that stops while this thread waits for a processor.

    It advances while the thread runs and while it sleeps. It belongs to the
    thread that creates it. On a kernel without these statistics it is the
    monotonic clock itself.
    """

    def __init__(self):
        self._read_monotonic = clocks.read_monotonic
        self._file = _open_statistics()
        self._latest = self._read_monotonic()
        self._waited_before_s = self._read_waited()

    def _read_waited(self) -> float:
        if self._file is None:
            return 0.0
        return int(os.pread(self._file, 100, 0).split()[1]) / 1e9

    def read(self) -> float:
        """Returns the time in seconds; it never decreases."""
        # A wait between the two reads would set the clock back.
        now = self._read_monotonic()
        waited_s = self._read_waited() - self._waited_before_s
        self._latest = max(self._latest, now - waited_s)
        return self._latest

    def close(self) -> None:
        """Closes the kernel's file."""
        if self._file is not None:
            os.close(self._file)


def _open_statistics() -> int | None:
    try:
        return os.open(_PATH, os.O_RDONLY)
    except FileNotFoundError:
        return None
