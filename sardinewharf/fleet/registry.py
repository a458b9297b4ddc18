"""Holds the registered endpoints and the weights that they last reported.

Examples:
    >>> registry = Registry()
    >>> endpoint = endpoints.Endpoint(
    ...     ids.EndpointId("e"), "s", "10.0.0.1:80", "fd", 4,
    ...     endpoints.EndpointState.READY, weights={"m": 1},
    ... )
    >>> registry.put(endpoint)
    >>> registry.record_weights(endpoint.id, "m", 2)
    >>> registry.find_weights(endpoint.id, "m")
    2
    >>> [e.id for e in registry.list_ready("s")]
    ['e']
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf.fleet import endpoints

# Incarnations that are no longer registered and are remembered.
_MAX_DEPARTURES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """The end of an incarnation's registration.

    Attributes:
        at: When it was removed or replaced, on the monotonic clock.
        was_leaving: Whether it stated before that the endpoint leaves.
    """

    at: float
    was_leaving: bool


def _ignore_renewal(
    former: endpoints.Endpoint, current: endpoints.Endpoint
) -> None:
    """Does nothing; the default callback for renewed endpoints."""


class Registry:
    """The registered endpoints, by id and by service.

    Attributes:
        changes: Number of changes to the registrations so far.
        on_renewal: Called with the former and the new registration if an
            endpoint has started again under the same id.
    """

    def __init__(self) -> None:
        self._endpoints: dict[ids.EndpointId, endpoints.Endpoint] = {}
        self._ready: dict[str, tuple[endpoints.Endpoint, ...]] = {}
        self._observed_versions: dict[tuple[ids.EndpointId, str], int] = {}
        self._departures: collections.OrderedDict[str, Departure] = (
            collections.OrderedDict()
        )
        self.changes = 0
        self.on_renewal: Callable[
            [endpoints.Endpoint, endpoints.Endpoint], None
        ] = _ignore_renewal

    def __len__(self) -> int:
        return len(self._endpoints)

    def put(self, endpoint: endpoints.Endpoint) -> None:
        """Adds or replaces a registration.

        After a restart the weights reported before are dropped. Those that a
        registration states count for as long as it does: it may be corrected.
        """
        known = self._endpoints.get(endpoint.id)
        if known is not None and known.started_ms != endpoint.started_ms:
            self._forget_weights(endpoint.id)
            self._record_departure(known)
            self.on_renewal(known, endpoint)
        self._endpoints[endpoint.id] = endpoint
        self._ready.clear()
        self.changes += 1

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Removes an endpoint that is gone."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._forget_weights(endpoint_id)
            self._record_departure(endpoint)
            self._ready.clear()
            self.changes += 1

    def keep_only(self, kept: Collection[ids.EndpointId]) -> None:
        """Removes all endpoints except those given."""
        for endpoint_id in set(self._endpoints) - set(kept):
            self.remove(endpoint_id)

    def find(self, endpoint_id: ids.EndpointId) -> endpoints.Endpoint | None:
        """Returns an endpoint's registration; None if it has none."""
        return self._endpoints.get(endpoint_id)

    def find_departure(self, incarnation: str) -> Departure | None:
        """Returns when an incarnation's registration ended; None if unknown."""
        return self._departures.get(incarnation)

    def list_all(self) -> list[endpoints.Endpoint]:
        """Returns all endpoints, including those that are leaving."""
        return list(self._endpoints.values())

    def list_ready(self, service: str) -> tuple[endpoints.Endpoint, ...]:
        """Returns the endpoints of a service that accept new requests."""
        ready = self._ready.get(service)
        if ready is None:
            ready = tuple(
                e
                for e in self._endpoints.values()
                if e.service == service
                and e.state is endpoints.EndpointState.READY
            )
            self._ready[service] = ready
        return ready

    def record_weights(
        self, endpoint_id: ids.EndpointId, model: str, version: int
    ) -> None:
        """Records a version that an endpoint reported; it never decreases."""
        key = (endpoint_id, model)
        if version > self._observed_versions.get(key, 0):
            self._observed_versions[key] = version

    def find_weights(self, endpoint_id: ids.EndpointId, model: str) -> int:
        """Returns the newest version that an endpoint reported; 0 if none.

        Its registration counts as a report.
        """
        observed = self._observed_versions.get((endpoint_id, model), 0)
        endpoint = self._endpoints.get(endpoint_id)
        stated = endpoint.weights.get(model, 0) if endpoint else 0
        return max(observed, stated)

    def _record_departure(self, endpoint: endpoints.Endpoint) -> None:
        was_leaving = endpoint.state is endpoints.EndpointState.LEAVING
        self._departures[endpoint.incarnation] = Departure(
            clocks.read_monotonic(), was_leaving
        )
        if len(self._departures) > _MAX_DEPARTURES:
            self._departures.popitem(last=False)

    def _forget_weights(self, endpoint_id: ids.EndpointId) -> None:
        for key in [k for k in self._observed_versions if k[0] == endpoint_id]:
            del self._observed_versions[key]
