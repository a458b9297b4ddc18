"""Tells which endpoints of a service may be sent a request, and when.

Endpoints that are ejected, asked for a pause, are leaving, or were tried before
are left out.
"""

import math

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf.gateway import requests


class EndpointAvailability:
    """Tells which endpoints may be sent requests.

    Args:
        registry: The known endpoints.
        health: Failures and ejections of each endpoint.
        notices: What endpoints stated about the requests that they want.
    """

    def __init__(
        self,
        registry: fleet.Registry,
        health: fleet.HealthTable,
        notices: fleet.NoticeTable,
    ):
        self._registry = registry
        self._health = health
        self._notices = notices

    def list_usable(
        self, call: requests.Call, now: float
    ) -> list[fleet.Endpoint]:
        """Returns the endpoints that a request may be sent to.

        If all are ejected, those that responded recently are returned. Engines
        that had no room for it are left out while others are usable.
        """
        ready = [
            endpoint
            for endpoint in self._registry.list_ready(call.service)
            if endpoint.id not in call.excluded
            and self._notices.may_send(endpoint.incarnation, now)
        ]
        healthy = [e for e in ready if self._health.may_try(e.incarnation, now)]
        if healthy and call.open_engines is not None:
            with_room = [e for e in healthy if e.id in call.open_engines]
            return with_room or healthy
        if healthy:
            return healthy
        return [
            e for e in ready if self._health.is_last_resort(e.incarnation, now)
        ]

    def prefer_staying(
        self, endpoints: list[fleet.Endpoint]
    ) -> list[fleet.Endpoint]:
        """Returns the endpoints that are not leaving; all if none stays."""
        staying = [
            e
            for e in endpoints
            if not self._notices.departures.is_leaving(e.incarnation)
        ]
        return staying or endpoints

    def may_send(self, endpoint: fleet.Endpoint) -> bool:
        """Returns whether an endpoint that was chosen may be sent a request.

        It may have stated since that it wants none.
        """
        now = clocks.read_monotonic()
        return self._notices.may_send(endpoint.incarnation, now)

    def list_waits(self, service: str) -> list[float]:
        """Returns the seconds until each endpoint wants requests again.

        They are infinite for one that has left.
        """
        now = clocks.read_monotonic()
        return [
            self._notices.count_wait(endpoint.incarnation, now)
            for endpoint in self._registry.list_ready(service)
        ]

    def find_next_chance(
        self, call: requests.Call
    ) -> tuple[ids.EndpointId, clocks.Deadline] | None:
        """Returns the endpoint to try again first, and from when on.

        It is one of those that had no room for the request before; None if none
        of them is ready any more, or they have all left by then.
        """
        chances = [
            (self._read_usable_at(endpoint.incarnation), endpoint.id)
            for endpoint in self._registry.list_ready(call.service)
            if endpoint.id in call.full
        ]
        usable_at, endpoint_id = min(chances, default=(math.inf, None))
        if math.isinf(usable_at):
            return None
        return endpoint_id, clocks.Deadline(usable_at)

    def _read_usable_at(self, incarnation: str) -> float:
        """Returns from when on an endpoint may be sent requests.

        It is infinite if the endpoint has left by then.
        """
        now = clocks.read_monotonic()
        wait_s = self._notices.count_wait(incarnation, now)
        return max(self._health.read_usable_at(incarnation), now + wait_s)

    def explain(self, service: str) -> str:
        """Returns how many endpoints are not available, and why."""
        now = clocks.read_monotonic()
        ready = self._registry.list_ready(service)
        ejected = sum(
            not self._health.may_try(e.incarnation, now) for e in ready
        )
        waits_s = self.list_waits(service)
        left = sum(math.isinf(wait_s) for wait_s in waits_s)
        paused = sum(0 < wait_s < math.inf for wait_s in waits_s)
        return (
            f"{len(ready)} endpoints ready, {ejected} of them ejected,"
            f" {left} have left, {paused} asked for a pause"
        )
