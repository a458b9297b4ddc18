"""Watches which prompt parts the cache stores hold.

Cache stores keep the KV cache of prompt parts for all engines. Each serves only
a limited number of watchers, so in a large deployment only some gateways watch
it.
"""

import asyncio

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import records
from sardinewharf.gateway import cache_stores
from sardinewharf.gateway import control as control_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import replica as replica_lib

# Longest time that a long poll for changes waits, in seconds.
_LONG_POLL_S = 1.0
# Interval at which a gateway checks which stores there are and whether it
# should watch them.
_RECHECK_S = 0.5
# Watchers that a store serves but that are left unused, for the time in which
# one gateway takes over watching from another.
_RESERVED_WATCHERS = 4


class CacheStoreReader:
    """Polls one cache store for changes of what it holds.

    Args:
        store: The cache store.
        index: Index of what it holds.
        control: Calls the cache store.
        prompts: Where shared prompts are cached.
        log: Receives a record if the cache store is lost or regained.
    """

    def __init__(
        self,
        store: catalog.CacheStore,
        index: cache_stores.CacheStoreIndex,
        control: control_lib.EngineControl,
        prompts: prompts_lib.PromptTable,
        log: records.RecordSink,
    ):
        self._store = store
        self._index = index
        self._control = control
        self._prompts = prompts
        self._log = log
        self._epoch: int | None = None
        self._since = 0
        self._is_lost = False

    async def run(self) -> None:
        """Polls for changes until cancelled."""
        while True:
            await self.poll()

    async def poll(self) -> None:
        """Reads the next changes and applies them to the index.

        After a restart of the store, which shows as a new epoch, the index is
        cleared and filled from the beginning.
        """
        update = await self._control.read_cache(
            self._store.address,
            self._since,
            clocks.Deadline.after(_LONG_POLL_S),
        )
        if update is None:
            self._record_loss()
            return
        self._record_contact()
        if update.epoch != self._epoch:
            self._index.clear()
            is_first_read = self._since == 0
            self._epoch = update.epoch
            if not is_first_read:
                self._since = 0
                return
        for event in update.events:
            if event.is_held:
                self._index.put(event.scope, event.part_id, event.tokens)
            else:
                self._index.drop(event.scope, event.part_id)
        self._since = update.next_since
        self._index.record_response()
        if update.events:
            self._prompts.notify_waiters()

    def _record_loss(self) -> None:
        """Logs the loss of the store once its last response is too old."""
        if not self._is_lost and not self._index.is_alive:
            self._is_lost = True
            self._log.write(
                records.events.DependencyLost(
                    self._store.name, "no response", self._since, -1.0
                )
            )

    def _record_contact(self) -> None:
        """Logs that a lost cache store responds again."""
        if self._is_lost:
            self._is_lost = False
            self._log.write(
                records.events.DependencyRegained(
                    self._store.name, self._since, -1.0
                )
            )


class CacheStoreWatcher:
    """Reads the cache stores that this gateway should watch.

    Args:
        name: Name of this gateway.
        control: Calls the cache stores.
        replica: This gateway's replica of the platform's store.
        prompts: Where shared prompts are cached.
        log: Receives a record if a cache store is lost or regained.
    """

    def __init__(
        self,
        name: str,
        control: control_lib.EngineControl,
        replica: replica_lib.Replica,
        prompts: prompts_lib.PromptTable,
        log: records.RecordSink,
    ):
        self._name = name
        self._control = control
        self._replica = replica
        self._prompts = prompts
        self._log = log
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Reads the stores until cancelled."""
        try:
            while True:
                self._update()
                await asyncio.sleep(_RECHECK_S)
        finally:
            for address in list(self._tasks):
                self._tasks.pop(address).cancel()

    def _update(self) -> None:
        """Starts and ends the reading of stores, as the configuration asks."""
        configured = {
            store.address: store
            for store in self._replica.configuration.cache_stores
        }
        self._prompts.stores.set_addresses(configured)
        for address in self._tasks.keys() - configured.keys():
            self._tasks.pop(address).cancel()
        for store in configured.values():
            self._watch_if_chosen(store)

    def _watch_if_chosen(self, store: catalog.CacheStore) -> None:
        """Reads a store, or stops that, as this gateway should watch it."""
        index = self._prompts.stores.find(store.address)
        index.is_watched = self._may_watch(store)
        task = self._tasks.get(store.address)
        if task is not None and task.done():
            del self._tasks[store.address]
            # An error ends this task too, which is then started again.
            task.result()
        if not index.is_watched and task is not None:
            self._tasks.pop(store.address).cancel()
        elif index.is_watched and store.address not in self._tasks:
            reader = CacheStoreReader(
                store, index, self._control, self._prompts, self._log
            )
            self._tasks[store.address] = asyncio.ensure_future(reader.run())

    def _may_watch(self, store: catalog.CacheStore) -> bool:
        """Returns whether this gateway is among the store's watchers.

        A store serves a limited number of watchers. The other gateways learn
        from them whether it is available.
        """
        count = max(1, store.event_readers - _RESERVED_WATCHERS)
        members = self._replica.members
        if len(members) <= count:
            return True
        return (
            self._name
            in balancing.rank_preferred(store.address, members)[:count]
        )
