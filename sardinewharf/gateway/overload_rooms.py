"""Reads the room that the engines of a service have, as far as known."""

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import overload
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import selection
from sardinewharf.gateway import tables

# Reports of peers from which the load of engines is known, as a share of those
# that are expected.
_MIN_REPORTED_SHARE = 0.5


class RoomReader:
    """Reads the room at engines.

    Args:
        replica: This gateway's replica of the store.
        loads: Estimated load of each endpoint.
        selector: Lists the engines that may run a request.
        estimators: What is measured of engines and prompts.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        selector: selection.Selector,
        estimators: tables.EstimatorTable,
    ):
        self._replica = replica
        self._loads = loads
        self._selector = selector
        self._estimators = estimators

    def read(
        self, call: requests.Call, spec: catalog.EngineSpec, now: float
    ) -> overload.ServiceRoom | None:
        """Returns the room at the engines that may run a call.

        It is None if too few peers have reported their loads lately, or no
        engine may run the call.
        """
        peers = max(0, len(self._replica.members) - 1)
        reported = self._loads.count_reporting(now)
        if reported < _MIN_REPORTED_SHARE * peers:
            return None
        engines = self._selector.list_engines(call, now)
        if not engines:
            return None
        rate = self._estimators.find(call.service).read().prefill_tokens_per_ms
        return overload.ServiceRoom(
            tuple(
                overload.EngineRoom(
                    e.id,
                    spec.slots,
                    spec.capacity_tokens,
                    self._loads.read(e.id, now, rate),
                )
                for e in engines
            )
        )

    def compute_share(self, room: overload.ServiceRoom, waiting: int) -> float:
        """Returns this gateway's share of the free places.

        Args:
            room: The room.
            waiting: Number of requests that wait here.
        """
        own = sum(
            self._loads.count_own(ids.EndpointId(e.id)) for e in room.engines
        )
        return overload.compute_share(
            own, waiting, room.running, len(self._replica.members)
        )
