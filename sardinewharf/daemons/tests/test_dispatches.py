"""Checks when dispatches are reported to other daemons."""

import asyncio

from sardinewharf import clocks
from sardinewharf import daemons
from sardinewharf import routing
from sardinewharf.relay import dispatches as dispatches_lib


class FakeClient:
    """Records the time and the dispatches of each call."""

    def __init__(self):
        self.calls = []

    async def call(self, request, deadline):
        self.calls.append((clocks.read_monotonic(), request.news.dispatches))


class FakeGossip:
    """Has a number of peers that share one client."""

    def __init__(self, peers):
        self.client = FakeClient()
        self._addresses = [f"127.0.0.1:{n}" for n in range(peers)]

    def list_addresses(self, same_domain_only):
        return self._addresses

    def get_client(self, address):
        return self.client


async def _measure_delays(tokens, peers, times=1):
    """Returns the seconds until all peers received each dispatch."""
    gossip = FakeGossip(peers)
    board = dispatches_lib.PendingDispatches(
        routing.Router(routing.AdaptivePolicy())
    )
    sender = daemons.DispatchSender(gossip, board)
    sender.start()
    delays = []
    for _ in range(times):
        now = clocks.read_monotonic()
        board.add(routing.DispatchUpdate("engine-1", tokens, (b"p",), now))
        count = len(gossip.client.calls) + peers
        async with asyncio.timeout(5.0):
            while len(gossip.client.calls) < count:
                await asyncio.sleep(0.002)
        delays.append(gossip.client.calls[-1][0] - now)
    await sender.close()
    return delays


async def test_long_prompts_are_reported_before_the_next_digest():
    """Guards against several daemons that choose the same idle engine.

    With cold caches, three daemons sent long prompts to one engine, as each
    of them did not know the dispatches of the others yet.
    """
    delays = await _measure_delays(routing.URGENT_TOKENS, peers=8, times=3)
    assert min(delays) < 0.1


async def test_short_prompts_wait_for_the_next_digest():
    delays = await _measure_delays(routing.URGENT_TOKENS - 1, peers=8)
    assert min(delays) > 0.1
