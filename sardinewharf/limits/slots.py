"""Lets suspect requests run one at a time on each engine, over all daemons.

Two suspects on one engine that dies could not be told apart. A slot is a
record under a lease in the key-value service. While that is out of reach, the
slots hold for this daemon only, and engines of its own failure domain come
first: the others may be cut off, which looks like a death.
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
    """Tells how a slot is held."""

    REFUSED = "refused"
    LOCAL = "here"
    GLOBAL = "everywhere"


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
        list_local: Callable[[], Sequence[str]],
        deadline: clocks.Deadline,
    ) -> str | None:
        """Returns an engine whose slot is now this daemon's.

        Args:
            list_engines: Returns the engines that may be used.
            list_local: Returns those of them in this failure domain.
            deadline: When to stop waiting.

        Returns:
            The engine, or None if there is none in time.
        """
        while not deadline.is_past():
            engines = list_engines()
            if not engines:
                return None
            found = await self._acquire_any(engines, list_local)
            if found is not None:
                return found
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return None

    async def _acquire_any(
        self,
        engines: Sequence[str],
        list_local: Callable[[], Sequence[str]],
    ) -> str | None:
        for engine in sorted(engines, key=self._rank):
            if engine in self._held:
                continue
            result = await self._acquire(engine)
            if result is _AcquireResult.GLOBAL:
                return engine
            if result is _AcquireResult.LOCAL:
                return self._prefer_local(engine, list_local())
        return None

    def _prefer_local(
        self, acquired: str, local_engines: Sequence[str]
    ) -> str | None:
        """Exchanges a slot held here only for one near at hand, if any is."""
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
        """Frees the slot of an engine."""
        revision = self._held.pop(engine, None)
        if revision is not None:
            await self._kv.write(
                _KEY_PREFIX + engine,
                _FREE,
                revision,
                clocks.Deadline.after(_CALL_TIMEOUT_S),
            )

    def _rank(self, engine: str) -> int:
        # Daemons begin with different engines, so that they seldom collide.
        return xxhash.xxh3_64_intdigest(f"{self._holder}/{engine}".encode())

    async def _acquire(self, engine: str) -> _AcquireResult:
        self._held[engine] = None
        result = _AcquireResult.REFUSED
        try:
            result = await self._write_record(engine)
        finally:
            if result is _AcquireResult.REFUSED:
                self._held.pop(engine, None)
        return result

    async def _write_record(self, engine: str) -> _AcquireResult:
        key = _KEY_PREFIX + engine
        deadline = clocks.Deadline.after(_CALL_TIMEOUT_S)
        read = await self._kv.read(key, deadline)
        if isinstance(read, keyvalue.Unavailable):
            return _AcquireResult.LOCAL
        if isinstance(read, keyvalue.Record) and read.value != _FREE:
            return _AcquireResult.REFUSED
        lease = await self._kv.grant_lease(_SLOT_LEASE_S, deadline)
        if isinstance(lease, keyvalue.Unavailable):
            return _AcquireResult.LOCAL
        written = await self._kv.write(
            key, self._holder.encode(), read.revision, deadline, lease.lease
        )
        if isinstance(written, keyvalue.Written):
            self._held[engine] = written.revision
            return _AcquireResult.GLOBAL
        if isinstance(written, keyvalue.Conflict):
            return _AcquireResult.REFUSED
        return _AcquireResult.LOCAL
