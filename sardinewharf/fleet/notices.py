"""Combines what endpoints stated about the requests that they want."""

import math

from sardinewharf.fleet import departures as departures_lib
from sardinewharf.fleet import pauses as pauses_lib
from sardinewharf.fleet import registry as registry_lib


class NoticeTable:
    """The departures and pauses of endpoints.

    Attributes:
        departures: Endpoints that are leaving.
        pauses: Endpoints that want no requests for a while.
    """

    def __init__(self) -> None:
        self.departures = departures_lib.DepartureTable()
        self.pauses = pauses_lib.PauseTable()

    def may_send(self, incarnation: str, now: float) -> bool:
        """Returns whether an endpoint may be sent a request now."""
        return self.departures.may_send(
            incarnation, now
        ) and not self.pauses.is_paused(incarnation, now)

    def count_wait(self, incarnation: str, now: float) -> float:
        """Returns the seconds until an endpoint may be sent a request.

        They are infinite if it has left, or will have left by then.
        """
        end = self.pauses.find_end(incarnation, now)
        wait_s = 0.0 if end is None else end.remaining(now)
        if not self.departures.may_send(incarnation, now + wait_s):
            return math.inf
        return wait_s

    def forget_old(self, registry: registry_lib.Registry, now: float) -> None:
        """Forgets what no longer matters."""
        self.departures.forget_old(registry, now)
        self.pauses.forget_past(now)
