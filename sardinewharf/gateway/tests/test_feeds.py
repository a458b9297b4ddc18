"""Checks how gateways pass on the store's changes.

It guards against a load pattern: if each of 85 gateways watches the store,
every change makes all of them call it again.
"""

import asyncio
import contextlib
import random

import pytest_asyncio

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import records
from sardinewharf.gateway import changes
from sardinewharf.gateway import digests
from sardinewharf.gateway import feeds
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import sync
from sardinewharf.gateway.tests import stores

_DOMAIN = "fd1"
_GATEWAYS = 6
# A change is to be in force within this time, in seconds.
_APPLY_S = settings_lib.Guarantees().apply_ms / 1000
# A silent watch ends this long after the time it was to last, in seconds.
_RESPONSE_GRACE_S = 0.6
# Time between two digests of a gateway, in seconds.
_DIGEST_INTERVAL_S = 0.2


class StoreState:
    """The entries of the fake store, which all gateways share."""

    def __init__(self):
        self.entries = []
        self._changed = asyncio.Event()

    @property
    def revision(self):
        return len(self.entries)

    def put(self, key, value):
        entry = keyvalue.Entry(key, value, self.revision + 1)
        self.entries.append(entry)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._changed.wait()


class FakeStore(stores.WatchOnlyStore):
    """One gateway's client of the store, which can be made unavailable."""

    def __init__(self, state):
        self._state = state
        self.calls = 0
        self.is_unavailable = False
        self.is_silent = False

    async def list_prefix(self, prefix, deadline):
        self.calls += 1
        state = self._state
        return keyvalue.Listing(tuple(state.entries), state.revision)

    async def watch_prefix(self, prefix, revision, until):
        self.calls += 1
        if self.is_unavailable:
            return keyvalue.Unavailable("unavailable")
        if self._state.revision <= revision:
            await self._state.wait(until.remaining())
        if self.is_silent:
            await asyncio.sleep(until.remaining() + _RESPONSE_GRACE_S)
            return keyvalue.Unavailable("no answer in time")
        if self.is_unavailable:
            return keyvalue.Unavailable("unavailable")
        newer = tuple(e for e in self._state.entries if e.revision > revision)
        return keyvalue.Changes(newer, self._state.revision)


class FakeReader(changes.ChangeReader):
    """Decodes registrations of gateways, and configurations."""

    def read_change(self, entry):
        if entry.key.startswith("member/"):
            name = entry.key.removeprefix("member/")
            return changes.MemberChange(name, name, _DOMAIN)
        return changes.ConfigurationChange(
            catalog.Configuration(version=entry.revision)
        )


class Gateway:
    """One gateway's replica, feed and synchronizer."""

    def __init__(self, name, state, network):
        log = records.RecordSink(-1, name, records.SinkSettings())
        settings = stores.make_settings(name, _DOMAIN)
        self.name = name
        self.network = network
        self.store = FakeStore(state)
        self.replica = replica_lib.Replica(log)
        self.feed = feeds.Feed(settings, self.replica)
        self.feed.send = self._send
        self.synchronizer = sync.Synchronizer(
            settings, self.store, FakeReader(), self.replica, self.feed, log
        )
        self.task = None

    def _send(self, address, message):
        loop = asyncio.get_running_loop()
        loop.call_soon(self.network[address].receive, message, self.name)

    def receive(self, message, sender):
        if self.task is None:
            return
        if isinstance(message, digests.FeedRequest):
            self.feed.respond(message, sender)
        else:
            self.feed.handle_response(message)

    def start(self):
        self.task = asyncio.create_task(self.synchronizer.run())

    async def stop(self):
        task, self.task = self.task, None
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


@pytest_asyncio.fixture
async def fleet():
    state = StoreState()
    network = {}
    for number in range(_GATEWAYS):
        name = f"vm-{number}"
        state.put(f"member/{name}", b"")
        network[name] = Gateway(name, state, network)
    found = list(network.values())
    for gateway in found:
        gateway.state = state
        gateway.start()
    await asyncio.sleep(0.1)
    yield found
    for gateway in found:
        await gateway.stop()


def split_watchers(fleet):
    """Returns the gateways that watch the store, and the followers."""
    followers = [g for g in fleet if g.feed.is_follower()]
    return [g for g in fleet if g not in followers], followers


async def wait_for_version(gateways, version, seconds):
    """Waits until all gateways have a version of the configuration."""
    async with asyncio.timeout(seconds):
        while any(g.replica.configuration.version < version for g in gateways):
            await asyncio.sleep(0.01)


async def test_few_gateways_watch_for_all(fleet):
    watchers, followers = split_watchers(fleet)
    assert len(watchers) == 2
    calls = [g.store.calls for g in followers]
    for _ in range(5):
        fleet[0].state.put("config", b"c")
        await wait_for_version(fleet, fleet[0].state.revision, seconds=0.8)
    assert [g.store.calls for g in followers] == calls
    assert all(g.replica.count_age() < 3.0 for g in followers)


async def test_followers_watch_when_nobody_does(fleet):
    """Both watchers of a failure domain may crash at once."""
    watchers, followers = split_watchers(fleet)
    for gateway in watchers:
        await gateway.stop()
    fleet[0].state.put("config", b"c")
    await wait_for_version(followers, fleet[0].state.revision, seconds=1.5)


async def test_followers_leave_watchers_that_are_behind(fleet):
    watchers, followers = split_watchers(fleet)
    for gateway in watchers:
        gateway.store.is_unavailable = True
    await asyncio.sleep(2.6)
    fleet[0].state.put("config", b"c")
    await wait_for_version(fleet, fleet[0].state.revision, seconds=2.0)
    assert followers


async def test_a_gateway_without_the_store_lives_by_others(fleet):
    """A gateway that the store rejects gets its changes from other gateways.

    Three gateways that the store rejected refused all callers.
    """
    watchers, _ = split_watchers(fleet)
    watchers[0].store.is_unavailable = True
    await asyncio.sleep(2.5)
    fleet[0].state.put("config", b"c")
    await wait_for_version(watchers, fleet[0].state.revision, seconds=2.0)
    assert watchers[0].replica.count_age() < 3.0


async def test_changes_reach_all_while_the_watchers_have_no_store(fleet):
    """Gateways without the store must not live by each other.

    The load pattern: the store rejects some gateways for seconds. Two of them
    asked each other, each the last one to have responded, and followers asked
    watchers that had their changes from followers. Nobody saw a change until
    all replicas were too old to be used.
    """
    watchers, _ = split_watchers(fleet)
    for gateway in watchers:
        gateway.store.is_unavailable = True
    await asyncio.sleep(2.1)
    for _ in range(12):
        fleet[0].state.put("config", b"c")
        await wait_for_version(fleet, fleet[0].state.revision, seconds=2.0)
        await asyncio.sleep(0.3)


async def test_of_two_responses_the_one_with_the_store_is_used(fleet):
    """A gateway kept to the peer that had responded last, however old."""
    watchers, followers = split_watchers(fleet)
    requester, other = watchers
    for gateway in fleet:
        await gateway.stop()
        gateway.task = asyncio.current_task()
        gateway.feed.has_store_contact = False
    followers[0].feed.has_store_contact = True
    requester.feed._last_responder = other.name
    names = [other.name, followers[0].name]
    update = await requester.feed._query_best(names)
    for gateway in fleet:
        gateway.task = None
    assert update.has_store_contact


async def test_a_change_is_in_force_in_time_while_watchers_hear_nothing(fleet):
    """Followers had a configuration later than the operators guarantee.

    The store fell silent for the watchers of a failure domain. They counted as
    having contact until their watch ended, and followers took updates that had
    been confirmed up to 2.5 s ago, whatever time the settings allowed.
    """
    watchers, followers = split_watchers(fleet)
    fleet[0].state.put("config", b"c")
    await wait_for_version(fleet, fleet[0].state.revision, seconds=0.8)
    for gateway in watchers:
        gateway.store.is_silent = True
    await asyncio.sleep(0.05)
    fleet[0].state.put("config", b"d")
    await wait_for_version(followers, fleet[0].state.revision, _APPLY_S)


async def test_changes_that_others_have_are_requested_from_them(fleet):
    """Followers waited for their watchers, though others had the change.

    Digests stated a newer revision, but only gateways that watch the store made
    use of that.
    """
    watchers, followers = split_watchers(fleet)
    for gateway in fleet:
        gateway.store.is_silent = gateway is not followers[0]
    followers[0].synchronizer._watches_until = clocks.Deadline.after(9.0)
    await asyncio.sleep(0.4)
    fleet[0].state.put("config", b"c")
    sending = [asyncio.create_task(send_digests(g, fleet)) for g in fleet]
    seconds = _APPLY_S / 2
    await wait_for_version(followers, fleet[0].state.revision, seconds)
    for task in sending:
        task.cancel()


async def send_digests(sender, fleet):
    """States a gateway's revision to all others, as its digests do."""
    while True:
        for gateway in fleet:
            if gateway.replica.revision < sender.replica.revision:
                gateway.synchronizer.record_newer_revision(
                    sender.replica.revision, sender.name
                )
        await asyncio.sleep(_DIGEST_INTERVAL_S)


async def test_a_change_that_fits_no_response_is_read_from_the_store(fleet):
    _, followers = split_watchers(fleet)
    fleet[0].state.put("config", random.Random(1).randbytes(50_000))
    await wait_for_version(fleet, fleet[0].state.revision, seconds=1.0)
    assert all(g.replica.count_age() < 3.0 for g in followers)


async def test_a_change_of_many_datagrams_is_passed_on(fleet):
    """A change larger than one datagram reaches gateways without the store.

    A gateway that could not reach the store refused all callers, because a
    configuration never fitted a response.
    """
    watchers, followers = split_watchers(fleet)
    for gateway in [watchers[0], followers[0]]:
        gateway.store.is_unavailable = True
    await asyncio.sleep(2.5)
    fleet[0].state.put("config", random.Random(1).randbytes(12_000))
    await wait_for_version(fleet, fleet[0].state.revision, seconds=2.0)
    assert all(g.replica.count_age() < 3.0 for g in fleet)


async def test_a_change_of_many_datagrams_is_read_by_few(fleet):
    _, followers = split_watchers(fleet)
    calls = [g.store.calls for g in followers]
    fleet[0].state.put("config", random.Random(1).randbytes(12_000))
    await wait_for_version(fleet, fleet[0].state.revision, seconds=1.0)
    assert [g.store.calls for g in followers] == calls


async def test_a_response_that_lost_a_datagram_is_requested_again(fleet):
    _, followers = split_watchers(fleet)
    requester = followers[0]
    receive = requester.receive
    lost = []

    def lose_one(message, sender):
        is_chunk = (
            isinstance(message, digests.FeedResponse) and message.chunk_index
        )
        if is_chunk and not lost:
            lost.append(message)
            return
        receive(message, sender)

    requester.receive = lose_one
    fleet[0].state.put("config", random.Random(1).randbytes(12_000))
    await wait_for_version(fleet, fleet[0].state.revision, seconds=2.0)
    assert lost


def test_of_the_changes_of_a_key_the_last_is_kept():
    log = feeds.ChangeLog()
    log.restart(revision=1)
    log.add([keyvalue.Entry("a", b"1", 2), keyvalue.Entry("b", b"1", 3)], 3)
    log.add([keyvalue.Entry("a", b"2", 4)], 4)
    assert [e.revision for e in log.list_since(1)] == [3, 4]
    assert [e.revision for e in log.list_since(3)] == [4]


def test_a_log_that_is_full_never_hides_a_change():
    """Entries out of order could hide a change from followers for good.

    The revision of the entry that was dropped last counted as the one from
    which the log is complete, also if a newer entry had been dropped before.
    """
    log = feeds.ChangeLog()
    log.restart(revision=1)
    large = bytes(150_000)
    log.add([keyvalue.Entry("b", large, 3), keyvalue.Entry("a", large, 2)], 3)
    log.add([keyvalue.Entry("c", large, 4)], 4)
    for revision in (1, 2, 3):
        listed = log.list_since(revision)
        assert listed is None or [e.revision for e in listed] == list(
            range(revision + 1, 5)
        )


async def test_a_slow_response_is_dated_from_its_request(fleet):
    """Transit time must not make an update look more current than it is."""
    _, followers = split_watchers(fleet)
    requester = followers[0]
    await requester.stop()
    requester.task = asyncio.current_task()
    requester.network[requester.name] = requester
    deliver = requester.receive

    def deliver_late(message, sender):
        asyncio.get_running_loop().call_later(0.1, deliver, message, sender)

    requester.receive = deliver_late
    requested_at = clocks.read_monotonic()
    update = await requester.feed.query_watchers()
    requester.task = None
    assert clocks.read_monotonic() - requested_at > 0.09
    assert update.last_confirmed_at <= requested_at


async def test_followers_keep_what_may_come_back_after_an_outage(fleet):
    """Followers learn of an outage of the store from the watchers.

    Registrations that expire in an outage are missing when it ends. Followers
    that did not know of the outage removed every endpoint at once.
    """
    watchers, followers = split_watchers(fleet)
    for gateway in watchers:
        gateway.replica.allow_reregistration()
    fleet[0].state.put("config", b"c")
    await wait_for_version(followers, fleet[0].state.revision, seconds=0.8)
    for gateway in followers:
        assert gateway.replica.reregistration_deadline.remaining() > 1.0
