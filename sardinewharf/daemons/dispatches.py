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

_CALL_TIMEOUT_S = 2.0
_MIN_SEND_INTERVAL_S = 0.25
# Urgent news wait for others this long.
_URGENT_BATCH_S = 0.005
# Bounds the messages and the bytes a second, however many daemons there are.
_MESSAGES_PER_S = 40.0
_BYTES_PER_S = 4000.0
# Cold caches need more for a few seconds.
_BURST_BYTES = 65_536.0
_MAX_PEERS = 64
_MAX_DISPATCHES = 32
_DISPATCH_BYTES = 180


class DispatchBoard(abc.ABC):
    """Knows what this daemon sent, and hears what others did."""

    @abc.abstractmethod
    async def wait_for_urgent(self) -> None:
        """Waits until there is news that others need at once."""

    @abc.abstractmethod
    def take_updates(self) -> list[routing.DispatchUpdate]:
        """Returns the dispatches since the last call."""

    @abc.abstractmethod
    def record_update(self, update: routing.DispatchUpdate) -> None:
        """Takes in a dispatch of another daemon."""


class DispatchSender:
    """Sends this daemon's news, and takes in that of others.

    Args:
        gossip: Knows the other daemons.
        board: Knows what this daemon sent.
    """

    def __init__(self, gossip: gossip_lib.Gossip, board: DispatchBoard):
        self._gossip = gossip
        self._board = board
        self._urgent_bucket = routing.make_urgent_bucket(
            clocks.read_monotonic()
        )
        self._tasks = tasks.TaskGroup()

    def start(self) -> None:
        """Starts to send."""
        self._tasks.start(self._run(), "news")

    async def close(self) -> None:
        """Stops sending."""
        await self._tasks.close()

    def merge(self, message: ttypes.News) -> None:
        """Takes in what another daemon sent."""
        now = clocks.read_monotonic()
        for dispatch in message.dispatches:
            self._board.record_update(
                routing.DispatchUpdate(
                    dispatch.endpoint,
                    dispatch.tokens,
                    tuple(dispatch.pieces),
                    now - dispatch.age_ms / 1000,
                )
            )

    async def _run(self) -> None:
        credit = _BURST_BYTES
        while True:
            addresses = self._gossip.list_addresses(same_domain_only=False)
            addresses = addresses[:_MAX_PEERS]
            interval = max(
                _MIN_SEND_INTERVAL_S, len(addresses) / _MESSAGES_PER_S
            )
            started_at = clocks.read_monotonic()
            await self._wait_for_next_send(interval, len(addresses))
            elapsed = clocks.read_monotonic() - started_at
            credit = min(_BURST_BYTES, credit + elapsed * _BYTES_PER_S)
            limit = count_affordable(credit, len(addresses))
            dispatches = self._board.take_updates()[:limit]
            credit -= len(dispatches) * len(addresses) * _DISPATCH_BYTES
            if not dispatches:
                continue
            now = clocks.read_monotonic()
            message = ttypes.News([_encode(d, now) for d in dispatches])
            for address in addresses:
                self._tasks.start(self._send(address, message), "news-tell")

    async def _wait_for_next_send(self, seconds: float, peers: int) -> None:
        """Waits for the next message, or less if there is urgent news."""
        deadline = clocks.Deadline.after(seconds)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._board.wait_for_urgent()
                await asyncio.sleep(_URGENT_BATCH_S)
        remaining = deadline.remaining()
        now = clocks.read_monotonic()
        if remaining and self._urgent_bucket.take(now, peers):
            await asyncio.sleep(remaining)

    async def _send(self, address: str, message: ttypes.News) -> None:
        with contextlib.suppress(client.PeerError):
            await self._gossip.get_client(address).call(
                ttypes.Request(news=message),
                clocks.Deadline.after(_CALL_TIMEOUT_S),
            )


def count_affordable(credit: float, peers: int) -> int:
    """Returns how many dispatches the bytes saved up allow.

    Examples:
        >>> count_affordable(credit=65_536, peers=8)
        32
        >>> count_affordable(credit=4_000, peers=64)
        0
    """
    return min(_MAX_DISPATCHES, int(credit / (max(1, peers) * _DISPATCH_BYTES)))


def _encode(update: routing.DispatchUpdate, now: float) -> ttypes.Dispatch:
    return ttypes.Dispatch(
        update.engine,
        update.tokens,
        digests.compute_age_ms(update.sent_at, now),
        list(update.block_ids),
    )
