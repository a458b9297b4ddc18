"""Knows which engines are led away from, since they are to load weights."""

from sardinewharf import clocks
from sardinewharf import ids


class RollTable:
    """Engines that are led away from, since they are about to load weights.

    Examples:
        >>> table = RollTable()
        >>> table.lead_away(ids.EndpointId("e"), clocks.Deadline.after(1.0))
        >>> table.is_rolling(ids.EndpointId("e"))
        True
        >>> table.lead_back(ids.EndpointId("e"))
        >>> table.is_rolling(ids.EndpointId("e"))
        False
    """

    def __init__(self) -> None:
        self._own: dict[ids.EndpointId, clocks.Deadline] = {}
        self._heard: dict[ids.EndpointId, clocks.Deadline] = {}

    def lead_away(
        self, endpoint_id: ids.EndpointId, until: clocks.Deadline
    ) -> None:
        """Keeps requests from an engine."""
        self._own[endpoint_id] = until

    def lead_back(self, endpoint_id: ids.EndpointId) -> None:
        """Lets requests go to an engine again."""
        self._own.pop(endpoint_id, None)

    def hear(self, endpoint_ids: list[str], until: clocks.Deadline) -> None:
        """Takes in which engines another gateway leads away from."""
        self._heard = {ids.EndpointId(e): until for e in endpoint_ids}

    def list_own(self) -> list[str]:
        """Returns the engines that this gateway leads away from."""
        self._own = {e: d for e, d in self._own.items() if not d.is_past()}
        return list(self._own)

    def is_rolling(self, endpoint_id: ids.EndpointId) -> bool:
        """Returns whether requests are to keep away from an engine."""
        for table in (self._own, self._heard):
            until = table.get(endpoint_id)
            if until is not None and not until.is_past():
                return True
        return False
