"""Follows what the store of kept cache holds."""

import asyncio

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import records
from sardinewharf.gateway import control as control_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import replica as replica_lib

# Time that a reading of news waits for some, in seconds.
_LONG_POLL_S = 1.0
_RECHECK_S = 0.5
# Readers of a store that are left to gateways that have just changed places.
_RESERVED_READERS = 4


class CacheStoreWatcher:
    """Reads a store's news.

    Args:
        name: Name of this gateway.
        control: Calls the store.
        replica: What the gateway believes.
        prompts: Where shared prompts are.
        log: Where a lost and regained store is written.
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
        """Reads news until cancelled."""
        while True:
            stores = self._replica.configuration.cache_stores
            if not stores:
                await asyncio.sleep(_RECHECK_S)
                continue
            self._prompts.store.is_watched = self._may_watch(stores[0])
            if self._prompts.store.is_watched:
                await self._poll(stores[0])
            else:
                self._prompts.store.address = stores[0].address
                await asyncio.sleep(_RECHECK_S)

    def _may_watch(self, store: catalog.CacheStore) -> bool:
        """Returns whether this gateway is among the store's readers.

        A store serves only so many; the others hear from them.
        """
        count = max(1, store.event_readers - _RESERVED_READERS)
        members = self._replica.members
        if len(members) <= count:
            return True
        return (
            self._name
            in balancing.rank_preferred(store.address, members)[:count]
        )

    async def _poll(self, store: catalog.CacheStore) -> None:
        index = self._prompts.store
        if index.address != store.address:
            index.address = store.address
            index.clear()
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
                index.put(event.scope, event.block_id, event.tokens)
            else:
                index.drop(event.scope, event.block_id)
        self._since = update.next_since
        index.record_response()
        if update.events:
            self._prompts.notify_waiters()

    def _record_loss(self, store: catalog.CacheStore) -> None:
        if not self._is_lost and not self._prompts.store.is_alive:
            self._is_lost = True
            self._log.write(
                records.events.DependencyLost(
                    store.name, "tells no news", self._since, -1.0
                )
            )

    def _record_contact(self, store: catalog.CacheStore) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log.write(
                records.events.DependencyRegained(store.name, self._since, -1.0)
            )
