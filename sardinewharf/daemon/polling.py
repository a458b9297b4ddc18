"""Polls the VM list and the endpoints.

Each endpoint is polled by a few daemons of its failure domain, and the others
learn its load by gossip. Where a daemon's share covers them all, it also
reads the engines' cache events.
"""

import asyncio
import math

import xxhash

from sardinewharf import clocks
from sardinewharf import daemons
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import inventory
from sardinewharf import limits
from sardinewharf import logs
from sardinewharf import routing
from sardinewharf import tasks
from sardinewharf.daemon import settings as settings_lib

_log = logs.get_logger("endpoints")
_CALL_S = 2.0
# A daemon polls about this many endpoints, however many there are.
_SHARE = 16
_LEAST_POLLERS = 2
_FAILURES_TO_DOWN = 2
# An endpoint that others poll is looked at this many times less often.
_IDLE_FACTOR = 5


class EndpointPoller(daemons.LoadListener):
    """Keeps the directory and the router's views up to date.

    Args:
        directory: The endpoints.
        vms: The platform's VM list.
        engines: Speaks to model engines.
        members: The daemons.
        router: Chooses engines.
        suspects: Requests that endpoints died of.
        gossip: Tells others of endpoints that leave.
        settings: How often to poll.
    """

    def __init__(
        self,
        directory: endpoints.Directory,
        vms: inventory.VmList,
        engines: endpoints.ModelEngine,
        members: daemons.MemberTable,
        router: routing.Router,
        suspects: limits.SuspectTable,
        gossip: daemons.Gossip,
        settings: settings_lib.DaemonSettings,
    ):
        self._directory = directory
        self._vms = vms
        self._engines = engines
        self._members = members
        self._router = router
        self._suspects = suspects
        self._gossip = gossip
        self._settings = settings
        self._tasks = tasks.TaskGroup()
        self._polled: dict[ids.EndpointId, asyncio.Task] = {}
        self._sequences: dict[tuple[str, str], int] = {}
        self.listed: tuple[inventory.Vm, ...] = ()

    def start(self) -> None:
        """Starts polling."""
        self._tasks.start(self._follow_list(), "vm-list")

    async def close(self) -> None:
        """Stops polling."""
        await self._tasks.close()

    async def prime(self) -> None:
        """Reads the VM list and every endpoint's load once."""
        await self._read_list()
        await asyncio.gather(*(self._poll(e) for e in self._directory))

    def take_list(self, vms: tuple[inventory.Vm, ...]) -> None:
        """Takes in a VM list."""
        self.listed = vms
        self._directory.merge(vms)

    def note_load(
        self,
        endpoint: ids.EndpointId,
        report: endpoints.LoadReport,
        at: float,
        lived_at: float,
    ) -> None:
        """Tells the router of a report."""
        self._suspects.withdraw(report.incarnation, lived_at)
        self._router.record_incarnation(endpoint, report.incarnation)
        self._router.get_view(endpoint).record_report(report.queued_tokens, at)

    def _forget_sequences(self, name: str) -> None:
        for key in [k for k in self._sequences if k[0] == name]:
            del self._sequences[key]

    async def _follow_list(self) -> None:
        while True:
            await self._read_list()
            self._match_tasks()
            await asyncio.sleep(self._settings.vm_list_seconds)

    async def _read_list(self) -> None:
        try:
            self.take_list(
                await self._vms.list_vms(clocks.Deadline.after(_CALL_S))
            )
        except inventory.VmListUnavailableError:
            _log.debug("The VM list is out; the last one stays in use.")

    def _match_tasks(self) -> None:
        present = {e.endpoint: e for e in self._directory}
        for name in list(self._polled):
            if name not in present:
                self._polled.pop(name).cancel()
                self._router.forget_engine(name)
        for name, endpoint in present.items():
            if name not in self._polled:
                work = self._follow(endpoint)
                task = self._tasks.start(work, f"poll-{name}")
                self._polled[name] = task

    async def _follow(self, endpoint: endpoints.Endpoint) -> None:
        while True:
            known = self._directory.find(endpoint.endpoint)
            pause = self._settings.poll_seconds
            if known is not None and self._is_poller(known):
                await self._poll(known)
                if self._reads_events(known):
                    await self._read_events(known)
            else:
                pause *= _IDLE_FACTOR
            await asyncio.sleep(pause)

    def _is_poller(self, endpoint: endpoints.Endpoint) -> bool:
        own = self._members.own
        live = self._members.list_live(clocks.read_monotonic())
        count = max(
            _LEAST_POLLERS,
            math.ceil(_SHARE * len(live) / max(1, len(self._directory))),
        )
        if count >= len(live):
            return True
        ranked = sorted(live, key=lambda m: _score(m.daemon, endpoint.endpoint))
        return own.daemon in [m.daemon for m in ranked[:count]]

    def _reads_events(self, endpoint: endpoints.Endpoint) -> bool:
        is_engine = endpoint.vm.kind is inventory.EndpointKind.MODEL_ENGINE
        return is_engine and len(self._directory) <= _SHARE

    async def _poll(self, endpoint: endpoints.Endpoint) -> None:
        name = endpoint.endpoint
        was_leaving = endpoint.is_leaving
        asked_at = clocks.read_monotonic()
        try:
            report = await self._engines.report(
                endpoint.vm.address, clocks.Deadline.after(_CALL_S)
            )
        except endpoints.EndpointError:
            endpoint.failures += 1
            if endpoint.failures >= _FAILURES_TO_DOWN:
                self._directory.record_failure(name, clocks.read_monotonic())
            return
        self._directory.record_report(name, report, asked_at)
        self.note_load(name, report, asked_at, lived_at=asked_at)
        if report.leaving and not was_leaving:
            _log.info("Endpoint {} leaves, says itself.", name)
            self._gossip.announce_leaving(name, report.incarnation)

    async def _read_events(self, endpoint: endpoints.Endpoint) -> None:
        name = endpoint.endpoint
        key = (name, endpoint.report.incarnation)
        after = self._sequences.get(key, 0)
        try:
            batch = await self._engines.list_events(
                endpoint.vm.address, after, clocks.Deadline.after(_CALL_S)
            )
        except endpoints.EndpointError:
            return
        if batch.incarnation != endpoint.report.incarnation:
            return
        if key not in self._sequences:
            self._forget_sequences(name)
        self._sequences[key] = apply_events(
            self._router.index, name, after, batch.events
        )


def apply_events(
    index: routing.CacheIndex,
    engine: str,
    after: int,
    events: tuple[endpoints.CacheEvent, ...],
) -> int:
    """Applies cache events and returns the last sequence number.

    A gap leaves the older half of what is believed in doubt, and drops it.
    """
    for event in events:
        if after and event.sequence != after + 1:
            index.drop_older_half(engine)
        after = event.sequence
        if event.action == "cleared":
            index.reset(engine)
        elif event.action == "stored":
            index.record_cached(engine, (bytes.fromhex(event.block_id),))
        else:
            index.record_evicted(engine, bytes.fromhex(event.block_id))
    return after


def _score(daemon: str, endpoint: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{daemon}/{endpoint}".encode())
