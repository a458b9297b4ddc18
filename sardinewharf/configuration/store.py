"""Stores the configuration in the platform's key-value service."""

import asyncio
from collections.abc import Mapping
import dataclasses

from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import keyvalue
from sardinewharf import logs
from sardinewharf.configuration import manifests
from sardinewharf.configuration import plans
from sardinewharf.configuration import shards as shards_lib
from sardinewharf.configuration import snapshots

MANIFEST_KEY = "sardinewharf/configuration/manifest"
_log = logs.get_logger("configuration")
_SHARD_PREFIX = "sardinewharf/configuration/shards/"
_RETRY_INTERVAL_S = 0.2
_MAX_CONCURRENT_READS = 8
# Together with HISTORY_LENGTH keeps the manifest far below the size limit of a
# value.
_MAX_CHANGES_PER_COMMIT = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The plan is in the history, committed by this call or an earlier one."""

    commit: manifests.Commit


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """Another plan was committed first; this one changed nothing.

    Attributes:
        newer_commits: The commits since the plan's base version.
    """

    newer_commits: tuple[manifests.Commit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreDown:
    """The key-value service did not store the plan; no version was created."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitUnknown:
    """The plan may or may not be committed; it is safe to confirm it again."""

    detail: str


CommitResult = Committed | Stale | StoreDown | CommitUnknown


class ConfigurationStore:
    """Reads and commits configuration versions.

    Args:
        kv: The platform's key-value service.
    """

    def __init__(self, kv: keyvalue.KeyValueStore):
        self._kv = kv

    async def load(
        self, known: snapshots.Snapshot, deadline: clocks.Deadline
    ) -> snapshots.Snapshot | None:
        """Returns the stored snapshot, or None if it cannot be read.

        Args:
            known: A snapshot whose shards need not be read again.
            deadline: When to stop waiting.
        """
        read = await self._kv.read(MANIFEST_KEY, deadline)
        return await self.read_snapshot(read, known, deadline)

    async def watch(
        self,
        revision: int,
        known: snapshots.Snapshot,
        deadline: clocks.Deadline,
    ) -> tuple[int, snapshots.Snapshot | None]:
        """Waits until the manifest has another revision than ``revision``.

        Returns:
            The manifest's revision and its snapshot. The snapshot is None if
            the manifest did not change before the deadline, or if it or a
            shard cannot be read.
        """
        read = await self._kv.watch(MANIFEST_KEY, revision, deadline)
        if not isinstance(read, keyvalue.Record):
            return revision, None
        if read.revision == revision:
            return revision, None
        # The watch may have used up the deadline.
        read_deadline = clocks.Deadline.after(5.0)
        return read.revision, await self.read_snapshot(
            read, known, read_deadline
        )

    async def read_snapshot(
        self,
        read: keyvalue.ReadResult,
        known: snapshots.Snapshot,
        deadline: clocks.Deadline,
    ) -> snapshots.Snapshot | None:
        """Returns the snapshot of a manifest record, or None if it is unusable.

        Shards that are not in ``known`` are read from the service.
        """
        if isinstance(read, keyvalue.Unavailable):
            return None
        if isinstance(read, keyvalue.Absent):
            return snapshots.Snapshot(manifests.Manifest.EMPTY, ())
        try:
            manifest = manifests.Manifest.decode(read.value)
            shards = await self._read_shards(manifest, known, deadline)
            return snapshots.Snapshot(manifest, shards)
        except (manifests.ManifestError, decoding.DecodeError) as error:
            _log.warning("The stored configuration is unusable: {}.", error)
            return None

    async def commit(
        self, plan: plans.Plan, operator: str, deadline: clocks.Deadline
    ) -> CommitResult:
        """Commits a plan as the next version, unless another came first."""
        read = await self._kv.read(MANIFEST_KEY, deadline)
        if isinstance(read, keyvalue.Unavailable):
            return StoreDown(read.detail)
        manifest = _decode_manifest(read)
        outcome = _find_outcome(plan, manifest)
        if outcome is not None:
            return outcome
        shards = shards_lib.split_document(plan.wanted)
        failure = await self._write_shards(shards, manifest.shards, deadline)
        if failure is not None:
            return StoreDown(failure)
        next_manifest = _append_commit(manifest, plan, operator, shards)
        written = await self._kv.write(
            MANIFEST_KEY, next_manifest.encode(), read.revision, deadline
        )
        if isinstance(written, keyvalue.Written):
            return Committed(next_manifest.history[-1])
        if isinstance(written, keyvalue.Rejected):
            return StoreDown(written.detail)
        return await self._read_back(plan, deadline)

    async def _read_back(
        self, plan: plans.Plan, deadline: clocks.Deadline
    ) -> CommitResult:
        """Returns the result of a write that conflicted or got no response."""
        # After a conflict or a lost response, the history shows which plan was
        # committed. A write whose response was lost can still be in flight, so
        # its absence does not prove that it failed.
        while not deadline.is_past():
            read = await self._kv.read(MANIFEST_KEY, deadline)
            if not isinstance(read, keyvalue.Unavailable):
                outcome = _find_outcome(plan, _decode_manifest(read))
                if outcome is not None:
                    return outcome
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return CommitUnknown("The service's answer was lost.")

    async def _read_shards(
        self,
        manifest: manifests.Manifest,
        known: snapshots.Snapshot,
        deadline: clocks.Deadline,
    ) -> list[shards_lib.Shard]:
        """Returns the shards of a manifest that could be read."""
        read_limit = asyncio.Semaphore(_MAX_CONCURRENT_READS)

        async def read_shard(name: str, digest: str) -> shards_lib.Shard | None:
            cached = known.shards.get(name)
            if cached is not None and cached.digest == digest:
                return cached
            async with read_limit:
                read = await self._kv.read(_SHARD_PREFIX + digest, deadline)
            if not isinstance(read, keyvalue.Record):
                return None
            shard = shards_lib.make_shard(name, read.value)
            return shard if shard.digest == digest else None

        found = await asyncio.gather(
            *(read_shard(n, d) for n, d in manifest.shards.items())
        )
        return [shard for shard in found if shard is not None]

    async def _write_shards(
        self,
        shards: tuple[shards_lib.Shard, ...],
        stored: Mapping[str, str],
        deadline: clocks.Deadline,
    ) -> str | None:
        """Writes the shards that are not stored yet.

        Returns:
            None, or why a shard could not be written.
        """
        for shard in shards:
            if stored.get(shard.name) == shard.digest:
                continue
            result = await self._write_shard(shard, deadline)
            if result is not None:
                return result
        return None

    async def _write_shard(
        self, shard: shards_lib.Shard, deadline: clocks.Deadline
    ) -> str | None:
        """Writes a shard; returns None, or why it could not be written."""
        # A shard's key is its digest, so a conflict means that the same content
        # is already stored, and retries are safe.
        detail = "deadline passed"
        while not deadline.is_past():
            result = await self._kv.write(
                _SHARD_PREFIX + shard.digest,
                shard.content,
                keyvalue.Absent().revision,
                deadline,
            )
            if isinstance(result, keyvalue.Written | keyvalue.Conflict):
                return None
            detail = result.detail
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return detail


def _summarise_changes(changes: tuple[plans.Change, ...]) -> tuple[str, ...]:
    """Returns one line per change, up to a limit."""
    lines = [str(change) for change in changes[:_MAX_CHANGES_PER_COMMIT]]
    if len(changes) > _MAX_CHANGES_PER_COMMIT:
        lines.append(f"and {len(changes) - _MAX_CHANGES_PER_COMMIT} more")
    return tuple(lines)


def _decode_manifest(
    read: keyvalue.Record | keyvalue.Absent,
) -> manifests.Manifest:
    if isinstance(read, keyvalue.Absent):
        return manifests.Manifest.EMPTY
    return manifests.Manifest.decode(read.value)


def _find_outcome(
    plan: plans.Plan, manifest: manifests.Manifest
) -> Committed | Stale | None:
    """Returns whether a plan was committed or is stale; None if neither."""
    commit = manifest.find_plan(plan.plan)
    if commit is not None:
        return Committed(commit)
    if manifest.version != plan.base:
        return Stale(manifest.list_commits_after(plan.base))
    return None


def _append_commit(
    manifest: manifests.Manifest,
    plan: plans.Plan,
    operator: str,
    shards: tuple[shards_lib.Shard, ...],
) -> manifests.Manifest:
    """Returns the manifest of the version that a plan creates."""
    commit = manifests.Commit(
        version=manifest.version + 1,
        plan=plan.plan,
        at=clocks.read_wall(),
        operator=operator,
        changes=_summarise_changes(plan.changes),
    )
    history = (*manifest.history, commit)[-manifests.HISTORY_LENGTH :]
    digests = {shard.name: shard.digest for shard in shards}
    return manifests.Manifest(commit.version, digests, history)
