"""Checks how a gateway follows a store that is slow or silent to it alone."""

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


class FakeStore(stores.FollowedStore):
    """A store whose watches bring one change, late, or nothing at all.

    Args:
        answer_s: Seconds that an answer takes; None for no answer.
    """

    def __init__(self, answer_s):
        self.answer_s = answer_s

    async def list_prefix(self, prefix, deadline):
        return keyvalue.Listing((), 1)

    async def watch_prefix(self, prefix, revision, until):
        limit = until.remaining() + 0.6
        if self.answer_s is None or self.answer_s > limit:
            await asyncio.sleep(limit)
            return keyvalue.Unavailable("no answer in time")
        await asyncio.sleep(self.answer_s)
        entry = keyvalue.Entry("members/vm-2", b"", 7)
        return keyvalue.Changes((entry,), 7)


class FakeReader(changes.ChangeReader):
    """Takes every entry for a gateway's registration."""

    def read_change(self, entry):
        return changes.MemberChange("vm-2", "127.0.0.1:1")


class MemoryLog(records.RecordSink):
    """A log that can be read."""

    def __init__(self):
        super().__init__(-1, "vm-1", records.SinkSettings())
        self.events = []

    def write(self, event):
        self.events.append(event)


@pytest.fixture
def log():
    return MemoryLog()


async def _follow(store, log, seconds):
    """Follows a store while other gateways tell of a newer revision."""
    replica = replica_lib.Replica(log)
    settings = stores.make_settings("vm-1")
    feed = feeds.Feed(settings, replica)
    synchronizer = sync.Synchronizer(store, FakeReader(), replica, feed, log)
    running = asyncio.create_task(synchronizer.run())
    until = clocks.Deadline.after(seconds)
    while not until.is_past() and not replica.members:
        synchronizer.record_newer_revision(7)
        await asyncio.sleep(0.05)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    return replica


async def test_a_slow_store_is_not_given_up_for_ever(log):
    """Watches were restarted each 0.6 s, and slower ones brought nothing."""
    replica = await _follow(FakeStore(answer_s=0.64), log, seconds=4.0)
    assert replica.revision == 7
    assert replica.members


async def test_the_loss_of_a_silent_store_is_written(log):
    """For 7.6 s of a hunted day no line told that the store was silent."""
    await _follow(FakeStore(answer_s=None), log, seconds=3.0)
    lost = [
        event
        for event in log.events
        if isinstance(event, records.events.DependencyLost)
    ]
    assert len(lost) == 1
    assert lost[0].detail == "no answer in time"
