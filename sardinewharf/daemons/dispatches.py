"""Reports to other daemons which engines were sent prompts to compute.

References:
    docs/design/0006 describes the benefit, and the cost at the target size.
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
# An urgent update waits this long for others to be sent with it.
_URGENT_BATCH_S = 0.005
# Limits of the messages and bytes sent per second, regardless of the number
# of daemons.
_MESSAGES_PER_S = 40.0
_BYTES_PER_S = 4000.0
# With cold caches, more bytes are needed for a few seconds.
_BURST_BYTES = 65_536.0
# Maximum number of receivers and of dispatches of one message.
_MAX_PEERS = 64
_MAX_DISPATCHES = 32
# Approximate size of a dispatch in a message.
_DISPATCH_BYTES = 180


class DispatchBoard(abc.ABC):
    """Collects the dispatches to report, and records those of other daemons."""

    @abc.abstractmethod
    async def wait_for_urgent(self) -> None:
        """Waits until there is an update that must be sent at once."""

    @abc.abstractmethod
    def take_updates(self) -> list[routing.DispatchUpdate]:
        """Removes and returns the dispatches since the last call."""

    @abc.abstractmethod
    def record_update(self, update: routing.DispatchUpdate) -> None:
        """Records a dispatch that another daemon reported."""


class DispatchSender:
    """Sends this daemon's dispatches, and merges those of other daemons.

    Args:
        gossip: Provides the other daemons' addresses and clients.
        board: Collects this daemon's dispatches.
    """

    def __init__(self, gossip: gossip_lib.Gossip, board: DispatchBoard):
        self._gossip = gossip
        self._board = board
        self._urgent_bucket = routing.make_urgent_bucket(
            clocks.read_monotonic()
        )
        self._tasks = tasks.TaskGroup()

    def start(self) -> None:
        """Starts sending."""
        self._tasks.keep_running(self._run, "news")

    async def close(self) -> None:
        """Stops sending."""
        await self._tasks.close()

    def merge(self, message: ttypes.News) -> None:
        """Records the dispatches in a message of another daemon."""
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
        """Sends the pending dispatches at intervals, within the rate limits."""
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
        """Waits until the next message is due.

        An urgent update ends the wait early, if the rate limit of urgent
        messages allows it.

        Args:
            seconds: Time until the next regular message.
            peers: Number of daemons that receive it.
        """
        deadline = clocks.Deadline.after(seconds)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._board.wait_for_urgent()
                await asyncio.sleep(_URGENT_BATCH_S)
        remaining = deadline.remaining()
        now = clocks.read_monotonic()
        # ``take`` returns 0 if the rate limit allows the message.
        if remaining and self._urgent_bucket.take(now, peers):
            await asyncio.sleep(remaining)

    async def _send(self, address: str, message: ttypes.News) -> None:
        with contextlib.suppress(client.PeerError):
            await self._gossip.get_client(address).call(
                ttypes.Request(news=message),
                clocks.Deadline.after(_CALL_TIMEOUT_S),
            )


def count_affordable(credit: float, peers: int) -> int:
    """Returns how many dispatches the byte credit allows in one message.

    Args:
        credit: Bytes that may be sent now.
        peers: Number of daemons that receive the message.

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
