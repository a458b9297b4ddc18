"""Holds until when endpoints that turned a request away want no others.

Of several statements the one that ends last counts, since responses on several
connections overtake each other. For the same reason a success ends no pause.

Examples:
    >>> table = PauseTable()
    >>> table.record("e", clocks.Deadline(3.0), now=0.0)
    True
    >>> table.record("e", clocks.Deadline(1.0), now=0.5)
    False
    >>> table.find_end("e", now=2.0)
    Deadline(at=3.0)
    >>> table.is_paused("e", now=3.0)
    False
"""

from sardinewharf import clocks


class PauseTable:
    """Pauses that endpoints asked for, by incarnation."""

    def __init__(self) -> None:
        self._ends: dict[str, clocks.Deadline] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def record(
        self, incarnation: str, until: clocks.Deadline, now: float
    ) -> bool:
        """Records a pause; returns whether the endpoint had none before."""
        end = self.find_end(incarnation, now)
        self._ends[incarnation] = until if end is None else max(end, until)
        return end is None

    def find_end(self, incarnation: str, now: float) -> clocks.Deadline | None:
        """Returns when an endpoint's pause ends; None if it has none."""
        end = self._ends.get(incarnation)
        return None if end is None or end.is_past(now) else end

    def is_paused(self, incarnation: str, now: float) -> bool:
        """Returns whether an endpoint wants no requests yet."""
        return self.find_end(incarnation, now) is not None

    def forget_past(self, now: float) -> None:
        """Forgets the pauses that have ended."""
        self._ends = {
            incarnation: end
            for incarnation, end in self._ends.items()
            if not end.is_past(now)
        }
