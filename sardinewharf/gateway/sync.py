"""Keeps a replica current with one watch of the platform's store."""

import asyncio
import random

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import records
from sardinewharf.gateway import changes
from sardinewharf.gateway import replica as replica_lib

# A watch without changes proves that the copy is current at its end, and a
# silent connection is noticed by then, in seconds.
_WATCH_S = 2.0
# After a failure, a short watch tells soonest whether the store is back.
_SHORT_WATCH_S = 0.05
_LIST_S = 1.5
# Pause after changes, in which more may gather: for each gateway, since all of
# them call again after each change, and at most, in seconds.
_GATHER_S_PER_GATEWAY = 0.005
_MAX_GATHER_S = 0.3
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.8
# Without contact for this long, registrations may have lapsed, in seconds.
_OUTAGE_S = 1.5
# A watch that has not brought by then what others know is silent, in seconds.
_NEWER_S = 0.6
# A change reaches a watch within this time, in seconds.
_WATCH_LAG_S = 0.2
_ALL_KEYS = ""


class Synchronizer:
    """Reads the store and watches it.

    Args:
        store: The platform's store.
        reader: Translates its entries.
        replica: The copy that is kept current.
        log: Where lost and regained contact is written.
    """

    def __init__(
        self,
        store: keyvalue.PrefixStore,
        reader: changes.ChangeReader,
        replica: replica_lib.Replica,
        log: records.RecordSink,
    ):
        self._store = store
        self._reader = reader
        self._replica = replica
        self._log = log
        self._pause = _MIN_PAUSE_S
        self._has_failed = False
        # Whether the last watch was given up for being behind other gateways.
        self._was_hurried = False
        self._hurry = asyncio.Event()
        self._has_timer = False

    def note_newer(self, revision: int) -> None:
        """Notes a revision that another gateway has seen.

        The watch brings it within milliseconds, unless it has fallen silent.
        """
        if self._has_timer:
            return
        self._has_timer = True
        asyncio.get_running_loop().call_later(_NEWER_S, self._compare, revision)

    def _compare(self, revision: int) -> None:
        self._has_timer = False
        if revision > self._replica.revision:
            self._hurry.set()

    async def run(self) -> None:
        """Reads and watches the store until cancelled."""
        while True:
            if await self.step():
                self._pause = _MIN_PAUSE_S
                continue
            await asyncio.sleep(self._pause * random.uniform(0.5, 1.0))
            self._pause = min(_MAX_PAUSE_S, 2 * self._pause)

    async def step(self) -> bool:
        """Calls the store once; returns whether it answered."""
        if not self._replica.is_filled:
            is_done = await self._list()
        else:
            is_done = await self._watch()
        self._replica.drop_doubtful()
        return is_done

    async def _list(self) -> bool:
        sent = clocks.read_monotonic()
        listing = await self._store.list_prefix(
            _ALL_KEYS, clocks.Deadline(sent + _LIST_S)
        )
        if isinstance(listing, keyvalue.Unavailable):
            self._note_failure(listing.detail)
            return False
        self._note_contact()
        found = [self._reader.read_change(e) for e in listing.entries]
        self._replica.replace([c for c in found if c is not None])
        self._replica.revision = listing.revision
        self._replica.prove(sent)
        return True

    async def _watch(self) -> bool:
        sent = clocks.read_monotonic()
        was_failing = self._has_failed or self._was_hurried
        seconds = _SHORT_WATCH_S if was_failing else _WATCH_S
        until = clocks.Deadline(sent + seconds)
        if self._was_hurried:
            # It ends by itself: given up again and again, none would ever
            # bring anything from a store that is slow or silent.
            self._was_hurried = False
            result = await self._watch_store(until)
        else:
            result = await self._watch_or_hurry(until)
        if result is None:
            self._was_hurried = True
            return True
        if isinstance(result, keyvalue.Unavailable):
            self._note_failure(result.detail)
            return False
        self._note_contact()
        if isinstance(result, keyvalue.HistoryLost):
            self._log.write(records.events.HistoryLost(self._replica.revision))
            self._replica.expect_returns()
            return await self._list()
        # After a failure, changes may be as old as the last proof.
        since = self._replica.proved_at
        if not was_failing:
            since = clocks.read_monotonic() - _WATCH_LAG_S
        for entry in result.entries:
            change = self._reader.read_change(entry)
            if change is not None:
                self._replica.apply(change, since)
        self._replica.revision = max(self._replica.revision, result.revision)
        is_whole_wait = not result.entries and until.is_past()
        self._replica.prove(until.at if is_whole_wait else sent)
        if result.entries:
            await asyncio.sleep(self._find_gathering())
        return True

    def _find_gathering(self) -> float:
        """Returns the seconds to let changes gather before the next watch."""
        gateways = len(self._replica.members)
        return min(_MAX_GATHER_S, gateways * _GATHER_S_PER_GATEWAY)

    async def _watch_store(
        self, until: clocks.Deadline
    ) -> keyvalue.Changes | keyvalue.HistoryLost | keyvalue.Unavailable:
        return await self._store.watch_prefix(
            _ALL_KEYS, self._replica.revision, until
        )

    async def _watch_or_hurry(
        self, until: clocks.Deadline
    ) -> keyvalue.Changes | keyvalue.HistoryLost | keyvalue.Unavailable | None:
        """Watches; returns None if the watch was given up for a new one."""
        self._hurry.clear()
        watch = asyncio.ensure_future(self._watch_store(until))
        hurry = asyncio.ensure_future(self._hurry.wait())
        try:
            await asyncio.wait(
                {watch, hurry}, return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            hurry.cancel()

    def _note_failure(self, detail: str) -> None:
        if not self._has_failed:
            self._has_failed = True
            self._log.write(
                records.events.DependencyLost(
                    "store",
                    detail,
                    self._replica.revision,
                    self._read_age(),
                )
            )

    def _read_age(self) -> float:
        """Returns the seconds since the last proof; -1 if there was none."""
        if not self._replica.is_filled:
            return -1.0
        return round(self._replica.count_age(), 3)

    def _note_contact(self) -> None:
        if self._has_failed:
            age = self._read_age()
            self._log.write(
                records.events.DependencyRegained(
                    "store", self._replica.revision, age
                )
            )
            self._has_failed = False
            if age > _OUTAGE_S:
                self._replica.expect_returns()
