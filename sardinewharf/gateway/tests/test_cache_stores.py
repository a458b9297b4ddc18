"""Checks that what is learned of a cache store is about the present one."""

import pytest

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf.gateway import caches
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
    """

    def __init__(self):
        self.events = []
        self.repeats = False
        self.is_silent = False
        self._former = None

    async def read_cache(self, address, since, until):
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
        self.watcher = caches.CacheStoreWatcher(
            "vm-1", self.control, self.replica, self.prompts, log
        )
        self.exchange = exchange.StateExchange(
            stores.make_settings("vm-1"),
            self.replica,
            fleet.LoadTable(),
            drains.DrainTable(),
            self.prompts,
        )


@pytest.fixture
def gateway():
    return Gateway()


async def test_repeated_answers_leave_the_index_true(gateway):
    """Events that come again are followed by all that came after them."""
    gateway.control.repeats = True
    index = gateway.prompts.store
    for is_held in (True, False, True, True, False, False, True):
        gateway.control.events.append(
            control.CacheEvent(is_held, "m/1", "aa", 13_000)
        )
        for _ in range(3):
            await gateway.watcher._poll(make_store("10.0.0.1:1"))
        assert index.holds("m/1", _PROMPT) is is_held


async def test_a_new_store_does_not_live_by_the_former_one(gateway):
    """A store at a new address counted as alive before it had responded.

    Engines were told to fetch from it, which costs much if it is down.
    """
    index = gateway.prompts.store
    await gateway.watcher._poll(make_store("10.0.0.1:1"))
    assert index.is_alive
    gateway.control.is_silent = True
    await gateway.watcher._poll(make_store("10.0.0.2:1"))
    assert index.address == "10.0.0.2:1"
    assert not index.is_alive


def test_a_peers_report_of_another_store_is_not_believed(gateway):
    """A peer with an older configuration reports of the former store."""
    index = gateway.prompts.store
    index.set_address("10.0.0.2:1")
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
    index = gateway.prompts.store
    index.set_address("10.0.0.1:1")
    index.record_response()
    assert gateway.exchange.make_digest().cache_store == "10.0.0.1:1"
