"""Spreads news between daemons by exchanging bounded digests.

Each daemon exchanges digests with one neighbour at every tick and with one
daemon of another failure domain at every few. Digests are sampled, so that
their size does not grow with the fleet. Urgent news is sent at once.

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
_CALL_S = 2.0
_FETCH_S = 10.0
_FOREIGN_EVERY = 3
_NEIGHBOURS_TOLD = 16
_FOREIGN_TOLD = 4
_DEATHS_TOLD = 64
_LOADS_TOLD = 16
_LEAVING_TOLD = 64
_URGENT_PEERS = 3
_RUMOUR_S = 30.0
_DEATH_PEERS = 64
_DEATH_S = 0.5
# Longest time that a digest is taken to spend on its way.
_UNDERWAY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """How often daemons gossip.

    Attributes:
        seeds: Addresses of daemons to begin with.
        tick_seconds: Time between exchanges.
        seed: Seed of the random choices.
        source_address: Local IP of outgoing connections; empty for any.
    """

    seeds: tuple[str, ...] = ()
    tick_seconds: float = 1.0
    seed: int = 0
    source_address: str = ""


@dataclasses.dataclass(slots=True)
class GossipState:
    """What gossip spreads and takes in.

    Attributes:
        members: The daemons.
        directory: The endpoints.
        suspects: Requests that endpoints died of.
        holder: The configuration.
        is_draining: Whether this daemon is shutting down.
    """

    members: membership.MemberTable
    directory: endpoints.Directory
    suspects: limits.SuspectTable
    holder: configuration.ConfigurationHolder
    is_draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Rumour:
    """An endpoint that leaves."""

    endpoint: ids.EndpointId
    incarnation: ids.Incarnation


class LoadListener(abc.ABC):
    """Hears of endpoint reports that other daemons made."""

    @abc.abstractmethod
    def note_load(
        self,
        endpoint: ids.EndpointId,
        report: endpoints.LoadReport,
        at: float,
        lived_at: float,
    ) -> None:
        """Notes a report that was made at a time on this process's clock.

        Args:
            endpoint: Whose report it is.
            report: What the endpoint said.
            at: When it was asked.
            lived_at: A time at which it surely lived.
        """


class Gossip:
    """Exchanges digests with other daemons.

    Args:
        state: What is spread and taken in.
        settings: How often.

    Attributes:
        listener: Hears of endpoint reports.
    """

    def __init__(self, state: GossipState, settings: GossipSettings):
        self._state = state
        self._settings = settings
        self.listener: LoadListener | None = None
        self._random = random.Random(settings.seed)
        self._clients: dict[str, client.PeerClient] = {}
        self._tasks = tasks.TaskGroup()
        self._rumours: dict[_Rumour, float] = {}
        self._fetching = asyncio.Lock()

    def start(self) -> None:
        """Starts the exchanges."""
        self._tasks.start(self._tick_forever(), "gossip")

    async def close(self) -> None:
        """Stops the exchanges and closes all connections."""
        await self._tasks.close()
        await asyncio.gather(*(c.close() for c in self._clients.values()))

    @property
    def sent_bytes(self) -> int:
        """Bytes sent so far to other daemons, without replies."""
        return sum(c.sent_bytes for c in self._clients.values())

    def get_client(self, address: str) -> client.PeerClient:
        """Returns the connection to a daemon."""
        if address not in self._clients:
            self._clients[address] = client.PeerClient(
                address, self._settings.source_address
            )
        return self._clients[address]

    def announce_leaving(
        self, endpoint: ids.EndpointId, incarnation: ids.Incarnation
    ) -> None:
        """Tells others at once that an endpoint leaves."""
        rumour = _Rumour(endpoint, incarnation)
        self._rumours[rumour] = clocks.read_monotonic()
        self.spread()

    async def announce_deaths(self) -> None:
        """Tells every daemon near at hand of a death, and waits for them.

        The request that an endpoint died of may come to another daemon next,
        so that an answer or a retry must not be faster than this news.
        """
        addresses = self.list_addresses(neighbours_only=False)
        addresses = addresses[:_DEATH_PEERS]
        telling = [
            self._tasks.start(self._exchange(address), "gossip-death")
            for address in addresses
        ]
        if telling:
            await asyncio.wait(telling, timeout=_DEATH_S)

    def spread(self) -> None:
        """Exchanges digests at once with a few daemons."""
        addresses = self.list_addresses(neighbours_only=False)
        self._random.shuffle(addresses)
        for address in addresses[:_URGENT_PEERS]:
            self._tasks.start(self._exchange(address), "gossip-urgent")

    def make_digest(self) -> ttypes.Digest:
        """Returns this daemon's digest."""
        now = clocks.read_monotonic()
        deaths = self._state.suspects.list_crashes(now)[-_DEATHS_TOLD:]
        self._rumours = {
            rumour: at
            for rumour, at in self._rumours.items()
            if now - at <= _RUMOUR_S
        }
        leaving = list(self._rumours)[:_LEAVING_TOLD]
        return ttypes.Digest(
            members=[
                digests.encode_member(m) for m in self._sample_members(now)
            ],
            leaving=[
                ttypes.Leaving(r.endpoint, r.incarnation) for r in leaving
            ],
            deaths=[
                ttypes.Death(
                    d.fingerprint,
                    d.incarnation,
                    digests.count_age_ms(d.at, now),
                    d.was_alone,
                )
                for d in deaths
            ],
            loads=self._sample_loads(now),
        )

    async def merge(self, digest: ttypes.Digest) -> None:
        """Takes in another daemon's digest."""
        now = clocks.read_monotonic()
        for member in digest.members:
            self._state.members.merge(digests.decode_member(member), now)
        self._merge_leaving(digest, now)
        self._merge_deaths(digest, now)
        self._merge_loads(digest, now)
        await self._fetch_newer(digest)

    async def fetch(self, address: str) -> bool:
        """Fetches the configuration of a daemon; returns whether it was newer.

        Raises:
            PeerError: If the daemon gave no usable answer.
        """
        holder = self._state.holder
        known = holder.snapshot.shards
        request = ttypes.Request(
            fetch=ttypes.FetchConfiguration([s.digest for s in known.values()])
        )
        reply = await self.get_client(address).call(
            request, clocks.Deadline.after(_FETCH_S)
        )
        try:
            snapshot = digests.decode_configuration(reply.configuration, known)
        except (configuration.ManifestError, msgspec.MsgspecError) as error:
            raise client.PeerError(str(error)) from error
        return holder.adopt(snapshot)

    async def fetch_vms(self, address: str) -> tuple[inventory.Vm, ...]:
        """Returns the VM list as another daemon last read it.

        Raises:
            PeerError: If the daemon gave no usable answer.
        """
        request = ttypes.Request(fetch=ttypes.FetchConfiguration([]))
        reply = await self.get_client(address).call(
            request, clocks.Deadline.after(_FETCH_S)
        )
        return msgspec.msgpack.decode(
            reply.configuration.vms, type=tuple[inventory.Vm, ...]
        )

    async def join(self) -> None:
        """Exchanges digests with every seed, and learns what they know."""
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
            self._state.members.beat(
                self._state.holder.snapshot.version, self._state.is_draining
            )
            for address in self._pick_peers(tick):
                self._tasks.start(self._exchange(address), "gossip-exchange")
            pause = self._settings.tick_seconds
            await asyncio.sleep(pause * self._random.uniform(0.8, 1.2))

    def _pick_peers(self, tick: int) -> list[str]:
        picked = []
        neighbours = self.list_addresses(neighbours_only=True)
        if neighbours:
            picked.append(self._random.choice(neighbours))
        if tick % _FOREIGN_EVERY == 0 or not neighbours:
            others = self.list_addresses(neighbours_only=False)
            others = [a for a in others if a not in neighbours]
            if others:
                picked.append(self._random.choice(others))
        return picked

    def list_addresses(self, neighbours_only: bool) -> list[str]:
        """Returns where the other daemons are reached."""
        now = clocks.read_monotonic()
        members = self._state.members
        if neighbours_only:
            listed = members.list_neighbours(now)
        else:
            listed = members.list_live(now)
        addresses = {m.address for m in listed}
        if not neighbours_only:
            # Seeds stay in reach, so that a healed partition joins again.
            addresses.update(self._settings.seeds)
        addresses.discard(members.own.address)
        return sorted(addresses)

    async def _exchange(self, address: str) -> None:
        request = ttypes.Request(digest=self.make_digest())
        try:
            reply = await self.get_client(address).call(
                request, clocks.Deadline.after(_CALL_S)
            )
        except client.PeerError:
            return
        if reply.digest is not None:
            await self.merge(reply.digest)

    def _sample_members(self, now: float) -> list[membership.Member]:
        table = self._state.members
        neighbours = table.list_neighbours(now)
        foreign = [m for m in table.list_live(now) if m not in neighbours]
        others = [m for m in neighbours if m.daemon != table.own.daemon]
        told = [table.own]
        told += self._sample(others, _NEIGHBOURS_TOLD)
        told += self._sample(foreign, _FOREIGN_TOLD)
        return told

    def _sample(self, items: list, count: int) -> list:
        return (
            items if len(items) <= count else self._random.sample(items, count)
        )

    def _sample_loads(self, now: float) -> list[ttypes.Load]:
        known = [e for e in self._state.directory if e.reported_at]
        known.sort(key=lambda e: e.reported_at, reverse=True)
        return [
            ttypes.Load(
                endpoint.endpoint,
                digests.count_age_ms(endpoint.reported_at, now),
                msgspec.msgpack.encode(endpoint.report),
            )
            for endpoint in known[:_LOADS_TOLD]
        ]

    def _merge_leaving(self, digest: ttypes.Digest, now: float) -> None:
        for told in digest.leaving:
            if self._state.directory.record_leaving(
                told.endpoint, told.incarnation
            ):
                _log.info("Endpoint {} leaves, says a daemon.", told.endpoint)
                rumour = _Rumour(told.endpoint, told.incarnation)
                self._rumours[rumour] = now

    def _merge_deaths(self, digest: ttypes.Digest, now: float) -> None:
        for death in digest.deaths:
            known = limits.Crash(
                death.fingerprint,
                death.incarnation,
                now - death.age_ms / 1000,
                death.was_alone,
            )
            if self._state.suspects.record_crash(known, now):
                self._note_dead(known)

    def _note_dead(self, death: limits.Crash) -> None:
        for endpoint in self._state.directory:
            is_same = endpoint.report.incarnation == death.incarnation
            if is_same and endpoint.reported_at < death.at:
                self._state.directory.record_failure(
                    endpoint.endpoint, death.at
                )

    def _merge_loads(self, digest: ttypes.Digest, now: float) -> None:
        for load in digest.loads:
            endpoint = self._state.directory.find(load.endpoint)
            at = now - load.age_ms / 1000
            if endpoint is None or at <= endpoint.reported_at:
                continue
            try:
                report = msgspec.msgpack.decode(
                    load.report, type=endpoints.LoadReport
                )
            except msgspec.MsgspecError:
                continue
            # The age leaves out how long the digest itself took to come.
            lived_at = at - _UNDERWAY_S
            self._state.directory.record_report(
                load.endpoint, report, at, lived_at
            )
            if self.listener is not None:
                self.listener.note_load(load.endpoint, report, at, lived_at)

    async def _fetch_newer(self, digest: ttypes.Digest) -> None:
        own = self._state.holder.snapshot.version
        newer = [m for m in digest.members if m.configuration_version > own]
        if not newer or self._fetching.locked():
            return
        async with self._fetching:
            for member in newer[:_URGENT_PEERS]:
                try:
                    if await self.fetch(member.address):
                        version = self._state.holder.snapshot.version
                        _log.info(
                            "Took version {} from {}.", version, member.daemon
                        )
                        self.spread()
                        return
                except client.PeerError:
                    continue
