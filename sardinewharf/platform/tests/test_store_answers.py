"""Checks that late answers of the store are not taken for those of later calls.

An answer that arrives again where the next one is expected is told by what it
holds: the key, the prefix, the revision or the lease that the call was about.
"""

import pytest
import pytest_asyncio

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import platform
from sardinewharf.testbed import late_answers


class FakeStore:
    """Answers calls with the bodies that a test sets by the calls' targets."""

    def __init__(self):
        self.answers = {}
        self.server = late_answers.RepeatingServer(self._answer)

    def _answer(self, call):
        path = call.target.partition("?")[0]
        answer = self.answers.get(call.target) or self.answers[path]
        return late_answers.make_answer(*answer)


@pytest_asyncio.fixture
async def store():
    found = FakeStore()
    await found.server.start()
    yield found
    found.server.stop()


@pytest_asyncio.fixture
async def client(store):
    found = platform.StoreClient(store.server.address)
    yield found
    await found.close()


def after(seconds=1.0):
    return clocks.Deadline.after(seconds)


def make_item(key, revision, value="dg=="):
    return {"key": key, "value": value, "rev": revision, "store_revision": 9}


def set_answers(store):
    """Sets an answer to each kind of call."""
    store.answers = {
        "/-/kv-key?key=a": (200, make_item("a", 3)),
        "/-/kv-key?key=b": (200, make_item("b", 5)),
        "/-/kv-key?key=none": (404, None),
        "/-/kv-range": (
            200,
            {"items": [make_item("a", 3)], "store_revision": 9},
        ),
        "/-/kv-watch": (
            200,
            {"events": [make_item("a", 7)], "store_revision": 7},
        ),
        "/-/kv-txn": (200, {"rev": 8}),
        "/-/kv-lease": (200, {"lease": 41, "ttl_ms": 2_000}),
        "/-/kv-keep/41": (200, {"ttl_ms": 2_000}),
    }


CALLS = {
    "read": lambda client: client.read("b", after()),
    "list": lambda client: client.list_prefix("a", after()),
    "watch": lambda client: client.watch_prefix("a", 6, after()),
    "write": lambda client: client.write("a", b"v", 7, after()),
    "grant": lambda client: client.grant_lease(2.0, after()),
    "renew": lambda client: client.renew_lease("41", 2.0, after()),
}
RESULTS = {
    "read": keyvalue.Record(b"v", 5),
    "list": keyvalue.Listing((keyvalue.Entry("a", b"v", 3),), 9),
    "watch": keyvalue.Changes((keyvalue.Entry("a", b"v", 7),), 7),
    "write": keyvalue.Written(8),
}
FORMER = {
    "read of another key": lambda client: client.read("a", after()),
    "older watch": lambda client: client.watch_prefix("a", 5, after()),
    "older write": lambda client: client.write("a", b"u", 6, after()),
    "grant": lambda client: client.grant_lease(2.0, after()),
    "renewal": lambda client: client.renew_lease("41", 2.0, after()),
}


def is_true(name, result):
    """Returns whether a result is the call's own, or none."""
    if isinstance(result, keyvalue.Unavailable | keyvalue.WriteUnknown):
        return True
    if name in RESULTS:
        return result == RESULTS[name]
    return isinstance(result, keyvalue.Lease) and result.lease == "41"


@pytest.mark.parametrize("former", FORMER)
@pytest.mark.parametrize("call", CALLS)
async def test_a_repeated_answer_is_not_the_next_calls(
    store, client, former, call
):
    """A late answer of another call was believed.

    A key had another key's record, a lease had the number 0, so that a record
    that was to expire with it stayed for ever, and a write had an older
    write's revision.
    """
    set_answers(store)
    if former == "older watch":
        store.answers["/-/kv-watch"] = (
            200,
            {"events": [make_item("a", 6)], "store_revision": 6},
        )
    if former == "older write":
        store.answers["/-/kv-txn"] = (200, {"rev": 7})
    await FORMER[former](client)
    set_answers(store)
    result = await CALLS[call](client)
    assert is_true(call, result), result
    store.server.repeats = False
    result = await CALLS[call](client)
    if call in RESULTS:
        assert result == RESULTS[call]
    else:
        assert isinstance(result, keyvalue.Lease) and result.lease == "41"


async def test_an_undecodable_value_is_unavailable(store, client):
    """A value that is no base64 raised an error in the task that read it."""
    store.answers = {"/-/kv-key": (200, make_item("a", 3, "dg="))}
    found = await client.read("a", after())
    assert isinstance(found, keyvalue.Unavailable)


async def test_an_older_revision_is_not_the_answer_to_a_later_call(
    store, client
):
    """A late answer to the same read brought back what was known before."""
    store.answers = {"/-/kv-key": (200, make_item("a", 9))}
    store.server.repeats = False
    await client.read("a", after())
    older = make_item("a", 3) | {"store_revision": 8}
    store.answers = {"/-/kv-key": (200, older)}
    found = await client.read("a", after())
    assert isinstance(found, keyvalue.Unavailable)
    items = {"items": [], "store_revision": 8}
    store.answers = {"/-/kv-range": (200, items)}
    found = await client.list_prefix("", after())
    assert isinstance(found, keyvalue.Unavailable)
