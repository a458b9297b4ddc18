"""Holds the active configuration of this daemon."""

import asyncio

from sardinewharf.configuration import manifests
from sardinewharf.configuration import snapshots


class ConfigurationHolder:
    """The active configuration of this daemon; its version never decreases.

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
        """Activates a snapshot if it is newer; returns whether it was."""
        if snapshot.version <= self.snapshot.version:
            return False
        self.snapshot = snapshot
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_for_newer(self, version: int) -> snapshots.Snapshot:
        """Waits for a version above ``version`` and returns its snapshot."""
        while self.snapshot.version <= version:
            await self._changed.wait()
        return self.snapshot
