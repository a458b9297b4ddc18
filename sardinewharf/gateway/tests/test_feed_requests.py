"""Checks that responses to a feed are matched to its requests."""

import asyncio

from sardinewharf import clocks
from sardinewharf.gateway import feeds
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway.tests import stores


def make_feed(name):
    """Returns the feed of a process that has just started, and its messages."""
    replica = replica_lib.Replica(stores.MemoryLog())
    replica.members = {"vm-1": "a1", "vm-2": "a2"}
    replica.is_filled = True
    replica.record_confirmation(clocks.read_monotonic())
    feed = feeds.Feed(stores.make_settings(name), replica)
    feed.log.restart(0)
    sent = []
    feed.send = lambda address, message: sent.append(message)
    return feed, sent


async def test_a_response_to_a_former_process_confirms_nothing():
    """A restarted gateway took a late response for that to its own request.

    The numbers of requests began anew with each process. The response was
    dated from the new request, so that the replica looked more current than it
    was, and its changes were those since another revision.
    """
    responder, responses = make_feed("vm-2")
    former, former_requests = make_feed("vm-1")
    query = asyncio.ensure_future(former.query_peer("vm-2"))
    await asyncio.sleep(0)
    responder.respond(former_requests[0], "a1")
    query.cancel()
    restarted, _ = make_feed("vm-1")
    query = asyncio.ensure_future(restarted.query_peer("vm-2"))
    await asyncio.sleep(0)
    restarted.handle_response(responses[0])
    assert await query is None


async def test_a_late_response_is_not_that_to_the_next_request():
    """The same within one process."""
    responder, responses = make_feed("vm-2")
    feed, requests = make_feed("vm-1")
    query = asyncio.ensure_future(feed.query_peer("vm-2"))
    await asyncio.sleep(0)
    responder.respond(requests[0], "a1")
    assert await query is None
    query = asyncio.ensure_future(feed.query_peer("vm-2"))
    await asyncio.sleep(0)
    feed.handle_response(responses[0])
    assert await query is None
