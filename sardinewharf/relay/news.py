"""Collects what other daemons should know of this one's dispatches."""

import asyncio
import collections

from sardinewharf import clocks
from sardinewharf import daemons
from sardinewharf import routing

_MOST_KEPT = 256


class DispatchBoard(daemons.DispatchBoard):
    """Dispatches that others have not been told of yet.

    Args:
        router: Takes in what others sent.
    """

    def __init__(self, router: routing.Router):
        self._router = router
        self._news: collections.deque[routing.DispatchUpdate] = (
            collections.deque(maxlen=_MOST_KEPT)
        )
        self._urgent = asyncio.Event()

    def add(self, news: routing.DispatchUpdate | None) -> None:
        """Adds a dispatch that others should know of."""
        if news is None:
            return
        self._news.append(news)
        if news.tokens >= routing.URGENT_TOKENS:
            self._urgent.set()

    async def wait_for_urgent(self) -> None:
        """Waits until an engine was sent a long prompt to compute."""
        await self._urgent.wait()

    def take_updates(self) -> list[routing.DispatchUpdate]:
        """Returns the dispatches since the last call."""
        taken = list(self._news)
        self._news.clear()
        self._urgent.clear()
        return taken

    def record_update(self, news: routing.DispatchUpdate) -> None:
        """Takes in a dispatch of another daemon."""
        self._router.record_dispatch_update(news, clocks.read_monotonic())
