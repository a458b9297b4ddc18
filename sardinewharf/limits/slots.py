"""Lets suspect requests run one at a time on each engine, over all daemons.

Two suspects on one engine that dies could not be told apart. A slot is a
record under a lease in the key-value service; while that is out, the slots
hold for this daemon only.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import xxhash

from sardinewharf import clocks
from sardinewharf import keyvalue

_KEY_PREFIX = "sardinewharf/suspects/"
_LEASE_S = 30.0
_CALL_S = 1.0
_PAUSE_S = 0.02
_FREE = b""


class SuspectSlots:
    """The slots of all engines, as one daemon takes them.

    Args:
        kv: The platform's key-value service.
        holder: This daemon's name.
    """

    def __init__(self, kv: keyvalue.KeyValueStore, holder: str):
        self._kv = kv
        self._holder = holder
        self._held: dict[str, int | None] = {}

    async def enter(
        self,
        list_engines: Callable[[], Sequence[str]],
        deadline: clocks.Deadline,
    ) -> str | None:
        """Returns an engine whose slot is now this daemon's.

        Args:
            list_engines: Returns the engines that may be used.
            deadline: When to stop waiting.

        Returns:
            The engine, or None if there is none in time.
        """
        while not deadline.is_past():
            engines = list_engines()
            if not engines:
                return None
            for engine in sorted(engines, key=self._rank):
                if engine not in self._held and await self._take(engine):
                    return engine
            await asyncio.sleep(_PAUSE_S)
        return None

    async def leave(self, engine: str) -> None:
        """Frees the slot of an engine."""
        revision = self._held.pop(engine, None)
        if revision is not None:
            await self._kv.write(
                _KEY_PREFIX + engine,
                _FREE,
                revision,
                clocks.Deadline.after(_CALL_S),
            )

    def _rank(self, engine: str) -> int:
        # Daemons begin with different engines, so that they seldom collide.
        return xxhash.xxh3_64_intdigest(f"{self._holder}/{engine}".encode())

    async def _take(self, engine: str) -> bool:
        self._held[engine] = None
        taken = False
        try:
            taken = await self._write(engine)
        finally:
            if not taken:
                self._held.pop(engine, None)
        return taken

    async def _write(self, engine: str) -> bool:
        key = _KEY_PREFIX + engine
        deadline = clocks.Deadline.after(_CALL_S)
        read = await self._kv.read(key, deadline)
        if isinstance(read, keyvalue.Unavailable):
            return True
        if isinstance(read, keyvalue.Record) and read.value != _FREE:
            return False
        lease = await self._kv.grant_lease(_LEASE_S, deadline)
        if isinstance(lease, keyvalue.Unavailable):
            return True
        written = await self._kv.write(
            key, self._holder.encode(), read.revision, deadline, lease.lease
        )
        if isinstance(written, keyvalue.Written):
            self._held[engine] = written.revision
        return not isinstance(written, keyvalue.Conflict)
