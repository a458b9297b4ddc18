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
_WAIT_S = 1.0
_IDLE_S = 0.5
# Readers of a store that are left to gateways that have just changed places.
_SPARE_READERS = 4


class StoreFollower:
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
                await asyncio.sleep(_IDLE_S)
                continue
            self._prompts.store.is_followed = self._may_follow(stores[0])
            if self._prompts.store.is_followed:
                await self._read(stores[0])
            else:
                self._prompts.store.address = stores[0].address
                await asyncio.sleep(_IDLE_S)

    def _may_follow(self, store: catalog.CacheStore) -> bool:
        """Returns whether this gateway is among the store's readers.

        A store serves only so many; the others hear from them.
        """
        count = max(1, store.event_readers - _SPARE_READERS)
        members = self._replica.members
        if len(members) <= count:
            return True
        return (
            self._name
            in balancing.rank_preferred(store.address, members)[:count]
        )

    async def _read(self, store: catalog.CacheStore) -> None:
        content = self._prompts.store
        if content.address != store.address:
            content.address = store.address
            content.clear()
            self._since = 0
        news = await self._control.read_cache(
            store.address, self._since, clocks.Deadline.after(_WAIT_S)
        )
        if news is None:
            self._note_loss(store)
            return
        self._note_contact(store)
        if news.epoch != self._epoch:
            content.clear()
            is_first_read = self._since == 0
            self._epoch = news.epoch
            if not is_first_read:
                self._since = 0
                return
        for event in news.events:
            if event.is_held:
                content.put(event.scope, event.block_id, event.tokens)
            else:
                content.drop(event.scope, event.block_id)
        self._since = news.next_since
        content.hear()
        if news.events:
            self._prompts.wake()

    def _note_loss(self, store: catalog.CacheStore) -> None:
        if not self._is_lost and not self._prompts.store.is_alive:
            self._is_lost = True
            self._log.write(
                records.events.DependencyLost(
                    store.name, "tells no news", self._since, -1.0
                )
            )

    def _note_contact(self, store: catalog.CacheStore) -> None:
        if self._is_lost:
            self._is_lost = False
            self._log.write(
                records.events.DependencyRegained(store.name, self._since, -1.0)
            )
