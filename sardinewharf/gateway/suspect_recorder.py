"""Keeps in the store what crashes endpoints, for gateways that start later.

Gateways tell each other of suspects, and lose what they know if all are killed.
A suspect that has crashed several endpoints, and each of its trials, is written
at once. One with a single crash is written if it has not completed soon after:
whatever ran on an endpoint that crashes is suspect, and most of it completes
elsewhere.

A gateway is not ready until it has read the store, these entries too.

See Also:
    ``suspect_entries``, which encodes the entries.
    ``suspect_reports``, by which gateways tell each other.
"""

import asyncio
import dataclasses

import xxhash

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import limits
from sardinewharf import logs
from sardinewharf.gateway import changes
from sardinewharf.gateway import suspect_entries
from sardinewharf.gateway import suspect_reports

# Time after its crash at which a suspect with a single one is written, unless
# it completes before, in seconds.
_SINGLE_DELAY_S = 1.0
# Crashes after which a suspect is written at once.
_URGENT_CRASHES = 2
# Least time between two writes of a gateway, in seconds.
_WRITE_INTERVAL_S = 0.02
# Entries in the store beyond which none is added for a single crash, and beyond
# which none is added.
_MAX_SINGLE_ENTRIES = 500
_MAX_ENTRIES = 2_000
# Suspects that wait to be written; those that are due last make room.
_MAX_PENDING = 200
_CALL_TIMEOUT_S = 0.5
_RETRY_S = 0.5
# Interval at which outdated entries are removed, in seconds.
_CLEANUP_INTERVAL_S = 10.0
# Share of the time for which a suspect is kept after which the entry of one
# that is still repeated is written again.
_REFRESH_SHARE = 0.5
_log = logs.get_logger("suspects")


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """An entry in the store, as far as known.

    Attributes:
        revision: Its revision.
        seen_at: When the suspect was seen last, on the monotonic clock.
    """

    revision: int
    seen_at: float


class SuspectRecorder:
    """Writes suspects to the store, and merges those that others wrote.

    Args:
        name: Name of this gateway.
        store: The platform's store.
        suspects: Requests and parts that ran when endpoints crashed.
        exchange: Merges what others know of them.
        quarantine_s: Time after which a suspect is forgotten that is no longer
            repeated, in seconds.
    """

    def __init__(
        self,
        name: str,
        store: keyvalue.KeyValueStore,
        suspects: limits.SuspectTable,
        exchange: suspect_reports.SuspectExchange,
        quarantine_s: float,
    ):
        self._name = name
        self._store = store
        self._suspects = suspects
        self._exchange = exchange
        self._quarantine_s = quarantine_s
        self._entries: dict[str, _Entry] = {}
        # When each suspect is to be written, in the order of their changes.
        self._due: dict[bytes, clocks.Deadline] = {}
        self._is_due = asyncio.Event()
        self._cleanup_at = clocks.Deadline.after(_CLEANUP_INTERVAL_S)

    def handle_change(self, change: changes.SuspectChange) -> None:
        """Merges an entry of the store that was written or removed."""
        if change.suspect is None:
            self._entries.pop(change.key, None)
            return
        self._entries[change.key] = _Entry(
            change.revision, change.suspect.seen_at
        )
        self._exchange.merge_suspect(change.suspect)

    def schedule(self, fingerprint: bytes) -> None:
        """Has a suspect written of which this gateway learned something."""
        suspect = self._suspects.read(fingerprint)
        if suspect is None:
            return
        is_single = 0 < len(suspect.crashes) < _URGENT_CRASHES
        delay_s = _SINGLE_DELAY_S if is_single else 0.0
        self._due[fingerprint] = clocks.Deadline.after(delay_s)
        if len(self._due) > _MAX_PENDING:
            del self._due[max(self._due, key=self._due.get)]
        self._is_due.set()

    async def run(self) -> None:
        """Writes suspects until cancelled."""
        while True:
            fingerprint = self._take_due()
            if fingerprint is None:
                await self._wait()
            elif not await self._write(fingerprint):
                self._due.setdefault(
                    fingerprint, clocks.Deadline.after(_RETRY_S)
                )
            await asyncio.sleep(_WRITE_INTERVAL_S)

    async def remove_outdated(self, members: set[str]) -> None:
        """Removes entries that no longer count, one gateway for each.

        Args:
            members: Names of the registered gateways.
        """
        if not self._cleanup_at.is_past():
            return
        self._cleanup_at = clocks.Deadline.after(_CLEANUP_INTERVAL_S)
        now = clocks.read_monotonic()
        for key, entry in list(self._entries.items()):
            if self._is_responsible(key, members):
                await self._renew_or_remove(key, entry, now)

    def _is_responsible(self, key: str, members: set[str]) -> bool:
        """Returns whether this gateway is the one that removes an entry."""
        ranked = max(
            {*members, self._name},
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{name}\0{key}".encode()
            ),
        )
        return ranked == self._name

    async def _renew_or_remove(
        self, key: str, entry: _Entry, now: float
    ) -> None:
        """Writes an entry again that still counts, or removes it."""
        fingerprint = _read_fingerprint(key)
        suspect = self._suspects.read(fingerprint) if fingerprint else None
        if suspect is not None and suspect.crashes:
            renew_at = entry.seen_at + self._quarantine_s * _REFRESH_SHARE
            if suspect.seen_at > renew_at:
                await self._write(fingerprint)
                return
        if entry.seen_at < now - self._quarantine_s:
            await self._delete(key, entry.revision)

    def _take_due(self) -> bytes | None:
        """Returns a suspect that is to be written now."""
        for fingerprint, at in self._due.items():
            if at.is_past():
                del self._due[fingerprint]
                return fingerprint
        return None

    async def _wait(self) -> None:
        """Waits until a suspect may be due."""
        self._is_due.clear()
        next_at = min(self._due.values(), default=None)
        if next_at is None:
            await self._is_due.wait()
            return
        try:
            async with asyncio.timeout_at(next_at.at):
                await self._is_due.wait()
        except TimeoutError:
            # The next one is due.
            return

    async def _write(self, fingerprint: bytes) -> bool:
        """Writes a suspect as it is now; returns whether that is done."""
        key = suspect_entries.make_key(fingerprint)
        suspect = self._suspects.read(fingerprint)
        entry = self._entries.get(key)
        if suspect is None or not suspect.crashes:
            return entry is None or await self._delete(key, entry.revision)
        if entry is None and not self._has_room(suspect):
            _log.warning("{} entries of suspects, no more.", len(self._entries))
            return True
        revision = entry.revision if entry else keyvalue.NO_REVISION
        result = await self._store.write(
            key,
            suspect_entries.encode(suspect),
            revision,
            clocks.Deadline.after(_CALL_TIMEOUT_S),
        )
        if isinstance(result, keyvalue.Written):
            self._entries[key] = _Entry(result.revision, suspect.seen_at)
            return True
        if not isinstance(result, keyvalue.Rejected):
            # Another gateway wrote it, or this write may have been done.
            await self._read_again(key)
        return False

    def _has_room(self, suspect: limits.Suspect) -> bool:
        """Returns whether the store may get an entry more."""
        is_single = len(suspect.crashes) < _URGENT_CRASHES
        most = _MAX_SINGLE_ENTRIES if is_single else _MAX_ENTRIES
        return len(self._entries) < most

    async def _read_again(self, key: str) -> None:
        """Merges an entry that is not as this gateway knew it."""
        found = await self._store.read(
            key, clocks.Deadline.after(_CALL_TIMEOUT_S)
        )
        if isinstance(found, keyvalue.Absent):
            self._entries.pop(key, None)
        elif isinstance(found, keyvalue.Record):
            self._merge_record(key, found)

    def _merge_record(self, key: str, found: keyvalue.Record) -> None:
        try:
            suspect = suspect_entries.decode(found.value)
        except ValueError as error:
            # The next write replaces it.
            _log.warning("Cannot decode {}: {}.", key, error)
            self._entries[key] = _Entry(found.revision, float("-inf"))
            return
        self.handle_change(changes.SuspectChange(key, found.revision, suspect))

    async def _delete(self, key: str, revision: int) -> bool:
        """Removes an entry; returns whether that is done."""
        result = await self._store.delete(
            key, revision, clocks.Deadline.after(_CALL_TIMEOUT_S)
        )
        if isinstance(result, keyvalue.Written):
            self._entries.pop(key, None)
            return True
        if not isinstance(result, keyvalue.Rejected):
            await self._read_again(key)
        return key not in self._entries


def _read_fingerprint(key: str) -> bytes | None:
    """Returns the fingerprint in a key; None if it has none.

    Examples:
        >>> _read_fingerprint("sardinewharf/suspects/01ab").hex()
        '01ab'
        >>> _read_fingerprint("sardinewharf/suspects/odd") is None
        True
    """
    try:
        return bytes.fromhex(key.removeprefix(suspect_entries.KEY_PREFIX))
    except ValueError:
        return None
