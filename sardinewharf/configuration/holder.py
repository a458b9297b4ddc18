"""Holds the newest configuration that this daemon knows."""

import asyncio

from sardinewharf.configuration import manifests
from sardinewharf.configuration import snapshots


class ConfigurationHolder:
    """The configuration in force at this daemon; its version only rises.

    Examples:
        >>> holder = ConfigurationHolder()
        >>> holder.snapshot.version
        0
    """

    def __init__(self) -> None:
        self.snapshot = snapshots.Snapshot(manifests.Manifest.EMPTY, ())
        self._changed = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether a configuration has been received."""
        return self.snapshot.version > 0

    def adopt(self, snapshot: snapshots.Snapshot) -> bool:
        """Puts a newer snapshot in force; returns whether it was newer."""
        if snapshot.version <= self.snapshot.version:
            return False
        self.snapshot = snapshot
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_for_newer(self, version: int) -> snapshots.Snapshot:
        """Returns the first snapshot whose version is above ``version``."""
        while self.snapshot.version <= version:
            await self._changed.wait()
        return self.snapshot
