"""Watches the key-value service for new configuration versions.

Only a few daemons of each failure domain watch the manifest; the others receive
new versions by gossip. The load on the key-value service therefore grows with
the number of failure domains, not with the number of daemons.
"""

import asyncio
from collections.abc import Callable

from sardinewharf import clocks
from sardinewharf import logs
from sardinewharf.configuration import holder as holder_lib
from sardinewharf.configuration import store as store_lib

_log = logs.get_logger("configuration")
_WATCH_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 1.0


class ConfigurationWatcher:
    """Watches the manifest while this daemon is one of the watchers.

    Args:
        holder: Holds the active configuration and receives new versions.
        store: The configuration in the key-value service.
        is_watcher: Returns whether this daemon is one of the watchers.
        on_change: Called when a new version has become active.
    """

    def __init__(
        self,
        holder: holder_lib.ConfigurationHolder,
        store: store_lib.ConfigurationStore,
        is_watcher: Callable[[], bool],
        on_change: Callable[[], None],
    ):
        self._holder = holder
        self._store = store
        self._is_watcher = is_watcher
        self._on_change = on_change

    async def run(self) -> None:
        """Watches until it is cancelled.

        A daemon without any configuration watches even if it is not one of the
        watchers.
        """
        revision = 0
        while True:
            if not self._is_watcher() and self._holder.is_ready:
                await asyncio.sleep(_POLL_INTERVAL_S)
                continue
            started_at = clocks.read_monotonic()
            revision, snapshot = await self._store.watch(
                revision,
                self._holder.snapshot,
                clocks.Deadline.after(_WATCH_TIMEOUT_S),
            )
            if snapshot is not None and self._holder.adopt(snapshot):
                _log.info("Version {} is in force.", snapshot.version)
                self._on_change()
            elif snapshot is None:
                # During an outage the watch returns at once, so wait before the
                # next one; without a change it returns after its timeout.
                delay_s = _POLL_INTERVAL_S - (
                    clocks.read_monotonic() - started_at
                )
                await asyncio.sleep(max(0.0, delay_s))
