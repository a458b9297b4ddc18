"""Keeps a gateway registered in the store, so that other gateways find it."""

import asyncio

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf.gateway import members
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import shutdown as shutdown_lib

# Time between two attempts to register this gateway, and limit of each.
_REGISTER_INTERVAL_S = 1.0


class Registrar:
    """Writes a gateway's entry whenever the store does not hold it.

    Args:
        settings: Settings of the gateway.
        store: Client of the platform's store.
        replica: This gateway's replica of the store.
        shutdown: Tells when the gateway stops, and need not be found any more.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        store: keyvalue.PrefixStore,
        replica: replica_lib.Replica,
        shutdown: shutdown_lib.Shutdown,
    ):
        self._settings = settings
        self._store = store
        self._replica = replica
        self._shutdown = shutdown

    async def run(self) -> None:
        """Keeps this gateway registered, so that other gateways find it.

        The entry is written again if another writer replaced or removed it.
        """
        while not self._shutdown.has_begun:
            if not self._is_registered():
                await self._write_registration()
            await asyncio.sleep(_REGISTER_INTERVAL_S)

    def _is_registered(self) -> bool:
        """Returns whether the replica shows this gateway's entry."""
        members_by_name = self._replica.members
        own_address = members_by_name.get(self._settings.name)
        return own_address == self._settings.peer_listen

    async def _write_registration(self) -> None:
        """Writes this gateway's entry unless the store holds it."""
        entry = members.make_entry(
            self._settings.name,
            self._settings.peer_listen,
            self._settings.failure_domain,
        )
        deadline = clocks.Deadline.after(_REGISTER_INTERVAL_S)
        stored_entry = await self._store.read(entry.key, deadline)
        if not isinstance(stored_entry, keyvalue.Record | keyvalue.Absent):
            return
        if getattr(stored_entry, "value", None) != entry.value:
            await self._store.write(
                entry.key, entry.value, stored_entry.revision, deadline
            )
