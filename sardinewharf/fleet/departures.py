"""Holds the endpoints that state in their responses that they are leaving.

Such an endpoint serves for some time still, and its registration may say that
it is ready for longer than that. Nothing but a restart takes a statement back:
responses on several connections may overtake each other.

Examples:
    >>> table = DepartureTable()
    >>> endpoint = endpoints.Endpoint(
    ...     ids.EndpointId("e"), "s", "10.0.0.1:80", "fd", 4,
    ...     endpoints.EndpointState.READY, started_ms=7,
    ... )
    >>> table.record(endpoint, clocks.Deadline(2.0), now=0.0)
    True
    >>> table.is_leaving(endpoint.incarnation)
    True
    >>> table.may_send(endpoint.incarnation, now=1.0)
    True
    >>> table.may_send(endpoint.incarnation, now=2.0)
    False
"""

import dataclasses

from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf.fleet import endpoints
from sardinewharf.fleet import registry as registry_lib

# An endpoint without a registration is remembered for this long, in seconds.
# After an outage of the store, the same registration may come back.
_KEEP_UNREGISTERED_S = 600.0


@dataclasses.dataclass(slots=True)
class _Departure:
    """An endpoint that is leaving.

    Attributes:
        endpoint_id: Id of the endpoint.
        send_until: When the last request may be sent to it.
        keep_until: When it is forgotten unless it is registered.
        recorded_at: When it stated so, on the monotonic clock.
    """

    endpoint_id: ids.EndpointId
    send_until: clocks.Deadline
    keep_until: clocks.Deadline
    recorded_at: float


class DepartureTable:
    """Endpoints that stated that they are leaving, by incarnation."""

    def __init__(self) -> None:
        self._departures: dict[str, _Departure] = {}
        # Deadlines that count if the incarnation says that it leaves.
        self._carried: dict[str, clocks.Deadline] = {}

    def __len__(self) -> int:
        return len(self._departures)

    def record(
        self,
        endpoint: endpoints.Endpoint,
        send_until: clocks.Deadline,
        now: float,
    ) -> bool:
        """Records a statement; returns whether it is the endpoint's first.

        Later statements do not move the deadline.

        Args:
            endpoint: The endpoint that is leaving.
            send_until: When the last request may be sent to it.
            now: Monotonic time, in seconds.
        """
        if endpoint.incarnation in self._departures:
            return False
        carried = self._carried.pop(endpoint.incarnation, send_until)
        self._departures[endpoint.incarnation] = _Departure(
            endpoint.id,
            min(carried, send_until),
            clocks.Deadline.after(_KEEP_UNREGISTERED_S, now),
            now,
        )
        return True

    def carry_over(
        self,
        former: endpoints.Endpoint,
        current: endpoints.Endpoint,
        since: float,
    ) -> None:
        """Keeps a statement that may be that of the next incarnation.

        An endpoint may make it before its new incarnation is known, so that it
        is recorded for the former one. It counts from then on if the new one
        says the same.

        Args:
            former: The former incarnation.
            current: The incarnation in its place.
            since: Since when it may have been unknown, on the monotonic clock.
        """
        departure = self._departures.get(former.incarnation)
        if departure is not None and departure.recorded_at >= since:
            self._carried[current.incarnation] = departure.send_until

    def is_leaving(self, incarnation: str) -> bool:
        """Returns whether an endpoint stated that it is leaving."""
        return incarnation in self._departures

    def may_send(self, incarnation: str, now: float) -> bool:
        """Returns whether an endpoint may still be sent requests."""
        departure = self._departures.get(incarnation)
        return departure is None or not departure.send_until.is_past(now)

    def forget_old(self, registry: registry_lib.Registry, now: float) -> None:
        """Forgets endpoints that have not been registered for a long time."""
        self._carried = {
            incarnation: send_until
            for incarnation, send_until in self._carried.items()
            if not clocks.Deadline.after(
                _KEEP_UNREGISTERED_S, send_until.at
            ).is_past(now)
        }
        for incarnation, departure in list(self._departures.items()):
            endpoint = registry.find(departure.endpoint_id)
            if endpoint is not None and endpoint.incarnation == incarnation:
                departure.keep_until = clocks.Deadline.after(
                    _KEEP_UNREGISTERED_S, now
                )
            elif departure.keep_until.is_past(now):
                del self._departures[incarnation]
