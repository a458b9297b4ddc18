"""Watches which prompt parts the cache store holds.

The cache store keeps the KV cache of prompt parts for all engines. It serves
only a limited number of watchers, so in a large deployment only some gateways
watch it.
"""

import asyncio

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import records
from sardinewharf.gateway import control as control_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import replica as replica_lib

# Longest time that a long poll for changes waits, in seconds.
_LONG_POLL_S = 1.0
# Interval at which a gateway that does not watch checks whether it should.
_RECHECK_S = 0.5
# Watchers that a store serves but that are left unused, for the time in which
# one gateway takes over watching from another.
_RESERVED_WATCHERS = 4


class CacheStoreWatcher:
    """Polls the cache store for changes of what it holds.

    Args:
        name: Name of this gateway.
        control: Calls the cache store.
        replica: This gateway's replica of the platform's store.
        prompts: Where shared prompts are cached.
        log: Receives a record if the cache store is lost or regained.
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
        self._epoch: int | None = None
        self._since = 0
        self._is_lost = False

    async def run(self) -> None:
        """Polls for changes until cancelled."""
        while True:
            await self._run_once()

    async def _run_once(self) -> None:
        """Polls for changes, or waits where this gateway does not watch."""
        stores = self._replica.configuration.cache_stores
        if not stores:
            await asyncio.sleep(_RECHECK_S)
            return
        self._prompts.store.is_watched = self._may_watch(stores[0])
        if self._prompts.store.is_watched:
            await self._poll(stores[0])
        else:
            self._prompts.store.set_address(stores[0].address)
            await asyncio.sleep(_RECHECK_S)

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

    async def _poll(self, store: catalog.CacheStore) -> None:
        """Reads the next changes and applies them to the index.

        After a restart of the store, which shows as a new epoch, the index is
        cleared and filled from the beginning.
        """
        index = self._prompts.store
        if index.address != store.address:
            index.set_address(store.address)
            self._since = 0
        update = await self._control.read_cache(
            store.address, self._since, clocks.Deadline.after(_LONG_POLL_S)
        )
        if update is None:
            self._record_loss(store)
            return
        self._record_contact(store)
        if update.epoch != self._epoch:
            index.clear()
            is_first_read = self._since == 0
            self._epoch = update.epoch
            if not is_first_read:
                self._since = 0
                return
        for event in update.events:
            if event.is_held:
                index.put(event.scope, event.part_id, event.tokens)
            else:
                index.drop(event.scope, event.part_id)
        self._since = update.next_since
        index.record_response()
        if update.events:
            self._prompts.notify_waiters()

    def _record_loss(self, store: catalog.CacheStore) -> None:
        """Logs the loss of the store once its last response is too old."""
        if not self._is_lost and not self._prompts.store.is_alive:
            self._is_lost = True
            self._log.write(
                records.events.DependencyLost(
                    store.name, "no response", self._since, -1.0
                )
            )

    def _record_contact(self, store: catalog.CacheStore) -> None:
        """Logs that a lost cache store responds again."""
        if self._is_lost:
            self._is_lost = False
            self._log.write(
                records.events.DependencyRegained(store.name, self._since, -1.0)
            )
