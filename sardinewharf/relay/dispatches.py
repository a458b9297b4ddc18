"""Collects what other daemons should know of this one's dispatches."""

import asyncio
import collections

from sardinewharf import clocks
from sardinewharf import daemons
from sardinewharf import routing

_MAX_PENDING = 256


class PendingDispatches(daemons.NewsBoard):
    """Dispatches that others have not been told of yet.

    Args:
        router: Takes in what others sent.
    """

    def __init__(self, router: routing.Router):
        self._router = router
        self._pending: collections.deque[routing.DispatchUpdate] = (
            collections.deque(maxlen=_MAX_PENDING)
        )
        self._urgent = asyncio.Event()

    def add(self, update: routing.DispatchUpdate | None) -> None:
        """Adds a dispatch that others should know of."""
        if update is None:
            return
        self._pending.append(update)
        if update.tokens >= routing.URGENT_TOKENS:
            self._urgent.set()

    async def wait_for_urgent(self) -> None:
        """Waits until an engine was sent a long prompt to compute."""
        await self._urgent.wait()

    def take_news(self) -> list[routing.DispatchUpdate]:
        """Returns the dispatches since the last call."""
        taken = list(self._pending)
        self._pending.clear()
        self._urgent.clear()
        return taken

    def note_news(self, update: routing.DispatchUpdate) -> None:
        """Takes in a dispatch of another daemon."""
        self._router.record_dispatch_update(update, clocks.read_monotonic())
