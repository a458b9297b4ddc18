"""Tests broadcasts to many peers over slow links.

The load pattern: a gateway on a link of 10 Mbit/s informs 72 or more peers at
once, again and again. The link drops what exceeds its queue.
"""

import asyncio

from sardinewharf import clocks
from sardinewharf.gateway import broadcasts

_LINK_MBPS = 10.0
_LINK_BYTES_PER_S = _LINK_MBPS * 125_000
_QUEUE_BYTES = 16_000
_DATAGRAM = b"d" * 250


class SlowLink:
    """A link with a short queue, which drops what exceeds it.

    Attributes:
        received: Addresses of the datagrams that were carried.
        dropped: Number of datagrams that were dropped.
    """

    def __init__(self):
        self.received = []
        self.dropped = 0
        self._queued_bytes = 0.0
        self._updated_at = clocks.read_monotonic()

    def send(self, addresses, datagram):
        for address in addresses:
            now = clocks.read_monotonic()
            sent = (now - self._updated_at) * _LINK_BYTES_PER_S
            self._queued_bytes = max(0.0, self._queued_bytes - sent)
            self._updated_at = now
            if self._queued_bytes + len(datagram) > _QUEUE_BYTES:
                self.dropped += 1
                continue
            self._queued_bytes += len(datagram)
            self.received.append(address)


def make_broadcaster(link, peers, datagram=_DATAGRAM):
    addresses = [f"10.0.0.{number}:1" for number in range(peers)]
    return broadcasts.Broadcaster(
        broadcasts.compute_pace(_LINK_MBPS),
        lambda: list(addresses),
        lambda: datagram,
        link.send,
    )


async def run_requests(broadcaster, requests, interval_s, seconds):
    task = asyncio.create_task(broadcaster.run())
    for _ in range(requests):
        broadcaster.request()
        await asyncio.sleep(interval_s)
    await asyncio.sleep(seconds)
    task.cancel()


async def test_a_broadcast_reaches_all_peers_over_a_slow_link():
    """The peers that came last in the list never heard of a drain.

    Of 72 peers, those of two failure domains went on sending to engines that
    were to load weights.
    """
    link = SlowLink()
    await run_requests(make_broadcaster(link, 194), 1, 0.0, 0.3)
    assert link.dropped == 0
    assert len(set(link.received)) == 194


async def test_updates_that_come_fast_share_broadcasts():
    link = SlowLink()
    await run_requests(make_broadcaster(link, 194), 100, 0.005, 0.3)
    assert link.dropped == 0
    times_sent = [link.received.count(a) for a in set(link.received)]
    assert len(times_sent) == 194
    assert min(times_sent) >= 2


async def test_the_last_of_many_updates_is_sent():
    link = SlowLink()
    contents = []
    broadcaster = make_broadcaster(link, 72)
    state = {"value": 0}

    def make_datagram():
        contents.append(state["value"])
        return _DATAGRAM

    broadcaster._make_datagram = make_datagram
    task = asyncio.create_task(broadcaster.run())
    for value in range(20):
        state["value"] = value
        broadcaster.request()
        await asyncio.sleep(0.003)
    await asyncio.sleep(0.3)
    task.cancel()
    assert contents[-1] == 19


async def test_nothing_is_sent_without_an_update():
    link = SlowLink()
    await run_requests(make_broadcaster(link, 5, datagram=None), 1, 0.0, 0.05)
    assert link.received == []
