"""Tests how gateways track cached shared prompts and watch the cache store."""

import asyncio

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import records
from sardinewharf.gateway import caches
from sardinewharf.gateway import changes
from sardinewharf.gateway import control
from sardinewharf.gateway import messages
from sardinewharf.gateway import prompts
from sardinewharf.gateway import replica as replica_lib

PROMPT = messages.Prompt(
    "m",
    17_000,
    20,
    (messages.PromptPart("aa", 13_000), messages.PromptPart("bb", 4_000)),
)
SCOPE = "m/1"
KEY = prompts.make_key(SCOPE, PROMPT)


def make_table():
    table = prompts.PromptTable(lambda: None)
    table.set_capacity(100_000)
    return table


def locate(table, engine="e1@1", others=("e2@1",)):
    store = table.stores.choose(KEY)
    is_stored = table.is_stored(KEY, SCOPE, PROMPT, store)
    return table.locate(KEY, is_stored, engine, list(others))


async def test_a_prompt_is_prefilled_then_cached_and_fetched_by_others():
    table = make_table()
    assert locate(table) is balancing.PrefixSource.COMPUTED
    prefill_handle = table.begin("e1@1", KEY, 13_000, needs_prefill=True)
    assert locate(table) is balancing.PrefixSource.CACHED
    assert locate(table, "e2@1", ("e1@1",)) is balancing.PrefixSource.COMPUTED
    prefill_handle.succeed()
    assert locate(table, "e2@1", ("e1@1",)) is balancing.PrefixSource.FETCHED


async def test_waiting_requests_go_on_when_the_prefill_ends_or_fails():
    table = make_table()
    prefill_handle = table.begin("e1@1", KEY, 13_000, needs_prefill=True)
    until = clocks.Deadline.after(5.0)
    waiting = asyncio.ensure_future(table.wait_for_prefill(KEY, until))
    await asyncio.sleep(0.01)
    prefill_handle.fail()
    assert await asyncio.wait_for(waiting, 0.5)
    assert locate(table) is balancing.PrefixSource.COMPUTED


async def test_a_peers_prefill_and_use_are_merged():
    table = make_table()
    now = clocks.read_monotonic()
    table.merge_peer("vm-2", [(KEY, "e2@1", now)], [])
    assert locate(table, "e2@1") is balancing.PrefixSource.CACHED
    table.merge_peer("vm-2", [], [prompts.CacheUse(KEY, "e2@1", 13_000, now)])
    assert locate(table) is balancing.PrefixSource.FETCHED


async def test_a_restarted_engine_has_nothing_cached():
    table = make_table()
    table.begin("e1@1", KEY, 13_000, needs_prefill=True).succeed()
    assert locate(table, "e1@2", ()) is balancing.PrefixSource.COMPUTED


async def test_an_unresponsive_store_is_not_used():
    table = make_table()
    table.stores.set_addresses(["10.0.0.1:1"])
    index = table.stores.find("10.0.0.1:1")
    index.is_watched = True
    index.put(SCOPE, "aa", 13_000)
    assert locate(table, others=()) is balancing.PrefixSource.COMPUTED
    index.record_response()
    assert locate(table, others=()) is balancing.PrefixSource.FETCHED


class CountingControl(control.EngineControl):
    """Counts the watchers of a cache store, and reports no changes."""

    def __init__(self):
        self.watchers = 0

    async def order_weights(self, endpoint, order, deadline):
        raise NotImplementedError

    async def read_report(self, endpoint, deadline):
        raise NotImplementedError

    async def read_cache(self, address, since, until):
        self.watchers += 1
        await asyncio.sleep(60)


async def test_a_store_has_no_more_watchers_than_it_serves():
    """Guards against gateways that poll a store beyond its limit of watchers.

    With 85 gateways, the store would refuse 73 of them each second.
    """
    log = records.RecordSink(-1, "vm", records.SinkSettings())
    store = catalog.CacheStore("memo", "10.0.0.1:1", "fd", 1_000, 1e4, 12)
    counting = CountingControl()
    running = []
    for number in range(40):
        replica = replica_lib.Replica(log)
        found = catalog.Configuration(version=1, cache_stores=(store,))
        replica.apply(changes.ConfigurationChange(found), None)
        for other in range(40):
            replica.apply(changes.MemberChange(f"vm-{other}", "a:1"), None)
        watcher = caches.CacheStoreWatcher(
            f"vm-{number}", counting, replica, make_table(), log
        )
        running.append(asyncio.ensure_future(watcher.run()))
    await asyncio.sleep(0.05)
    for task in running:
        task.cancel()
    assert counting.watchers == 8


def test_keys_differ_by_scope_and_short_prompts_have_none():
    assert prompts.make_key("m/2", PROMPT) != KEY
    short = messages.Prompt("m", 80, 5, PROMPT.parts[1:])
    assert prompts.make_key(SCOPE, short) == 0
