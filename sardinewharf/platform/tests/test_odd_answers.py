"""Checks that one odd part of an answer costs only itself.

One item of a listing, or one event of a cache, that could not be decoded made
the whole answer unusable, and it was requested again without end.
"""

import base64

import pytest

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import platform
from sardinewharf.testbed import late_answers

VALUE = base64.b64encode(b"1").decode()
ODD_ITEMS = {
    "a number as the value": {"key": "b", "rev": 8, "value": 1},
    "a lease beyond 64 bits": {"key": "b", "rev": 8, "lease": 10**30},
    "no base64": {"key": "b", "rev": 8, "value": "?"},
}
ODD_EVENTS = [[], [1], "x", None, [1, "+", "s", "p", 10**30, "m"], {"a": 1}]


class FakeServer:
    """Answers calls with the bodies that a test sets by the calls' paths."""

    def __init__(self):
        self.answers = {}
        self.server = late_answers.RepeatingServer(self._answer)

    def _answer(self, call):
        body = self.answers[call.target.partition("?")[0]]
        return late_answers.make_answer(200, body)


async def read(answer, path, call):
    server = FakeServer()
    await server.server.start()
    server.answers[path] = answer
    try:
        return await call(server.server.address)
    finally:
        server.server.stop()


def list_items(items):
    async def call(address):
        client = platform.StoreClient(address)
        found = await client.list_prefix("", clocks.Deadline.after(1.0))
        await client.close()
        return found

    return read({"items": items, "store_revision": 9}, "/-/kv-range", call)


def watch_items(items):
    async def call(address):
        client = platform.StoreClient(address)
        until = clocks.Deadline.after(1.0)
        found = await client.watch_prefix("", 6, until)
        await client.close()
        return found

    return read({"events": items, "store_revision": 9}, "/-/kv-watch", call)


@pytest.mark.parametrize("kind", ODD_ITEMS)
@pytest.mark.parametrize("request_items", [list_items, watch_items])
async def test_an_odd_item_costs_only_itself(request_items, kind):
    """Guards against a store that counts as lost for one item."""
    found = await request_items(
        [
            {"key": "a", "rev": 7, "value": VALUE},
            ODD_ITEMS[kind],
            {"key": "c", "rev": 9, "value": VALUE},
        ]
    )
    assert found.entries == (
        keyvalue.Entry("a", b"1", 7),
        keyvalue.Entry("b", b"", 8),
        keyvalue.Entry("c", b"1", 9),
    )


async def test_a_page_without_a_readable_item_is_no_listing():
    """Guards against pages that are requested without end."""
    found = await list_items([{"rev": 7}, 1, "x"])
    assert isinstance(found, keyvalue.Unavailable)


async def test_an_odd_event_of_a_cache_costs_only_itself():
    """Guards against a batch of events that is read again without end."""

    async def call(address):
        until = clocks.Deadline.after(1.0)
        return await platform.ServerControl().read_cache(address, 0, until)

    held = [1, "+", "s", "p", 5, "m"]
    answer = {"epoch": 1, "next": 9, "events": [held, *ODD_EVENTS, held]}
    update = await read(answer, "/-/kv-events", call)
    assert update.next_since == 9
    assert [event.tokens for event in update.events] == [5, 5]
