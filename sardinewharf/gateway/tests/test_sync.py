"""Tests a gateway whose store is slow or unresponsive.

Other gateways already have a newer revision of the store.
"""

import asyncio
import contextlib

import pytest

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import records
from sardinewharf.gateway import changes
from sardinewharf.gateway import feeds
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import sync
from sardinewharf.gateway.tests import stores


class FakeStore(stores.WatchOnlyStore):
    """A store whose watches return one change late, or no response at all.

    Args:
        response_s: Seconds that a response takes; None for no response.
    """

    def __init__(self, response_s):
        self.response_s = response_s

    async def list_prefix(self, prefix, deadline):
        return keyvalue.Listing((), 1)

    async def watch_prefix(self, prefix, revision, until):
        limit = until.remaining() + 0.6
        if self.response_s is None or self.response_s > limit:
            await asyncio.sleep(limit)
            return keyvalue.Unavailable("no answer in time")
        await asyncio.sleep(self.response_s)
        entry = keyvalue.Entry("members/vm-2", b"", 7)
        return keyvalue.Changes((entry,), 7)


class FakeReader(changes.ChangeReader):
    """Decodes every entry as the registration of one gateway."""

    def read_change(self, entry):
        return changes.MemberChange("vm-2", "127.0.0.1:1")


@pytest.fixture
def log():
    return stores.MemoryLog()


async def _follow(store, log, seconds):
    """Watches a store while other gateways report a newer revision."""
    replica = replica_lib.Replica(log)
    settings = stores.make_settings("vm-1")
    feed = feeds.Feed(settings, replica)
    synchronizer = sync.Synchronizer(
        settings, store, FakeReader(), replica, feed, log
    )
    running = asyncio.create_task(synchronizer.run())
    until = clocks.Deadline.after(seconds)
    while not until.is_past() and not replica.members:
        synchronizer.record_newer_revision(7, "vm-2")
        await asyncio.sleep(0.05)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    return replica


async def test_a_slow_store_is_not_given_up_for_ever(log):
    """A store that takes longer than 0.6 s for a response is still read.

    Watches were abandoned and restarted every 0.6 s, so that slower ones never
    returned a change.
    """
    replica = await _follow(FakeStore(response_s=0.64), log, seconds=4.0)
    assert replica.revision == 7
    assert replica.members


async def test_the_loss_of_a_silent_store_is_written(log):
    """An unresponsive store is logged as a lost dependency.

    In a run with injected faults, the store was unresponsive for 7.6 s without
    any log record of it.
    """
    await _follow(FakeStore(response_s=None), log, seconds=3.0)
    lost = [
        event
        for event in log.events
        if isinstance(event, records.events.DependencyLost)
    ]
    assert len(lost) == 1
    assert lost[0].detail == "no answer in time"


class LateChangeStore(FakeStore):
    """A store with one change, near the end of the first watch.

    Attributes:
        calls: Number of watches.
    """

    def __init__(self):
        super().__init__(response_s=None)
        self.calls = 0

    async def watch_prefix(self, prefix, revision, until):
        self.calls += 1
        if revision < 7:
            await asyncio.sleep(until.remaining() - 0.1)
            return keyvalue.Changes((keyvalue.Entry("a", b"", 7),), 7)
        await asyncio.sleep(until.remaining())
        return keyvalue.Changes((), 7)


async def test_a_change_late_in_a_watch_does_not_let_the_replica_age(log):
    """Replicas of all gateways were 4.7 s old, and callers were refused.

    A watch that returns a change after 1.9 s confirms only that the replica was
    current when it was sent, and the next one took two seconds more.
    """
    store = LateChangeStore()
    replica = replica_lib.Replica(log)
    settings = stores.make_settings("vm-1")
    feed = feeds.Feed(settings, replica)
    synchronizer = sync.Synchronizer(
        settings, store, FakeReader(), replica, feed, log
    )
    running = asyncio.create_task(synchronizer.run())
    await asyncio.sleep(0.01)
    oldest_s = 0.0
    until = clocks.Deadline.after(4.5)
    while not until.is_past():
        oldest_s = max(oldest_s, replica.count_age())
        await asyncio.sleep(0.01)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    assert oldest_s < 3.0
    assert store.calls <= 5


class WithholdingStore(FakeStore):
    """A store whose first watch returns a revision without its change."""

    def __init__(self):
        super().__init__(response_s=0.0)
        self.calls = 0

    async def watch_prefix(self, prefix, revision, until):
        self.calls += 1
        if self.calls == 1:
            return keyvalue.Changes((), 7)
        if revision < 7:
            return await super().watch_prefix(prefix, revision, until)
        await asyncio.sleep(until.remaining())
        return keyvalue.Changes((), 7)


async def test_a_watch_that_withheld_a_change_confirms_nothing(log):
    """A replica counted as current though a watch had kept a change back.

    A watch without changes confirmed the replica at its end, even if another
    gateway had passed on a change meanwhile that the watch did not return.
    """
    replica = replica_lib.Replica(log)
    settings = stores.make_settings("vm-1")
    feed = feeds.Feed(settings, replica)
    synchronizer = sync.Synchronizer(
        settings, SilentWatchStore(), FakeReader(), replica, feed, log
    )
    await synchronizer.step()
    confirmed_at = replica.last_confirmed_at
    watching = asyncio.create_task(synchronizer.step())
    await asyncio.sleep(0.1)
    replica.revision = 7
    await watching
    assert replica.last_confirmed_at == confirmed_at


class SilentWatchStore(FakeStore):
    """A store whose watches never return a change."""

    def __init__(self):
        super().__init__(response_s=0.0)

    async def watch_prefix(self, prefix, revision, until):
        await asyncio.sleep(until.remaining())
        return keyvalue.Changes((), revision)


async def test_a_change_that_a_watch_withheld_is_read_by_the_next(log):
    """A change was lost for good if a watch ended before it was returned.

    The next watch continued from the revision that the store had, although no
    change up to it had been read.
    """
    replica = await _follow(WithholdingStore(), log, seconds=1.0)
    assert replica.members
