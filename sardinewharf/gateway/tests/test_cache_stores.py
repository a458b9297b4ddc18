"""Checks that what is learned of a cache store is about the present one."""

import asyncio

import pytest

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf.gateway import caches
from sardinewharf.gateway import changes
from sardinewharf.gateway import control
from sardinewharf.gateway import digests
from sardinewharf.gateway import drains
from sardinewharf.gateway import exchange
from sardinewharf.gateway import messages
from sardinewharf.gateway import prompts
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway.tests import stores

_PROMPT = messages.Prompt(
    "m",
    17_000,
    20,
    (messages.PromptPart("aa", 13_000), messages.PromptPart("bb", 4_000)),
)


def make_store(address):
    return catalog.CacheStore("memo", address, "fd", 1_000, 1e4, 12)


class FakeControl(control.EngineControl):
    """Reads a cache store's events; each answer may come twice.

    Attributes:
        events: All events of the cache store; they are numbered from 1.
        repeats: Whether each answer comes again in place of the next one.
        is_silent: Whether there is no answer.
        error: Is raised in place of an answer, if it is set.
    """

    def __init__(self):
        self.events = []
        self.repeats = False
        self.is_silent = False
        self.error = None
        self._former = None

    async def read_cache(self, address, since, until):
        await asyncio.sleep(0)
        if self.error is not None:
            raise self.error
        if self.is_silent:
            return None
        former, self._former = self._former, None
        if self.repeats and former is not None:
            return former
        self._former = control.CacheUpdate(
            7, len(self.events), False, tuple(self.events[since:])
        )
        return self._former

    async def order_weights(self, endpoint, order, deadline):
        raise NotImplementedError

    async def read_report(self, endpoint, deadline):
        raise NotImplementedError


class Gateway:
    """The parts of a gateway that know of the cache store."""

    def __init__(self):
        log = stores.MemoryLog()
        self.replica = replica_lib.Replica(log)
        self.prompts = prompts.PromptTable(lambda: None)
        self.control = FakeControl()
        self._log = log
        self.exchange = exchange.StateExchange(
            stores.make_settings("vm-1"),
            self.replica,
            fleet.LoadTable(),
            drains.DrainTable(),
            self.prompts,
        )

    def use_stores(self, *addresses):
        """Sets the cache stores, and returns the index of the last one."""
        self.prompts.stores.set_addresses(addresses)
        index = self.prompts.stores.find(addresses[-1])
        index.is_watched = True
        return index

    def make_reader(self, index):
        return caches.CacheStoreReader(
            make_store(index.address),
            index,
            self.control,
            self.prompts,
            self._log,
        )


@pytest.fixture
def gateway():
    return Gateway()


async def test_repeated_answers_leave_the_index_true(gateway):
    """Events that come again are followed by all that came after them."""
    gateway.control.repeats = True
    index = gateway.use_stores("10.0.0.1:1")
    reader = gateway.make_reader(index)
    for is_held in (True, False, True, True, False, False, True):
        gateway.control.events.append(
            control.CacheEvent(is_held, "m/1", "aa", 13_000)
        )
        for _ in range(3):
            await reader.poll()
        assert index.holds("m/1", _PROMPT) is is_held


async def test_a_new_store_does_not_live_by_the_former_one(gateway):
    """A store at a new address counted as alive before it had responded.

    Engines were told to fetch from it, which costs much if it is down.
    """
    former = gateway.use_stores("10.0.0.1:1")
    await gateway.make_reader(former).poll()
    assert former.is_alive
    gateway.control.is_silent = True
    index = gateway.use_stores("10.0.0.2:1")
    await gateway.make_reader(index).poll()
    assert gateway.prompts.stores.list_all() == [index]
    assert not index.is_alive
    assert gateway.prompts.stores.choose(7) is None


def test_a_peers_report_of_another_store_is_not_believed(gateway):
    """A peer with an older configuration reports of the former store."""
    index = gateway.use_stores("10.0.0.2:1")
    index.is_watched = False
    for number, address in enumerate(("10.0.0.1:1", "10.0.0.2:1"), 1):
        gateway.exchange.handle(
            digests.Digest(
                "vm-2",
                1,
                number,
                1,
                cache_store_age_ms=20,
                cache_store=address,
            )
        )
        assert index.is_alive is (address == index.address)


def test_a_digest_names_the_cache_store(gateway):
    """A peer's report is about the store that the peer watches."""
    index = gateway.use_stores("10.0.0.1:1")
    index.record_response()
    assert gateway.exchange.make_digest().cache_store == "10.0.0.1:1"


def test_a_digest_tells_of_each_cache_store(gateway):
    """Guards against stores that only their watchers know to respond."""
    addresses = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]
    gateway.use_stores(*addresses)
    for index in gateway.prompts.stores.list_all():
        index.is_watched = True
        index.record_response()
    follower = Gateway()
    follower.use_stores(*addresses).is_watched = False
    follower.exchange.handle(gateway.exchange.make_digest())
    assert all(i.is_alive for i in follower.prompts.stores.list_all())


def make_table(*alive, addresses=("a:1", "b:1", "c:1")):
    table = prompts.PromptTable(lambda: None)
    table.stores.set_addresses(addresses)
    for address in alive:
        table.stores.find(address).record_response()
    return table


def choose_all(table):
    return {key: table.stores.choose(key).address for key in range(1, 601)}


def test_prompts_are_spread_over_all_stores():
    """Guards against stores that are left unused.

    All prompts went to the first store of the configuration. They were more
    than it holds, so that they evicted each other and were prefilled again.
    """
    chosen = choose_all(make_table("a:1", "b:1", "c:1"))
    counts = [list(chosen.values()).count(a) for a in ("a:1", "b:1", "c:1")]
    assert min(counts) > 150
    reordered = make_table("a:1", "b:1", "c:1", addresses=("c:1", "a:1", "b:1"))
    assert choose_all(reordered) == chosen


def test_only_the_prompts_of_a_lost_store_move():
    """Guards against one lost store that moves the prompts of the others."""
    before = choose_all(make_table("a:1", "b:1", "c:1"))
    after = choose_all(make_table("a:1", "c:1"))
    assert all(
        after[key] == address
        for key, address in before.items()
        if address != "b:1"
    )
    assert "b:1" not in after.values()


def test_a_prompt_is_not_assumed_in_a_store_that_stands_in():
    """Guards against fetches from a store that never got the prompt."""
    table = make_table("a:1", "b:1", "c:1")
    key = prompts.make_key("m/1", _PROMPT)
    table.begin("e1@1", key, 13_000, needs_prefill=True).succeed()
    first = table.stores.choose(key)
    assert table.is_stored(key, "m/1", _PROMPT, first)
    alive = {"a:1", "b:1", "c:1"} - {first.address}
    stand_in = make_table(*alive).stores.choose(key)
    assert stand_in.address in alive
    assert not table.is_stored(key, "m/1", _PROMPT, stand_in)


async def test_the_error_of_a_reader_ends_the_task_that_runs_it(gateway):
    """Guards against a store that is no longer read after an error.

    The task is started again, and so are all readers.
    """
    found = catalog.Configuration(1, cache_stores=(make_store("10.0.0.1:1"),))
    gateway.replica.apply(changes.ConfigurationChange(found), None)
    gateway.control.error = ValueError("injected")
    watcher = caches.CacheStoreWatcher(
        "vm-1",
        gateway.control,
        gateway.replica,
        gateway.prompts,
        gateway._log,
    )
    with pytest.raises(ValueError, match="injected"):
        async with asyncio.timeout(5.0):
            await watcher.run()


async def test_each_configured_store_is_read(gateway):
    """Guards against a watcher that reads only the first store."""
    found = catalog.Configuration(
        1, cache_stores=(make_store("10.0.0.1:1"), make_store("10.0.0.2:1"))
    )
    gateway.replica.apply(changes.ConfigurationChange(found), None)
    gateway.control.events.append(control.CacheEvent(True, "m/1", "aa", 13_000))
    watcher = caches.CacheStoreWatcher(
        "vm-1",
        gateway.control,
        gateway.replica,
        gateway.prompts,
        gateway._log,
    )
    running = asyncio.ensure_future(watcher.run())
    try:
        async with asyncio.timeout(5.0):
            while (
                not all(
                    index.holds("m/1", _PROMPT)
                    for index in gateway.prompts.stores.list_all()
                )
                or not gateway.prompts.stores.list_all()
            ):
                await asyncio.sleep(0.01)
        assert len(gateway.prompts.stores.list_all()) == 2
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


def test_a_store_that_is_not_watched_is_tried():
    """Guards against prompts that are prefilled again after a restart.

    A restarted gateway knows of no use of a prompt. It had engines prefill
    prompts that the cache store held all the time.
    """
    table = make_table("a:1", "b:1", "c:1")
    key = prompts.make_key("m/1", _PROMPT)
    store = table.stores.choose(key)
    assert not table.is_stored(key, "m/1", _PROMPT, store)
    assert table.may_be_stored("m/1", _PROMPT, store)
    store.is_watched = True
    assert not table.may_be_stored("m/1", _PROMPT, store)
    store.put("m/1", "aa", 13_000)
    assert table.may_be_stored("m/1", _PROMPT, store)
    assert not table.may_be_stored("m/1", _PROMPT, None)
