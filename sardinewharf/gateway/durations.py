"""Measures how long requests take, to tell which can end in a given time."""

import collections
from collections.abc import Iterator
import contextlib
import math

from sardinewharf import clocks

# Number of finished requests of each route that are remembered.
_MAX_FINISHED = 64
# Share of a route's requests that are expected to end in the estimated time.
_QUANTILE = 0.95


class DurationTable:
    """Durations of the latest requests of each route, and of the running ones.

    Examples:
        >>> table = DurationTable()
        >>> table.estimate("search", now=9.0) is None
        True
        >>> table.record("search", began=1.0, now=1.5)
        >>> table.estimate("search", now=9.0)
        0.5
    """

    def __init__(self) -> None:
        self._finished: dict[str, collections.deque[float]] = {}
        self._running: dict[str, collections.Counter[float]] = {}

    def record(
        self, route: str, began: float, now: float | None = None
    ) -> None:
        """Records that a request that began at a time has finished now."""
        ended = clocks.read_monotonic() if now is None else now
        finished = self._finished.get(route)
        if finished is None:
            finished = collections.deque(maxlen=_MAX_FINISHED)
            self._finished[route] = finished
        finished.append(ended - began)

    @contextlib.contextmanager
    def track(self, route: str) -> Iterator[float]:
        """Counts a request as running; gives the time at which it began."""
        began = clocks.read_monotonic()
        running = self._running.setdefault(route, collections.Counter())
        running[began] += 1
        try:
            yield began
        finally:
            running[began] -= 1
            if not running[began]:
                del running[began]

    def estimate(self, route: str, now: float | None = None) -> float | None:
        """Returns in how many seconds nearly all requests of a route end.

        Running requests count with the time that they have taken so far, and
        only if that makes the estimate longer. The result is None if no request
        of the route has finished yet.
        """
        finished = self._finished.get(route)
        if not finished:
            return None
        at = clocks.read_monotonic() if now is None else now
        running = self._running.get(route, collections.Counter())
        taken = [at - began for began in running.elements()]
        return max(
            _find_quantile([*finished]), _find_quantile([*finished, *taken])
        )


def _find_quantile(durations: list[float]) -> float:
    """Returns the time in which nearly all of some requests ended."""
    return sorted(durations)[math.ceil(_QUANTILE * len(durations)) - 1]
