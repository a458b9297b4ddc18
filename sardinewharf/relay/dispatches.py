"""Collects the dispatches that this daemon reports to the other daemons."""

import asyncio
import collections

from sardinewharf import clocks
from sardinewharf import daemons
from sardinewharf import routing

_MAX_PENDING = 256


class PendingDispatches(daemons.DispatchBoard):
    """Dispatches that were not yet reported to the other daemons.

    Of more than ``_MAX_PENDING`` dispatches only the latest are kept.

    Args:
        router: Receives the dispatches that other daemons report.
    """

    def __init__(self, router: routing.Router):
        self._router = router
        self._pending: collections.deque[routing.DispatchUpdate] = (
            collections.deque(maxlen=_MAX_PENDING)
        )
        self._urgent = asyncio.Event()

    def add(self, update: routing.DispatchUpdate | None) -> None:
        """Adds a dispatch to report, unless it is None."""
        if update is None:
            return
        self._pending.append(update)
        if update.tokens >= routing.URGENT_TOKENS:
            self._urgent.set()

    async def wait_for_urgent(self) -> None:
        """Waits until a dispatch with a long prompt to compute is pending."""
        await self._urgent.wait()

    def take_updates(self) -> list[routing.DispatchUpdate]:
        """Removes and returns the dispatches added since the last call."""
        taken = list(self._pending)
        self._pending.clear()
        self._urgent.clear()
        return taken

    def record_update(self, update: routing.DispatchUpdate) -> None:
        """Records a dispatch that another daemon reported."""
        self._router.record_dispatch_update(update, clocks.read_monotonic())
