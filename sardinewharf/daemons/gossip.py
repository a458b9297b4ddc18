"""Distributes state between daemons by exchanging digests of bounded size.

At every tick, each daemon exchanges digests with one daemon of its failure
domain, and at every few ticks also with one of another failure domain. Digests
hold samples, so that their size does not grow with the number of daemons and
endpoints. Urgent updates are sent at once.

References:
    Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
    PODC 1987.
"""

import abc
import asyncio
import dataclasses
import random

import msgspec

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import decoding
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import inventory
from sardinewharf import limits
from sardinewharf import logs
from sardinewharf import tasks
from sardinewharf.daemons import client
from sardinewharf.daemons import digests
from sardinewharf.daemons import membership
from sardinewharf.daemons.gen.wire import ttypes

_log = logs.get_logger("gossip")
_CALL_TIMEOUT_S = 2.0
_FETCH_TIMEOUT_S = 10.0
# Ticks between two exchanges with another failure domain.
_REMOTE_EXCHANGE_TICKS = 3
# Maximum number of entries of each kind in a digest.
_MAX_SAME_DOMAIN_MEMBERS = 16
_MAX_REMOTE_MEMBERS = 4
_MAX_CRASHES = 64
# Suspects whose completions and trials are in a digest.
_MAX_SUSPECT_STATES = 32
_MAX_LOADS = 16
_MAX_LEAVING = 64
# Number of daemons that get an urgent update at once, and maximum number of
# those from which a newer configuration is fetched.
_URGENT_PEERS = 3
# Time for which digests report that an endpoint leaves.
_LEAVING_RETENTION_S = 30.0
_MAX_CRASH_PEERS = 64
_CRASH_REPLY_TIMEOUT_S = 0.5
# Assumed maximum time from the creation of a digest to its arrival.
_MAX_DIGEST_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Settings of the gossip.

    Attributes:
        seeds: Addresses of the daemons that are contacted first.
        tick_seconds: Mean time between two ticks.
        seed: Seed of the random choices.
        source_address: Local IP of outgoing connections; empty for any.
    """

    seeds: tuple[str, ...] = ()
    tick_seconds: float = 1.0
    seed: int = 0
    source_address: str = ""


@dataclasses.dataclass(slots=True)
class GossipState:
    """State that gossip reads and updates.

    Attributes:
        members: The known daemons.
        directory: The known endpoints.
        suspects: Endpoint crashes, by the requests that ran there.
        holder: Holds the active configuration.
        is_draining: Whether this daemon is shutting down.
    """

    members: membership.MemberTable
    directory: endpoints.Directory
    suspects: limits.SuspectTable
    holder: configuration.ConfigurationHolder
    is_draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _LeavingEndpoint:
    """An incarnation of an endpoint that leaves."""

    endpoint: ids.EndpointId
    incarnation: ids.Incarnation


class LoadListener(abc.ABC):
    """Receives endpoint reports that other daemons requested."""

    @abc.abstractmethod
    def record_load(
        self,
        endpoint: ids.EndpointId,
        report: endpoints.LoadReport,
        requested_at: float,
        alive_at: float,
    ) -> None:
        """Records a report; the times are on this process's clock.

        Args:
            endpoint: The endpoint.
            report: Its report.
            requested_at: When the report was requested.
            alive_at: A time at which the endpoint was certainly alive.
        """


class Gossip:
    """Exchanges digests with other daemons.

    Args:
        state: State that digests are made of and merged into.
        settings: Seeds, intervals and the local address.

    Attributes:
        listener: Receives endpoint reports; None for no listener.
    """

    def __init__(self, state: GossipState, settings: GossipSettings):
        self._state = state
        self._settings = settings
        self.listener: LoadListener | None = None
        self._random = random.Random(settings.seed)
        self._clients: dict[str, client.PeerClient] = {}
        self._tasks = tasks.TaskGroup()
        # Leaving endpoints, with the time at which this daemon recorded them.
        self._leaving: dict[_LeavingEndpoint, float] = {}
        self._fetching = asyncio.Lock()

    def start(self) -> None:
        """Starts the exchanges."""
        self._tasks.keep_running(self._tick_forever, "gossip")

    async def close(self) -> None:
        """Stops the exchanges and closes all connections."""
        await self._tasks.close()
        await asyncio.gather(*(c.close() for c in self._clients.values()))

    @property
    def sent_bytes(self) -> int:
        """Total bytes sent to other daemons, without replies."""
        return sum(c.sent_bytes for c in self._clients.values())

    def get_client(self, address: str) -> client.PeerClient:
        """Returns the client for the daemon at an address."""
        if address not in self._clients:
            self._clients[address] = client.PeerClient(
                address, self._settings.source_address
            )
        return self._clients[address]

    def announce_leaving(
        self, endpoint: ids.EndpointId, incarnation: ids.Incarnation
    ) -> None:
        """Reports to other daemons at once that an endpoint leaves."""
        leaving = _LeavingEndpoint(endpoint, incarnation)
        self._leaving[leaving] = clocks.read_monotonic()
        self.exchange_now()

    async def announce_crashes(self) -> None:
        """Sends the known crashes to other daemons and waits for their replies.

        Another daemon may be the next to get the request that ran when an
        endpoint crashed. A response or a retry must therefore not be faster
        than the report of the crash.
        """
        addresses = self.list_addresses(same_domain_only=False)
        addresses = self._sample(addresses, _MAX_CRASH_PEERS)
        exchanges = [
            self._tasks.start(self._exchange(address), "gossip-death")
            for address in addresses
        ]
        if exchanges:
            await asyncio.wait(exchanges, timeout=_CRASH_REPLY_TIMEOUT_S)

    def exchange_now(self) -> None:
        """Starts to exchange digests with a few random daemons at once."""
        addresses = self.list_addresses(same_domain_only=False)
        self._random.shuffle(addresses)
        for address in addresses[:_URGENT_PEERS]:
            self._tasks.start(self._exchange(address), "gossip-urgent")

    def make_digest(self) -> ttypes.Digest:
        """Returns this daemon's digest."""
        now = clocks.read_monotonic()
        crashes = self._state.suspects.choose_crashes_to_share(
            now, _MAX_CRASHES
        )
        self._leaving = {
            endpoint: at
            for endpoint, at in self._leaving.items()
            if now - at <= _LEAVING_RETENTION_S
        }
        leaving = self._sample(list(self._leaving), _MAX_LEAVING)
        return ttypes.Digest(
            members=[
                digests.encode_member(m) for m in self._sample_members(now)
            ],
            leaving=[
                ttypes.Leaving(r.endpoint, r.incarnation) for r in leaving
            ],
            deaths=[
                ttypes.Death(
                    crash.fingerprint,
                    crash.incarnation,
                    digests.compute_age_ms(crash.at, now),
                    crash.was_alone,
                )
                for crash in crashes
            ],
            loads=self._sample_loads(now),
            suspects=[
                digests.encode_suspect(suspect, now)
                for suspect in self._state.suspects.choose_states_to_share(
                    now, _MAX_SUSPECT_STATES
                )
            ],
        )

    async def merge(self, digest: ttypes.Digest) -> None:
        """Merges another daemon's digest into this daemon's state."""
        now = clocks.read_monotonic()
        for member in digest.members:
            self._state.members.merge(digests.decode_member(member), now)
        self._merge_leaving(digest, now)
        self._merge_crashes(digest, now)
        for message in digest.suspects or ():
            self._state.suspects.merge(
                digests.decode_suspect(message, now), now
            )
        self._merge_loads(digest, now)
        await self._fetch_newer(digest)

    async def fetch_configuration(self, address: str) -> bool:
        """Fetches a daemon's configuration and adopts it if it is newer.

        Returns:
            Whether it was newer.

        Raises:
            PeerError: If the daemon gave no usable response.
        """
        holder = self._state.holder
        known = holder.snapshot.shards
        request = ttypes.Request(
            fetch=ttypes.FetchConfiguration([s.digest for s in known.values()])
        )
        reply = await self.get_client(address).call(
            request, clocks.Deadline.after(_FETCH_TIMEOUT_S)
        )
        try:
            snapshot = digests.decode_configuration(reply.configuration, known)
        except (configuration.ManifestError, decoding.DecodeError) as error:
            raise client.PeerError(str(error)) from error
        return holder.adopt(snapshot)

    async def fetch_vms(self, address: str) -> tuple[inventory.Vm, ...]:
        """Returns the VM list that another daemon read last.

        Raises:
            PeerError: If the daemon gave no usable response.
        """
        request = ttypes.Request(fetch=ttypes.FetchConfiguration([]))
        reply = await self.get_client(address).call(
            request, clocks.Deadline.after(_FETCH_TIMEOUT_S)
        )
        return decoding.decode_msgpack(
            reply.configuration.vms, tuple[inventory.Vm, ...]
        )

    async def join(self) -> None:
        """Exchanges digests with every seed."""
        seeds = [
            address
            for address in self._settings.seeds
            if address != self._state.members.own.address
        ]
        await asyncio.gather(*(self._exchange(address) for address in seeds))

    async def _tick_forever(self) -> None:
        tick = 0
        while True:
            tick += 1
            self._state.members.advance_heartbeat(
                self._state.holder.snapshot.version, self._state.is_draining
            )
            for address in self._pick_peers(tick):
                self._tasks.start(self._exchange(address), "gossip-exchange")
            pause = self._settings.tick_seconds
            await asyncio.sleep(pause * self._random.uniform(0.8, 1.2))

    def _pick_peers(self, tick: int) -> list[str]:
        """Returns the addresses to exchange digests with at a tick."""
        picked = []
        same_domain = self.list_addresses(same_domain_only=True)
        if same_domain:
            picked.append(self._random.choice(same_domain))
        if tick % _REMOTE_EXCHANGE_TICKS == 0 or not same_domain:
            remote = self.list_addresses(same_domain_only=False)
            remote = [a for a in remote if a not in same_domain]
            if remote:
                picked.append(self._random.choice(remote))
        return picked

    def list_addresses(self, same_domain_only: bool) -> list[str]:
        """Returns the addresses of the other live daemons, in order.

        Args:
            same_domain_only: Whether to leave out daemons of other failure
                domains, and seeds.
        """
        now = clocks.read_monotonic()
        members = self._state.members
        if same_domain_only:
            listed = members.list_same_domain(now)
        else:
            listed = members.list_live(now)
        addresses = {m.address for m in listed}
        if not same_domain_only:
            # Seeds are always included, so that daemons find each other again
            # after a network partition.
            addresses.update(self._settings.seeds)
        addresses.discard(members.own.address)
        return sorted(addresses)

    async def _exchange(self, address: str) -> None:
        request = ttypes.Request(digest=self.make_digest())
        try:
            reply = await self.get_client(address).call(
                request, clocks.Deadline.after(_CALL_TIMEOUT_S)
            )
        except client.PeerError:
            return
        if reply.digest is not None:
            await self.merge(reply.digest)

    def _sample_members(self, now: float) -> list[membership.Member]:
        """Returns this daemon and random samples of the other live ones."""
        table = self._state.members
        same_domain = table.list_same_domain(now)
        remote = [m for m in table.list_live(now) if m not in same_domain]
        others = [m for m in same_domain if m.daemon != table.own.daemon]
        sampled = [table.own]
        sampled += self._sample(others, _MAX_SAME_DOMAIN_MEMBERS)
        sampled += self._sample(remote, _MAX_REMOTE_MEMBERS)
        return sampled

    def _sample(self, items: list, count: int) -> list:
        return (
            items if len(items) <= count else self._random.sample(items, count)
        )

    def _sample_loads(self, now: float) -> list[ttypes.Load]:
        """Returns the newest reports of endpoints."""
        known = [e for e in self._state.directory if e.reported_at]
        known.sort(key=lambda e: e.reported_at, reverse=True)
        return [
            ttypes.Load(
                endpoint.endpoint,
                digests.compute_age_ms(endpoint.reported_at, now),
                msgspec.msgpack.encode(endpoint.report),
            )
            for endpoint in known[:_MAX_LOADS]
        ]

    def _merge_leaving(self, digest: ttypes.Digest, now: float) -> None:
        for message in digest.leaving:
            if self._state.directory.record_leaving(
                message.endpoint, message.incarnation
            ):
                _log.info(
                    "A peer reports that endpoint {} is leaving.",
                    message.endpoint,
                )
                leaving = _LeavingEndpoint(
                    message.endpoint, message.incarnation
                )
                self._leaving[leaving] = now

    def _merge_crashes(self, digest: ttypes.Digest, now: float) -> None:
        for message in digest.deaths:
            crash = limits.Crash(
                message.fingerprint,
                message.incarnation,
                now - message.age_ms / 1000,
                message.was_alone,
            )
            if self._state.suspects.record_crash(crash, now):
                self._mark_crashed(crash)

    def _mark_crashed(self, crash: limits.Crash) -> None:
        """Records the failure of an endpoint with no report since its crash."""
        for endpoint in self._state.directory:
            is_same = endpoint.report.incarnation == crash.incarnation
            if is_same and endpoint.reported_at < crash.at:
                self._state.directory.record_failure(
                    endpoint.endpoint, crash.at
                )

    def _merge_loads(self, digest: ttypes.Digest, now: float) -> None:
        """Records the endpoint reports that are newer than the known ones."""
        for load in digest.loads:
            endpoint = self._state.directory.find(load.endpoint)
            requested_at = now - load.age_ms / 1000
            if endpoint is None or requested_at <= endpoint.reported_at:
                continue
            try:
                report = decoding.decode_msgpack(
                    load.report, endpoints.LoadReport
                )
            except decoding.DecodeError as error:
                _log.warning(
                    "A report of {} cannot be decoded: {}.",
                    load.endpoint,
                    error,
                )
                continue
            # The age does not include the time that the digest took to arrive.
            alive_at = requested_at - _MAX_DIGEST_DELAY_S
            self._state.directory.record_report(
                load.endpoint, report, requested_at, alive_at
            )
            if self.listener is not None:
                self.listener.record_load(
                    load.endpoint, report, requested_at, alive_at
                )

    async def _fetch_newer(self, digest: ttypes.Digest) -> None:
        """Fetches the configuration of a daemon that has a newer one."""
        own_version = self._state.holder.snapshot.version
        newer = [
            m for m in digest.members if m.configuration_version > own_version
        ]
        if not newer or self._fetching.locked():
            return
        async with self._fetching:
            for member in newer[:_URGENT_PEERS]:
                try:
                    if await self.fetch_configuration(member.address):
                        version = self._state.holder.snapshot.version
                        _log.info(
                            "Took version {} from {}.", version, member.daemon
                        )
                        self.exchange_now()
                        return
                except client.PeerError:
                    continue
