"""Keeps a replica current with one watch of the platform's store.

If other gateways of the failure domain watch the store, changes are requested
from them instead. If another gateway states a newer revision, and neither the
watch nor the watchers return it soon, that gateway is asked for the changes.
"""

import asyncio
from collections.abc import Iterable
import contextlib
import dataclasses
import random

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import records
from sardinewharf import tasks
from sardinewharf.gateway import changes
from sardinewharf.gateway import feeds
from sardinewharf.gateway import freshness
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib

# After a failure, a short watch soonest detects that the store is back.
_PROBE_WATCH_TIMEOUT_S = 0.05
_LIST_TIMEOUT_S = 1.5
# Delay after changes, so that the next watch returns several together: seconds
# for each gateway, since all of them watch again after each change.
_BATCHING_S_PER_GATEWAY = 0.005
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8
# An outage that is longer may have let registrations expire, in seconds.
_MIN_OUTAGE_S = 1.5
# A change reaches a watch within this time, in seconds.
_WATCH_LAG_S = 0.2
# Prefix that all keys have.
_ALL_KEYS = ""
# A gateway that gets no usable update from those that watch the store for its
# failure domain watches the store itself for this long, in seconds.
_FALLBACK_WATCH_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _NewerRevision:
    """A revision that another gateway has.

    Attributes:
        revision: The revision.
        peer: Name of that gateway.
    """

    revision: int
    peer: str


class Synchronizer:
    """Keeps a replica current with the store.

    Args:
        settings: Settings of the gateway.
        store: The platform's store.
        reader: Decodes its entries.
        replica: The replica that is kept current.
        feed: Requests changes from other gateways.
        log: Records loss and recovery of the connection to the store.
        failures: Counts the entries that the reader failed to decode.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        store: keyvalue.PrefixStore,
        reader: changes.ChangeReader,
        replica: replica_lib.Replica,
        feed: feeds.Feed,
        log: records.RecordSink,
        failures: tasks.FailureCounter | None = None,
    ):
        self._failures = failures or tasks.FailureCounter()
        self._limits = freshness.split_guarantees(settings.guarantees)
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
        self._sync_requested = asyncio.Event()
        # The revision that the replica should have soon.
        self._newer_revision: _NewerRevision | None = None

    def record_newer_revision(self, revision: int, peer: str) -> None:
        """Records that another gateway has a newer revision.

        The watch returns it within milliseconds, unless it is unresponsive.
        """
        awaited = self._newer_revision
        if awaited is not None and awaited.revision > self._replica.revision:
            return
        self._newer_revision = _NewerRevision(revision, peer)
        asyncio.get_running_loop().call_later(
            self._limits.catch_up_s, self._check_revision, self._newer_revision
        )

    def _check_revision(self, newer: _NewerRevision) -> None:
        """Has a revision requested that the replica still lacks."""
        if (
            newer is self._newer_revision
            and newer.revision > self._replica.revision
        ):
            self._sync_requested.set()

    async def run(self) -> None:
        """Reads and watches the store until cancelled."""
        while True:
            is_done = await self.step()
            if is_done and self._is_updated_by_peer:
                jitter = freshness.POLL_JITTER
                await self._pause(
                    self._limits.poll_s * random.uniform(1 - jitter, 1 + jitter)
                )
            if is_done:
                self._backoff_s = _MIN_BACKOFF_S
                continue
            await self._pause(self._backoff_s * random.uniform(0.5, 1.0))
            self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)

    async def _pause(self, seconds: float) -> None:
        """Sleeps, and meanwhile requests changes that other gateways have."""
        until = clocks.Deadline.after(seconds)
        while not until.is_past():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until.remaining()):
                    await self._sync_requested.wait()
                    await self._catch_up()

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

    async def _catch_up(self) -> None:
        """Requests changes from a gateway that has had them for some time."""
        self._sync_requested.clear()
        newer, self._newer_revision = self._newer_revision, None
        if newer is None or newer.revision <= self._replica.revision:
            return
        if self._replica.is_filled:
            self._apply_update(await self._feed.query_peer(newer.peer))

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
        """Applies another gateway's update; returns whether it is recent.

        The changes of one that is not recent are applied, too: they were made,
        whatever was made since.
        """
        if update is None or update.entries is None:
            return False
        self._replica.allow_reregistration(update.reregistration_deadline)
        self._apply_entries(
            update.entries,
            update.revision,
            self._replica.last_confirmed_at,
            update.responder,
        )
        self._replica.record_confirmation(update.last_confirmed_at)
        return update.is_recent(self._limits)

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
            change = self._read_change(entry)
            if change is not None:
                self._replica.apply(change, since, source)
        if revision > self._replica.revision:
            self._feed.log.add(newer, revision)
            self._replica.revision = revision

    def _read_change(self, entry: keyvalue.Entry) -> changes.Change | None:
        """Returns the change that an entry holds.

        An entry on which the reader fails changes nothing: the entries after
        it must not wait for it.
        """
        with self._failures.contain("read-entry"):
            return self._reader.read_change(entry)
        return None

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
        listed = [self._read_change(entry) for entry in listing.entries]
        self._replica.replace(
            [c for c in listed if c is not None], listing.revision
        )
        self._replica.revision = listing.revision
        self._feed.log.restart(listing.revision)
        self._replica.record_confirmation(sent)
        return True

    async def _watch(self) -> bool:
        """Watches the store once; returns False if that failed."""
        sent = clocks.read_monotonic()
        was_failing = self._has_failed
        revision = self._replica.revision
        seconds = (
            _PROBE_WATCH_TIMEOUT_S
            if was_failing
            else self._find_watch_timeout()
        )
        until = clocks.Deadline(sent + seconds)
        result = await self._watch_store(until)
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
        if result.entries:
            self._apply_entries(
                result.entries,
                result.revision,
                since,
                replica_lib.WATCH_SOURCE,
            )
            self._replica.record_confirmation(sent)
            await asyncio.sleep(self._find_batching_delay())
        elif self._replica.revision == revision:
            self._replica.record_confirmation(
                until.at if until.is_past() else sent
            )
        # Else other gateways had changes that this watch did not return.
        return True

    def _find_watch_timeout(self) -> float:
        """Returns how long the next watch is to wait, in seconds.

        A watch that returns changes confirms only that the replica was current
        when it was sent. The next one is the shorter the older that is. Watches
        are short as well if other gateways rely on them.
        """
        limits = self._limits
        longest_s, max_age_s = limits.lone_watch_s, limits.max_unknown_age_s
        if self._feed.is_followed():
            longest_s, max_age_s = limits.watch_s, limits.max_update_age_s
        left_s = max_age_s - self._replica.count_age()
        return min(longest_s, max(limits.min_watch_s, left_s))

    def _find_batching_delay(self) -> float:
        """Returns how long to batch changes before a watch, in seconds."""
        gateways = len(self._replica.members)
        return min(
            self._limits.max_batching_s, gateways * _BATCHING_S_PER_GATEWAY
        )

    async def _watch_store(
        self, until: clocks.Deadline
    ) -> keyvalue.Changes | keyvalue.HistoryLost | keyvalue.Unavailable:
        """Watches, and meanwhile requests changes that other gateways have."""
        watch = asyncio.ensure_future(
            self._store.watch_prefix(_ALL_KEYS, self._replica.revision, until)
        )
        try:
            while not watch.done():
                await self._wait_for(watch)
                if not watch.done():
                    await self._catch_up()
            return watch.result()
        finally:
            watch.cancel()

    async def _wait_for(self, watch: asyncio.Future[object]) -> None:
        """Waits until a watch is done or changes are to be requested."""
        requested = asyncio.ensure_future(self._sync_requested.wait())
        try:
            await asyncio.wait(
                {watch, requested}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            requested.cancel()

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
