"""Tracks the engines that are drained before they load new weights."""

from collections.abc import Mapping

from sardinewharf import clocks
from sardinewharf import ids


class DrainTable:
    """Engines that get no new requests, since they are about to load weights.

    A drain ends by itself at its deadline, in case its end is not reported.

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
        """Starts to drain an engine, at most until a deadline."""
        self._own[endpoint_id] = until

    def end_drain(self, endpoint_id: ids.EndpointId) -> None:
        """Lets an engine get requests again."""
        self._own.pop(endpoint_id, None)

    def record_reported(self, drains: Mapping[str, clocks.Deadline]) -> None:
        """Replaces the drains that the rollout leader reports.

        Args:
            drains: Deadline of each drain by the id of the engine. A drain
                that was reported until a later deadline keeps that one.
        """
        self._reported = {
            ids.EndpointId(endpoint): max(
                until, self._reported.get(ids.EndpointId(endpoint), until)
            )
            for endpoint, until in drains.items()
        }

    def list_own(self) -> list[str]:
        """Returns the engines that this gateway drains."""
        return list(self.list_deadlines())

    def list_deadlines(self) -> dict[ids.EndpointId, clocks.Deadline]:
        """Returns the deadline of each of this gateway's drains."""
        self._own = {e: d for e, d in self._own.items() if not d.is_past()}
        return dict(self._own)

    def is_draining(self, endpoint_id: ids.EndpointId) -> bool:
        """Returns whether this or another gateway drains an engine."""
        for table in (self._own, self._reported):
            until = table.get(endpoint_id)
            if until is not None and not until.is_past():
                return True
        return False
