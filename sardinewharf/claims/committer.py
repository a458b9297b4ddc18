"""Commits the pending claims of a shard in one compare-and-swap."""

import asyncio
import dataclasses
import math

import msgspec

from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import keyvalue
from sardinewharf import logs
from sardinewharf.claims import entries as entries_lib
from sardinewharf.claims import records

_log = logs.get_logger("claims")
_KEY_PREFIX = "sardinewharf/claims/"
_SEGMENT_PREFIX = "sardinewharf/claims/segments/"
_MAX_SEGMENTS = 4096
_CALL_TIMEOUT_S = 2.0
# When the service has failed for this long, claims that were certainly not
# recorded are refused without waiting for their deadlines.
_OUTAGE_DETECTION_S = 1.0
_INITIAL_BACKOFF_S = 0.005
_MAX_BACKOFF_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class CommitterSettings:
    """Settings of the committers.

    Attributes:
        shards: Number of shards, which must be the same at every daemon.
        linger_seconds: Time for which the first operation in an empty queue
            waits for more operations.
        interval_seconds: Minimum time between the starts of two commits of a
            shard, which limits the writes per second.
        batch_limit: Maximum number of operations in one commit.
        retention_seconds: Minimum time for which a key is remembered.
        head_bytes: Maximum size of a shard's head; beyond it, the entries are
            sealed into a segment.
    """

    shards: int = 2
    linger_seconds: float = 0.005
    interval_seconds: float = 0.02
    batch_limit: int = 4096
    retention_seconds: float = 86_400.0
    head_bytes: int = 65_536


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A submitted operation.

    Attributes:
        operation: The operation.
        deadline: When its submitter stops waiting.
        result: Resolves to the result.
        submitted_at: When it was submitted, in monotonic seconds.
        is_in_doubt: Whether a write with an unknown outcome contained it.
    """

    operation: entries_lib.Operation
    deadline: clocks.Deadline
    result: asyncio.Future[entries_lib.ClaimResult]
    submitted_at: float
    is_in_doubt: bool = False


class ShardCommitter:
    """Commits the operations of one shard in the order of arrival.

    Args:
        kv: The platform's key-value service.
        shard: Number of the shard.
        settings: Settings of the committer.

    Attributes:
        writes: Number of writes that took effect.
        committed: Number of operations in these writes.
        conflicts: Number of writes that failed because another daemon had
            written a newer revision.
    """

    def __init__(
        self,
        kv: keyvalue.KeyValueStore,
        shard: int,
        settings: CommitterSettings,
    ):
        self._kv = kv
        self._key = f"{_KEY_PREFIX}{shard:04d}"
        self._settings = settings
        self._waiting: list[_Waiter] = []
        self._wake = asyncio.Event()
        self._record = records.ShardRecord()
        self._is_loaded = False
        self._loaded_at = 0.0
        self._has_unresolved_write = False
        self._is_last_write_unknown = False
        self._failing_since = math.inf
        self._shard = shard
        self.writes = 0
        self.committed = 0
        self.conflicts = 0

    async def submit(
        self, operation: entries_lib.Operation, deadline: clocks.Deadline
    ) -> entries_lib.ClaimResult:
        """Queues an operation and returns its result once it is settled."""
        loop = asyncio.get_running_loop()
        waiter = _Waiter(
            operation, deadline, loop.create_future(), clocks.read_monotonic()
        )
        self._waiting.append(waiter)
        self._wake.set()
        return await waiter.result

    async def run(self) -> None:
        """Commits until it is cancelled."""
        backoff = _INITIAL_BACKOFF_S
        while True:
            # Operations may have been left by a run that failed.
            if not self._waiting:
                await self._wake.wait()
            self._wake.clear()
            await asyncio.sleep(self._settings.linger_seconds)
            while self._waiting:
                next_at = clocks.Deadline.after(self._settings.interval_seconds)
                if await self._try_commit():
                    backoff = _INITIAL_BACKOFF_S
                    self._failing_since = math.inf
                    if self._waiting:
                        await asyncio.sleep(next_at.remaining())
                    continue
                now = clocks.read_monotonic()
                self._failing_since = min(self._failing_since, now)
                self._expire()
                await asyncio.sleep(backoff)
                backoff = min(_MAX_BACKOFF_S, backoff * 2)

    async def _try_commit(self) -> bool:
        """Commits queued operations; returns whether that succeeded.

        After an unexpected error it is not known whether a write took effect.
        The operations are then in doubt, and fail at their deadlines rather
        than wait without end.
        """
        try:
            return await self._commit()
        except Exception as error:
            _log.opt(exception=error).error("Shard {} failed.", self._key)
        for waiter in self._waiting[: self._settings.batch_limit]:
            waiter.is_in_doubt = True
        self._has_unresolved_write = True
        self._is_loaded = False
        return False

    async def _commit(self) -> bool:
        """Commits queued operations; returns whether the service responded."""
        batch = self._waiting[: self._settings.batch_limit]
        if not self._is_loaded and not await self._read():
            return False
        overlay = self._record.open_overlay()
        results = [
            entries_lib.apply_operation(overlay, w.operation) for w in batch
        ]
        if self._needs_fresh_read(batch, results):
            return await self._read()
        if not overlay.has_changed and not self._has_unresolved_write:
            self._settle(batch, results)
            return True
        head = records.drop_old_segments(
            self._record.make_head(overlay), clocks.read_wall()
        )
        encoded = msgspec.msgpack.encode(head)
        if len(encoded) > self._settings.head_bytes:
            if len(head.segments) >= _MAX_SEGMENTS:
                self._refuse(batch, "The shard is full.")
                return True
            if self._record.head.entries:
                return await self._seal()
        if not await self._write(head, encoded):
            if self._is_last_write_unknown:
                for waiter in batch:
                    waiter.is_in_doubt = True
            return False
        if self._record.head is head:
            self.committed += len(batch)
            self._settle(batch, results)
        return True

    async def _seal(self) -> bool:
        """Moves the stored entries into a segment.

        The segment is named after the revision of the head that it is made
        from, so that two daemons that seal at the same time write the same
        bytes.

        Returns:
            Whether the service responded.
        """
        record = self._record
        name = f"{self._shard:04d}-{record.revision}"
        encoded = msgspec.msgpack.encode(record.head.entries)
        written = await self._kv.write(
            _SEGMENT_PREFIX + name,
            encoded,
            keyvalue.Absent().revision,
            clocks.Deadline.after(_CALL_TIMEOUT_S),
        )
        if not isinstance(written, keyvalue.Written | keyvalue.Conflict):
            return False
        expires_at = clocks.read_wall() + self._settings.retention_seconds
        record.add_segment(name, record.head.entries)
        head = record.make_sealed_head(records.Segment(name, expires_at))
        return await self._write(head, msgspec.msgpack.encode(head))

    async def _write(self, head: records.Head, encoded: bytes) -> bool:
        """Replaces the head; returns whether the service responded."""
        written = await self._kv.write(
            self._key,
            encoded,
            self._record.revision,
            clocks.Deadline.after(_CALL_TIMEOUT_S),
        )
        if isinstance(written, keyvalue.Written):
            self._record.adopt(head, written.revision)
            self._has_unresolved_write = False
            self.writes += 1
            return True
        if isinstance(written, keyvalue.Conflict):
            self.conflicts += 1
            self._has_unresolved_write = False
            return await self._read()
        self._is_last_write_unknown = isinstance(written, keyvalue.WriteUnknown)
        if self._is_last_write_unknown:
            # The operations are retried with the same attempts. Whichever of
            # the two writes takes effect, the attempts in the record show who
            # holds the claims. Until a later write succeeds or conflicts, the
            # unresolved one can still take effect, so that even an unchanged
            # record is written to make it conflict.
            self._has_unresolved_write = True
            self._is_loaded = False
        return False

    async def _read(self) -> bool:
        """Reads the head and missing segments; returns whether it succeeded."""
        started_at = clocks.read_monotonic()
        read = await self._kv.read(
            self._key, clocks.Deadline.after(_CALL_TIMEOUT_S)
        )
        if isinstance(read, keyvalue.Unavailable):
            return False
        try:
            head = records.Head()
            if isinstance(read, keyvalue.Record):
                head = decoding.decode_msgpack(read.value, records.Head)
            for name in self._record.list_missing(head):
                if not await self._read_segment(name):
                    return False
        except decoding.DecodeError as error:
            _log.error("Shard {} cannot be read: {}.", self._key, error)
            return False
        self._record.adopt(head, read.revision)
        self._is_loaded = True
        self._loaded_at = started_at
        return True

    async def _read_segment(self, name: str) -> bool:
        """Reads a segment; returns whether it succeeded."""
        read = await self._kv.read(
            _SEGMENT_PREFIX + name, clocks.Deadline.after(_CALL_TIMEOUT_S)
        )
        if not isinstance(read, keyvalue.Record):
            return False
        entries = decoding.decode_msgpack(
            read.value, dict[bytes, entries_lib.Entry]
        )
        self._record.add_segment(name, entries)
        return True

    def _needs_fresh_read(
        self, batch: list[_Waiter], results: list[entries_lib.ClaimResult]
    ) -> bool:
        """Returns whether any result may rest on an outdated record."""
        # Only a successful write confirms that the cached record is current.
        # A result that needs no write must therefore be based on a read that
        # started after the operation was submitted.
        needs_no_read = (entries_lib.Granted, entries_lib.Done)
        return any(
            not isinstance(result, needs_no_read)
            and waiter.submitted_at > self._loaded_at
            for waiter, result in zip(batch, results, strict=True)
        )

    def _settle(
        self, batch: list[_Waiter], results: list[entries_lib.ClaimResult]
    ) -> None:
        """Removes operations from the queue and passes on their results."""
        settled = set(batch)
        self._waiting = [w for w in self._waiting if w not in settled]
        for waiter, result in zip(batch, results, strict=True):
            if not waiter.result.done():
                waiter.result.set_result(result)

    def _refuse(self, batch: list[_Waiter], detail: str) -> None:
        """Removes operations from the queue as not committed."""
        self._settle(batch, [self._fail(w, detail) for w in batch])

    def _expire(self) -> None:
        """Refuses operations that are past their deadline.

        During an outage, claims that were certainly not recorded are refused
        earlier.
        """
        now = clocks.read_monotonic()
        is_outage = now - self._failing_since > _OUTAGE_DETECTION_S
        expired = [
            w
            for w in self._waiting
            if w.deadline.is_past(now) or (is_outage and _can_fail_early(w))
        ]
        self._refuse(expired, "The key-value service gave no answer in time.")

    def _fail(self, waiter: _Waiter, detail: str) -> entries_lib.ClaimResult:
        """Returns the result of an operation that was not committed."""
        if waiter.is_in_doubt:
            return entries_lib.ClaimUnknown(detail)
        return entries_lib.ClaimsUnavailable(detail)


def _can_fail_early(waiter: _Waiter) -> bool:
    """Returns whether a claim can be refused before its deadline."""
    is_claim = waiter.operation.action is entries_lib.Action.CLAIM
    return is_claim and not waiter.is_in_doubt
