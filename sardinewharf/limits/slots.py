"""Runs at most one suspect request at a time on each engine, over all daemons.

If an engine crashed while it ran two suspects, it would be unknown which of
them caused the crash. A slot is a record under a lease in the key-value
service. While the service is unreachable, slots hold only within this daemon,
and engines of its own failure domain are preferred: others may be cut off by a
network partition, which looks like a crash.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import enum

import xxhash

from sardinewharf import clocks
from sardinewharf import keyvalue

_KEY_PREFIX = "sardinewharf/suspects/"
_SLOT_LEASE_S = 30.0
_CALL_TIMEOUT_S = 1.0
_RETRY_INTERVAL_S = 0.02
_FREE = b""


class _AcquireResult(enum.Enum):
    """Result of acquiring a slot.

    ``REFUSED``: the slot is taken. ``THIS_DAEMON``: the store did not confirm
    the slot, so it limits only this daemon. ``ALL_DAEMONS``: the slot is
    recorded in the store and limits all daemons.
    """

    REFUSED = "refused"
    THIS_DAEMON = "here"
    ALL_DAEMONS = "everywhere"


class SuspectSlots:
    """Acquires and releases the slots of engines for one daemon.

    Args:
        kv: The platform's key-value service.
        holder: Name of this daemon.
    """

    def __init__(self, kv: keyvalue.KeyValueStore, holder: str):
        self._kv = kv
        self._holder = holder
        # Revision of the slot's record by engine; None if the slot holds only
        # in this daemon or is being acquired.
        self._held: dict[str, int | None] = {}

    async def enter(
        self,
        list_engines: Callable[[], Sequence[str]],
        list_local: Callable[[], Sequence[str]],
        deadline: clocks.Deadline,
    ) -> str | None:
        """Waits until this daemon has acquired the slot of an engine.

        Args:
            list_engines: Returns the engines that may be used.
            list_local: Returns those of them in this daemon's failure domain.
            deadline: When to stop waiting.

        Returns:
            The engine; None if there are no engines or no slot became free in
            time.
        """
        while not deadline.is_past():
            engines = list_engines()
            if not engines:
                return None
            engine = await self._acquire_any(engines, list_local)
            if engine is not None:
                return engine
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return None

    async def _acquire_any(
        self,
        engines: Sequence[str],
        list_local: Callable[[], Sequence[str]],
    ) -> str | None:
        """Returns an engine whose slot was acquired; None if all are taken."""
        for engine in sorted(engines, key=self._rank):
            if engine in self._held:
                continue
            result = await self._acquire(engine)
            if result is _AcquireResult.ALL_DAEMONS:
                return engine
            if result is _AcquireResult.THIS_DAEMON:
                return self._prefer_local(engine, list_local())
        return None

    def _prefer_local(
        self, acquired: str, local_engines: Sequence[str]
    ) -> str | None:
        """Exchanges a slot that holds only here for one of a local engine.

        Without local engines the slot is kept. If the slots of all local
        engines are taken, the slot is released and None is returned.
        """
        if not local_engines or acquired in local_engines:
            return acquired
        del self._held[acquired]
        free = [engine for engine in local_engines if engine not in self._held]
        if not free:
            return None
        engine = min(free, key=self._rank)
        self._held[engine] = None
        return engine

    async def leave(self, engine: str) -> None:
        """Releases the slot of an engine."""
        revision = self._held.pop(engine, None)
        if revision is not None:
            await self._kv.write(
                _KEY_PREFIX + engine,
                _FREE,
                revision,
                clocks.Deadline.after(_CALL_TIMEOUT_S),
            )

    def _rank(self, engine: str) -> int:
        """Returns an engine's rank in this daemon's order, lowest first.

        Daemons try the engines in different orders, which avoids conflicts.
        """
        return xxhash.xxh3_64_intdigest(f"{self._holder}/{engine}".encode())

    async def _acquire(self, engine: str) -> _AcquireResult:
        # The slot counts as held while it is acquired, so that no other request
        # of this daemon takes it.
        self._held[engine] = None
        result = _AcquireResult.REFUSED
        try:
            result = await self._write_record(engine)
        finally:
            if result is _AcquireResult.REFUSED:
                self._held.pop(engine, None)
        return result

    async def _write_record(self, engine: str) -> _AcquireResult:
        """Writes this daemon's name to the record of a slot if it is free."""
        key = _KEY_PREFIX + engine
        deadline = clocks.Deadline.after(_CALL_TIMEOUT_S)
        read = await self._kv.read(key, deadline)
        if isinstance(read, keyvalue.Unavailable):
            return _AcquireResult.THIS_DAEMON
        if isinstance(read, keyvalue.Record) and read.value != _FREE:
            return _AcquireResult.REFUSED
        lease = await self._kv.grant_lease(_SLOT_LEASE_S, deadline)
        if isinstance(lease, keyvalue.Unavailable):
            return _AcquireResult.THIS_DAEMON
        written = await self._kv.write(
            key, self._holder.encode(), read.revision, deadline, lease.lease
        )
        if isinstance(written, keyvalue.Written):
            self._held[engine] = written.revision
            return _AcquireResult.ALL_DAEMONS
        if isinstance(written, keyvalue.Conflict):
            return _AcquireResult.REFUSED
        return _AcquireResult.THIS_DAEMON
