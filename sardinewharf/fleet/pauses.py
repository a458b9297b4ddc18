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
        # When the endpoints said that they end.
        self._stated_ends: dict[str, clocks.Deadline] = {}
        # When each was recorded, on the monotonic clock and on that of the day.
        self._recorded_at: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def record(
        self,
        incarnation: str,
        until: clocks.Deadline,
        now: float,
        stated_until: clocks.Deadline | None = None,
    ) -> bool:
        """Records a pause; returns whether the endpoint had none before.

        Args:
            incarnation: The endpoint.
            until: When the pause ends.
            now: The time.
            stated_until: When the endpoint said that it ends, if that is later.
        """
        self._stated_ends[incarnation] = max(
            stated_until or until, self._stated_ends.get(incarnation, until)
        )
        end = self.find_end(incarnation, now)
        self._ends[incarnation] = until if end is None else max(end, until)
        self._recorded_at[incarnation] = (now, clocks.read_wall())
        return end is None

    def carry_over(
        self, former: str, current: str, started_at: float, since: float
    ) -> None:
        """Applies a pause to the incarnation that replaced another.

        An endpoint may state it before its new incarnation is known, so that it
        is recorded for the former one.

        Args:
            former: The former incarnation.
            current: The incarnation in its place.
            started_at: When the current one started, by the time of day.
            since: Since when it may have been unknown, on the monotonic clock.
        """
        if former not in self._ends:
            return
        at, time_of_day = self._recorded_at[former]
        if at >= since and time_of_day >= started_at:
            self.record(current, self._ends[former], at)

    def find_end(self, incarnation: str, now: float) -> clocks.Deadline | None:
        """Returns when an endpoint's pause ends; None if it has none."""
        end = self._ends.get(incarnation)
        return None if end is None or end.is_past(now) else end

    def is_paused(self, incarnation: str, now: float) -> bool:
        """Returns whether an endpoint wants no requests yet."""
        return self.find_end(incarnation, now) is not None

    def is_repeated(self, incarnation: str, now: float) -> bool:
        """Returns whether a statement repeats one whose pause was cut short."""
        stated = self._stated_ends.get(incarnation)
        if stated is None or stated.is_past(now):
            return False
        return not self.is_paused(incarnation, now)

    def forget_past(self, now: float) -> None:
        """Forgets the pauses that have ended."""
        self._ends = {
            incarnation: end
            for incarnation, end in self._ends.items()
            if not end.is_past(now)
        }
        self._stated_ends = {
            incarnation: end
            for incarnation, end in self._stated_ends.items()
            if not end.is_past(now)
        }
        self._recorded_at = {
            incarnation: times
            for incarnation, times in self._recorded_at.items()
            if incarnation in self._ends
        }
