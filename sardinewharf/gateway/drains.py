"""Knows which engines are led away from, since they are to load weights."""

from sardinewharf import clocks
from sardinewharf import ids


class DrainTable:
    """Engines that are led away from, since they are about to load weights.

    Examples:
        >>> table = DrainTable()
        >>> table.drain(ids.EndpointId("e"), clocks.Deadline.after(1.0))
        >>> table.is_draining(ids.EndpointId("e"))
        True
        >>> table.end_drain(ids.EndpointId("e"))
        >>> table.is_draining(ids.EndpointId("e"))
        False
    """

    def __init__(self) -> None:
        self._own: dict[ids.EndpointId, clocks.Deadline] = {}
        self._reported: dict[ids.EndpointId, clocks.Deadline] = {}

    def drain(
        self, endpoint_id: ids.EndpointId, until: clocks.Deadline
    ) -> None:
        """Keeps requests from an engine."""
        self._own[endpoint_id] = until

    def end_drain(self, endpoint_id: ids.EndpointId) -> None:
        """Lets requests go to an engine again."""
        self._own.pop(endpoint_id, None)

    def record_reported(
        self, endpoint_ids: list[str], until: clocks.Deadline
    ) -> None:
        """Takes in which engines another gateway leads away from."""
        self._reported = {ids.EndpointId(e): until for e in endpoint_ids}

    def list_own(self) -> list[str]:
        """Returns the engines that this gateway leads away from."""
        self._own = {e: d for e, d in self._own.items() if not d.is_past()}
        return list(self._own)

    def is_draining(self, endpoint_id: ids.EndpointId) -> bool:
        """Returns whether requests are to keep away from an engine."""
        for table in (self._own, self._reported):
            until = table.get(endpoint_id)
            if until is not None and not until.is_past():
                return True
        return False
