"""Sends urgent updates to all peers without overfilling the VM's link.

The load pattern: many small VMs have slow links that drop what exceeds a short
queue. A datagram for each of 72 peers at once filled such a link, and the peers
that came last in the list never received any: they went on sending requests to
engines that were being drained.

A broadcast is therefore sent in bursts, at a share of the link's bandwidth, in
random order. Updates that come up during a broadcast go out with the next one.

See Also:
    ``peers``, which also sends digests to a few peers at regular intervals.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

# Updates that come up within this time share a broadcast, in seconds.
_BATCHING_S = 0.005
# Share of a link's bandwidth that broadcasts may use.
_LINK_SHARE = 0.25
# A burst may occupy the link for this long, in seconds.
_BURST_S = 0.005
# Bytes that UDP, IP and Ethernet add to each datagram.
_HEADER_BYTES = 46
_BYTES_PER_S_PER_MBPS = 125_000


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastPace:
    """Bandwidth that broadcasts may use.

    Attributes:
        burst_bytes: Bytes that may be sent at once.
        bytes_per_s: Bytes per second between bursts.
    """

    burst_bytes: float
    bytes_per_s: float


def compute_pace(link_mbps: float) -> BroadcastPace:
    """Returns the pace of broadcasts on a link.

    Args:
        link_mbps: Bandwidth of the VM's link, in Mbit/s.

    Examples:
        >>> compute_pace(10.0)
        BroadcastPace(burst_bytes=6250.0, bytes_per_s=312500.0)
    """
    bytes_per_s = link_mbps * _BYTES_PER_S_PER_MBPS
    return BroadcastPace(bytes_per_s * _BURST_S, bytes_per_s * _LINK_SHARE)


class Broadcaster:
    """Sends the newest update to all peers whenever that is requested.

    Args:
        pace: Bandwidth that broadcasts may use.
        list_addresses: Returns the addresses of all peers.
        make_datagram: Returns the newest update; None if there is none to send.
        send: Sends a datagram to some addresses.
    """

    def __init__(
        self,
        pace: BroadcastPace,
        list_addresses: Callable[[], list[str]],
        make_datagram: Callable[[], bytes | None],
        send: Callable[[Iterable[str], bytes], None],
    ):
        self._pace = pace
        self._list_addresses = list_addresses
        self._make_datagram = make_datagram
        self._send = send
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Requests a broadcast, soon."""
        self._requested.set()

    async def run(self) -> None:
        """Sends the requested broadcasts, one after the other."""
        while True:
            await self._requested.wait()
            await asyncio.sleep(_BATCHING_S)
            self._requested.clear()
            try:
                await self._broadcast()
            except Exception:
                # The update is still to be sent when this is started again.
                self._requested.set()
                raise

    async def _broadcast(self) -> None:
        datagram = self._make_datagram()
        if datagram is None:
            return
        addresses = self._list_addresses()
        random.shuffle(addresses)
        size = len(datagram) + _HEADER_BYTES
        burst = max(1, int(self._pace.burst_bytes / size))
        for start in range(0, len(addresses), burst):
            batch = addresses[start : start + burst]
            self._send(batch, datagram)
            await asyncio.sleep(len(batch) * size / self._pace.bytes_per_s)
