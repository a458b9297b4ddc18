"""Keeps a replica current with one watch of the platform's store.

If other gateways of the failure domain watch the store, changes are requested
from them instead.
"""

import asyncio
from collections.abc import Iterable
import random

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import records
from sardinewharf.gateway import changes
from sardinewharf.gateway import feeds
from sardinewharf.gateway import replica as replica_lib

# A watch that returns no changes confirms that the replica was current when it
# ended; an unresponsive connection is detected within this time, in seconds.
_WATCH_TIMEOUT_S = 2.0
# A watch ends early enough to confirm a replica before it is this old, in
# seconds, and lasts at least some time.
_MAX_REPLICA_AGE_S = 2.5
_MIN_WATCH_TIMEOUT_S = 0.2
# After a failure, a short watch soonest detects that the store is back.
_PROBE_WATCH_TIMEOUT_S = 0.05
_LIST_TIMEOUT_S = 1.5
# Delay after changes, so that the next watch returns several together: for each
# gateway, since all of them watch again after each change, and at most, in
# seconds.
_BATCHING_S_PER_GATEWAY = 0.005
_MAX_BATCHING_S = 0.3
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8
# An outage that is longer may have let registrations expire, in seconds.
_MIN_OUTAGE_S = 1.5
# A watch counts as unresponsive if it has not returned by then a revision that
# other gateways have, in seconds.
_CATCH_UP_TIMEOUT_S = 0.6
# A change reaches a watch within this time, in seconds.
_WATCH_LAG_S = 0.2
# Prefix that all keys have.
_ALL_KEYS = ""
# Time between two requests to a gateway that watches the store, in seconds.
_POLL_INTERVAL_S = 0.25
# Updates that were last confirmed longer ago are rejected, in seconds.
_MAX_UPDATE_AGE_S = 2.5
# A gateway that gets no usable update from those that watch the store for its
# failure domain watches the store itself for this long, in seconds.
_FALLBACK_WATCH_S = 3.0


class Synchronizer:
    """Keeps a replica current with the store.

    Args:
        store: The platform's store.
        reader: Decodes its entries.
        replica: The replica that is kept current.
        feed: Requests changes from other gateways.
        log: Records loss and recovery of the connection to the store.
    """

    def __init__(
        self,
        store: keyvalue.PrefixStore,
        reader: changes.ChangeReader,
        replica: replica_lib.Replica,
        feed: feeds.Feed,
        log: records.RecordSink,
    ):
        self._feed = feed
        # Whether another gateway sent a usable update in the last step.
        self._is_updated_by_peer = False
        # A follower whose last request for changes failed watches the store
        # itself until then.
        self._watches_until = clocks.Deadline(float("-inf"))
        self._store = store
        self._reader = reader
        self._replica = replica
        self._log = log
        self._backoff_s = _MIN_BACKOFF_S
        self._has_failed = False
        # Whether the last watch was abandoned for being behind other gateways.
        self._was_interrupted = False
        self._sync_requested = asyncio.Event()
        self._has_timer = False

    def record_newer_revision(self, revision: int) -> None:
        """Records that another gateway has a newer revision.

        The watch returns it within milliseconds, unless it is unresponsive.
        """
        if self._has_timer:
            return
        self._has_timer = True
        asyncio.get_running_loop().call_later(
            _CATCH_UP_TIMEOUT_S, self._check_revision, revision
        )

    def _check_revision(self, revision: int) -> None:
        self._has_timer = False
        if revision > self._replica.revision:
            self._sync_requested.set()

    async def run(self) -> None:
        """Reads and watches the store until cancelled."""
        while True:
            is_done = await self.step()
            if is_done and self._is_updated_by_peer:
                await asyncio.sleep(_POLL_INTERVAL_S * random.uniform(0.8, 1.2))
            if is_done:
                self._backoff_s = _MIN_BACKOFF_S
                continue
            await asyncio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
            self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)

    async def step(self) -> bool:
        """Calls the store or a gateway; returns False if the store failed."""
        self._is_updated_by_peer = False
        if not self._replica.is_filled:
            is_done = await self._list()
        elif self._feed.is_follower() and self._watches_until.is_past():
            is_done = await self._follow()
        else:
            is_done = await self._watch()
            if not is_done:
                self._apply_update(await self._feed.query_any_peer())
        self._replica.drop_expired()
        return is_done

    async def _follow(self) -> bool:
        """Requests changes from a gateway that has contact to the store."""
        update = await self._feed.query_watchers()
        if update is not None and update.entries is None:
            # The changes do not fit a response, or are no longer kept.
            return await self._watch()
        self._is_updated_by_peer = self._apply_update(update)
        self._feed.has_store_contact = False
        if not self._is_updated_by_peer:
            self._watches_until = clocks.Deadline.after(_FALLBACK_WATCH_S)
        return True

    def _apply_update(self, update: feeds.FeedUpdate | None) -> bool:
        """Applies another gateway's update; returns whether it is usable."""
        if update is None or update.entries is None:
            return False
        if (
            clocks.read_monotonic() - update.last_confirmed_at
            > _MAX_UPDATE_AGE_S
        ):
            return False
        self._replica.allow_reregistration(update.reregistration_deadline)
        self._apply_entries(
            update.entries,
            update.revision,
            self._replica.last_confirmed_at,
            update.responder,
        )
        self._replica.record_confirmation(update.last_confirmed_at)
        return True

    def _apply_entries(
        self,
        entries: Iterable[keyvalue.Entry],
        revision: int,
        since: float,
        source: str,
    ) -> None:
        """Applies changes that were made at ``since`` or later."""
        newer = [e for e in entries if e.revision > self._replica.revision]
        for entry in newer:
            change = self._reader.read_change(entry)
            if change is not None:
                self._replica.apply(change, since, source)
        if revision > self._replica.revision:
            self._feed.log.add(newer, revision)
            self._replica.revision = revision

    async def _list(self) -> bool:
        """Lists the whole store; returns False if that failed."""
        sent = clocks.read_monotonic()
        listing = await self._store.list_prefix(
            _ALL_KEYS, clocks.Deadline(sent + _LIST_TIMEOUT_S)
        )
        if isinstance(listing, keyvalue.Unavailable):
            self._record_failure(listing.detail)
            return False
        self._record_contact()
        listed = [self._reader.read_change(e) for e in listing.entries]
        self._replica.replace([c for c in listed if c is not None])
        self._replica.revision = listing.revision
        self._feed.log.restart(listing.revision)
        self._replica.record_confirmation(sent)
        return True

    async def _watch(self) -> bool:
        """Watches the store once; returns False if that failed."""
        sent = clocks.read_monotonic()
        was_failing = self._has_failed or self._was_interrupted
        seconds = (
            _PROBE_WATCH_TIMEOUT_S
            if was_failing
            else self._find_watch_timeout()
        )
        until = clocks.Deadline(sent + seconds)
        if self._was_interrupted:
            # This watch is not interrupted: if every one were abandoned, none
            # would ever return from a store that is slow or unresponsive.
            self._was_interrupted = False
            result = await self._watch_store(until)
        else:
            result = await self._watch_interruptibly(until)
        if result is None:
            self._was_interrupted = True
            return True
        if isinstance(result, keyvalue.Unavailable):
            self._record_failure(result.detail)
            return False
        self._record_contact()
        if isinstance(result, keyvalue.HistoryLost):
            self._log.write(records.events.HistoryLost(self._replica.revision))
            self._replica.allow_reregistration()
            return await self._list()
        # After a failure, changes may be as old as the last confirmation.
        since = self._replica.last_confirmed_at
        if not was_failing:
            since = clocks.read_monotonic() - _WATCH_LAG_S
        self._apply_entries(
            result.entries, result.revision, since, replica_lib.WATCH_SOURCE
        )
        has_timed_out = not result.entries and until.is_past()
        self._replica.record_confirmation(until.at if has_timed_out else sent)
        if result.entries:
            await asyncio.sleep(self._find_batching_delay())
        return True

    def _find_watch_timeout(self) -> float:
        """Returns how long the next watch is to wait, in seconds.

        A watch that returns changes confirms only that the replica was current
        when it was sent. The next one is the shorter the older that is.
        """
        left_s = _MAX_REPLICA_AGE_S - self._replica.count_age()
        return min(_WATCH_TIMEOUT_S, max(_MIN_WATCH_TIMEOUT_S, left_s))

    def _find_batching_delay(self) -> float:
        """Returns how long to batch changes before a watch, in seconds."""
        gateways = len(self._replica.members)
        return min(_MAX_BATCHING_S, gateways * _BATCHING_S_PER_GATEWAY)

    async def _watch_store(
        self, until: clocks.Deadline
    ) -> keyvalue.Changes | keyvalue.HistoryLost | keyvalue.Unavailable:
        return await self._store.watch_prefix(
            _ALL_KEYS, self._replica.revision, until
        )

    async def _watch_interruptibly(
        self, until: clocks.Deadline
    ) -> keyvalue.Changes | keyvalue.HistoryLost | keyvalue.Unavailable | None:
        """Watches; returns None if the watch was abandoned for a new one."""
        self._sync_requested.clear()
        watch = asyncio.ensure_future(self._watch_store(until))
        interruption = asyncio.ensure_future(self._sync_requested.wait())
        try:
            await asyncio.wait(
                {watch, interruption}, return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            interruption.cancel()

    def _record_failure(self, detail: str) -> None:
        """Records a failed call; logs it once for each outage."""
        self._feed.has_store_contact = False
        if not self._has_failed:
            self._has_failed = True
            self._log.write(
                records.events.DependencyLost(
                    "store",
                    detail,
                    self._replica.revision,
                    self._replica.round_age(),
                )
            )

    def _record_contact(self) -> None:
        """Records a successful call, and logs it if it ends an outage.

        After an outage, endpoints may register again.
        """
        self._feed.has_store_contact = True
        if self._has_failed:
            age = self._replica.round_age()
            self._log.write(
                records.events.DependencyRegained(
                    "store", self._replica.revision, age
                )
            )
            self._has_failed = False
            if age > _MIN_OUTAGE_S:
                self._replica.allow_reregistration()
