"""Polls the VM list and the endpoints.

Each endpoint is polled by a few of the daemons, and the others learn its load
by gossip. If there are so few endpoints that every daemon may poll them all,
the daemons also read the engines' cache events.
"""

import asyncio
import functools
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
_CALL_TIMEOUT_S = 2.0
# Each daemon polls about this many endpoints, regardless of their number.
_ENDPOINTS_PER_DAEMON = 16
_MIN_POLLERS = 2
_FAILURES_TO_DOWN = 2
# A daemon that does not poll an endpoint checks this many times less often
# whether it has to.
_RECHECK_FACTOR = 5


class EndpointPoller(daemons.LoadListener):
    """Keeps the directory and the router's views up to date.

    Args:
        directory: The known endpoints, updated with lists and reports.
        vms: Client for the platform's VM list.
        engines: Client for the model engines.
        members: The known daemons, which share the polling.
        router: Gets the endpoints' loads and cache events.
        suspects: Endpoint crashes; those of live endpoints are withdrawn.
        gossip: Reports leaving endpoints to other daemons.
        settings: Sets the intervals.

    Attributes:
        latest_vms: The VM list as read last.
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
        self._poll_tasks: dict[ids.EndpointId, asyncio.Task] = {}
        # Sequence number of the last cache event applied, by engine and
        # incarnation.
        self._last_sequences: dict[tuple[str, str], int] = {}
        self.latest_vms: tuple[inventory.Vm, ...] = ()

    def start(self) -> None:
        """Starts polling."""
        self._tasks.keep_running(self._poll_vm_list, "vm-list")

    async def close(self) -> None:
        """Stops polling."""
        await self._tasks.close()

    async def poll_once(self) -> None:
        """Reads the VM list, then polls every endpoint once."""
        await self._refresh_vm_list()
        await asyncio.gather(*(self._poll(e) for e in self._directory))

    def apply_vm_list(self, vms: tuple[inventory.Vm, ...]) -> None:
        """Updates the directory with a VM list."""
        self.latest_vms = vms
        self._directory.merge(vms)

    def record_load(
        self,
        endpoint: ids.EndpointId,
        report: endpoints.LoadReport,
        requested_at: float,
        alive_at: float,
    ) -> None:
        """Updates the router and the suspects with a report."""
        self._suspects.withdraw(report.incarnation, alive_at)
        self._router.record_incarnation(endpoint, report.incarnation)
        self._router.get_view(endpoint).record_report(
            report.queued_tokens, requested_at
        )

    def _forget_sequences(self, name: str) -> None:
        for key in [k for k in self._last_sequences if k[0] == name]:
            del self._last_sequences[key]

    async def _poll_vm_list(self) -> None:
        while True:
            await self._refresh_vm_list()
            self._sync_poll_tasks()
            await asyncio.sleep(self._settings.vm_list_seconds)

    async def _refresh_vm_list(self) -> None:
        try:
            self.apply_vm_list(
                await self._vms.list_vms(clocks.Deadline.after(_CALL_TIMEOUT_S))
            )
        except inventory.VmListUnavailableError:
            _log.debug("The VM list is unavailable; the last one stays in use.")

    def _sync_poll_tasks(self) -> None:
        """Runs one poll task for each endpoint in the directory."""
        present = {e.endpoint: e for e in self._directory}
        for name in list(self._poll_tasks):
            if name not in present:
                self._poll_tasks.pop(name).cancel()
                self._router.forget_engine(name)
        for name, endpoint in present.items():
            if name not in self._poll_tasks:
                work = functools.partial(self._poll_repeatedly, endpoint)
                task = self._tasks.keep_running(work, f"poll-{name}")
                self._poll_tasks[name] = task

    async def _poll_repeatedly(self, endpoint: endpoints.Endpoint) -> None:
        while True:
            known = self._directory.find(endpoint.endpoint)
            interval = self._settings.poll_seconds
            if known is not None and self._is_poller(known):
                await self._poll(known)
                if self._should_read_events(known):
                    await self._read_events(known)
            else:
                interval *= _RECHECK_FACTOR
            await asyncio.sleep(interval)

    def _is_poller(self, endpoint: endpoints.Endpoint) -> bool:
        """Returns whether this daemon is one of those that poll an endpoint.

        They are chosen by rendezvous hashing among the live daemons of all
        failure domains.
        """
        own = self._members.own
        live = self._members.list_live(clocks.read_monotonic())
        count = max(
            _MIN_POLLERS,
            math.ceil(
                _ENDPOINTS_PER_DAEMON * len(live) / max(1, len(self._directory))
            ),
        )
        if count >= len(live):
            return True
        ranked = sorted(live, key=lambda m: _score(m.daemon, endpoint.endpoint))
        return own.daemon in [m.daemon for m in ranked[:count]]

    def _should_read_events(self, endpoint: endpoints.Endpoint) -> bool:
        is_engine = endpoint.vm.kind is inventory.EndpointKind.MODEL_ENGINE
        return is_engine and len(self._directory) <= _ENDPOINTS_PER_DAEMON

    async def _poll(self, endpoint: endpoints.Endpoint) -> None:
        """Requests an endpoint's report and records it, or the failure.

        The endpoint counts as down after several consecutive failures.
        """
        name = endpoint.endpoint
        was_leaving = endpoint.is_leaving
        requested_at = clocks.read_monotonic()
        try:
            report = await self._engines.report(
                endpoint.vm.address, clocks.Deadline.after(_CALL_TIMEOUT_S)
            )
        except endpoints.EndpointError:
            endpoint.failures += 1
            if endpoint.failures >= _FAILURES_TO_DOWN:
                self._directory.record_failure(name, clocks.read_monotonic())
            return
        self._directory.record_report(name, report, requested_at)
        self.record_load(name, report, requested_at, alive_at=requested_at)
        if report.leaving and not was_leaving:
            _log.info("Endpoint {} reports that it is leaving.", name)
            self._gossip.announce_leaving(name, report.incarnation)

    async def _read_events(self, endpoint: endpoints.Endpoint) -> None:
        """Reads an engine's new cache events and applies them to the index."""
        name = endpoint.endpoint
        key = (name, endpoint.report.incarnation)
        after = self._last_sequences.get(key, 0)
        try:
            batch = await self._engines.list_events(
                endpoint.vm.address,
                after,
                clocks.Deadline.after(_CALL_TIMEOUT_S),
            )
        except endpoints.EndpointError:
            return
        if batch.incarnation != endpoint.report.incarnation:
            return
        if key not in self._last_sequences:
            self._forget_sequences(name)
        self._last_sequences[key] = apply_events(
            self._router.index, name, after, batch.events
        )


def apply_events(
    index: routing.CacheIndex,
    engine: str,
    after: int,
    events: tuple[endpoints.CacheEvent, ...],
) -> int:
    """Applies cache events to the index of cached prefix blocks.

    At a gap in the sequence numbers, the least recently used half of the
    engine's entries is dropped: any missed event may have been an eviction.

    Args:
        index: The index.
        engine: The engine that sent the events.
        after: Sequence number of the last event applied before; 0 for none.
        events: The events, in order.

    Returns:
        The sequence number of the last event.
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
    """Returns the rendezvous hash of a daemon for an endpoint."""
    return xxhash.xxh3_64_intdigest(f"{daemon}/{endpoint}".encode())
