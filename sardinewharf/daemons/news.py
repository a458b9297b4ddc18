"""Tells other daemons which engines were sent prompts to compute.

References:
    docs/design/0006 gives what it buys, and what it would cost at the target
    size.
"""

import abc
import asyncio
import contextlib

from sardinewharf import clocks
from sardinewharf import routing
from sardinewharf import tasks
from sardinewharf.daemons import client
from sardinewharf.daemons import digests
from sardinewharf.daemons import gossip as gossip_lib
from sardinewharf.daemons.gen.wire import ttypes

_CALL_S = 2.0
_PERIOD_S = 0.25
# Urgent news wait for others this long.
_GATHER_S = 0.005
# Bounds the messages and the bytes a second, however many daemons there are.
_MESSAGES_PER_S = 40.0
_BYTES_PER_S = 4000.0
# Cold caches need more for a few seconds.
_BURST_BYTES = 65_536.0
_MOST_PEERS = 64
_MOST_TOLD = 32
_DISPATCH_BYTES = 180


class NewsBoard(abc.ABC):
    """Knows what this daemon sent, and hears what others did."""

    @abc.abstractmethod
    async def wait_for_urgent(self) -> None:
        """Waits until there is news that others need at once."""

    @abc.abstractmethod
    def take_news(self) -> list[routing.DispatchUpdate]:
        """Returns the dispatches since the last call."""

    @abc.abstractmethod
    def note_news(self, news: routing.DispatchUpdate) -> None:
        """Takes in a dispatch of another daemon."""


class NewsSender:
    """Sends this daemon's news, and takes in that of others.

    Args:
        gossip: Knows the other daemons.
        board: Knows what this daemon sent.
    """

    def __init__(self, gossip: gossip_lib.Gossip, board: NewsBoard):
        self._gossip = gossip
        self._board = board
        self._pace = routing.make_urgent_bucket(clocks.read_monotonic())
        self._tasks = tasks.TaskGroup()

    def start(self) -> None:
        """Starts to send."""
        self._tasks.start(self._run(), "news")

    async def close(self) -> None:
        """Stops sending."""
        await self._tasks.close()

    def merge(self, news: ttypes.News) -> None:
        """Takes in what another daemon sent."""
        now = clocks.read_monotonic()
        for told in news.dispatches:
            self._board.note_news(
                routing.DispatchUpdate(
                    told.endpoint,
                    told.tokens,
                    tuple(told.pieces),
                    now - told.age_ms / 1000,
                )
            )

    async def _run(self) -> None:
        credit = _BURST_BYTES
        while True:
            addresses = self._gossip.list_addresses(neighbours_only=False)
            addresses = addresses[:_MOST_PEERS]
            pause = max(_PERIOD_S, len(addresses) / _MESSAGES_PER_S)
            began = clocks.read_monotonic()
            await self._pause(pause, len(addresses))
            passed = clocks.read_monotonic() - began
            credit = min(_BURST_BYTES, credit + passed * _BYTES_PER_S)
            most = count_told(credit, len(addresses))
            dispatches = self._board.take_news()[:most]
            credit -= len(dispatches) * len(addresses) * _DISPATCH_BYTES
            if not dispatches:
                continue
            now = clocks.read_monotonic()
            news = ttypes.News([_encode(d, now) for d in dispatches])
            for address in addresses:
                self._tasks.start(self._tell(address, news), "news-tell")

    async def _pause(self, seconds: float, peers: int) -> None:
        """Waits for the next message, or less if there is urgent news."""
        until = clocks.Deadline.after(seconds)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._board.wait_for_urgent()
                await asyncio.sleep(_GATHER_S)
        left = until.remaining()
        now = clocks.read_monotonic()
        if left and self._pace.take(now, peers):
            await asyncio.sleep(left)

    async def _tell(self, address: str, news: ttypes.News) -> None:
        with contextlib.suppress(client.PeerError):
            await self._gossip.get_client(address).call(
                ttypes.Request(news=news), clocks.Deadline.after(_CALL_S)
            )


def count_told(credit: float, peers: int) -> int:
    """Returns how many dispatches the bytes saved up allow.

    Examples:
        >>> count_told(credit=65_536, peers=8)
        32
        >>> count_told(credit=4_000, peers=64)
        0
    """
    return min(_MOST_TOLD, int(credit / (max(1, peers) * _DISPATCH_BYTES)))


def _encode(news: routing.DispatchUpdate, now: float) -> ttypes.Dispatch:
    return ttypes.Dispatch(
        news.engine,
        news.tokens,
        digests.count_age_ms(news.sent_at, now),
        list(news.block_ids),
    )
