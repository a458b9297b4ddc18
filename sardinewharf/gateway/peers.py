"""Tells other gateways in small datagrams what they cannot see themselves.

A datagram holds a gateway's whole news, so that one that is lost is made up
for by the next. Each receiver keeps the newest of each sender.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random
import zlib

import msgspec

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import logs
from sardinewharf.gateway import digests
from sardinewharf.gateway import drains as drains_lib
from sardinewharf.gateway import feeds
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib

# Time between datagrams to each peer, in seconds.
_TICK_S = 0.2
# News that cannot wait for that are gathered for this long, in seconds.
_SOON_S = 0.005
# Digests to all peers are this far apart, in seconds for each peer: more often,
# they would fill the slowest link of a VM.
_GAP_S_PER_PEER = 0.004
# Work of a peer that has not been heard for this long is forgotten.
_SILENT_S = 3.0
_MAX_BYTES = 1_400
# Peers that hear of each tick, and of news that cannot wait.
_TICK_PEERS = 8
_MAX_PEERS = 100
_MAX_DEATHS = 6
_log = logs.get_logger("peers")


class Peers(asyncio.DatagramProtocol):
    """Exchanges digests with other gateways.

    Args:
        settings: Settings of the gateway.
        replica: What the gateway believes.
        loads: Work at endpoints.
        rolls: Engines that are led away from.
        prompts: Where shared prompts are.
        crashes: Requests that endpoints died of.
        feed: Changes of the store for those that do not watch it.
        hurry: Called when a peer has seen a newer revision of the store.

    Attributes:
        is_leaving: Whether this gateway is shutting down.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        rolls: drains_lib.DrainTable,
        prompts: prompts_lib.PromptTable,
        crashes: limits.CrashTable,
        feed: feeds.Feed,
        hurry: Callable[[int], None],
    ):
        self._settings = settings
        self._replica = replica
        self._loads = loads
        self._rolls = rolls
        self._prompts = prompts
        self._crashes = crashes
        self._feed = feed
        feed.send = self.send
        self._is_telling = False
        self._may_tell_from = clocks.Deadline(float("-inf"))
        self._hurry = hurry
        self._transport: asyncio.DatagramTransport | None = None
        self._started = int(clocks.read_wall() * 1000)
        self._number = 0
        self._newest: dict[str, tuple[int, int]] = {}
        self._shown: dict[tuple[str, str], tuple[int, float]] = {}
        self._roller = ""
        self._heard: dict[str, tuple[float, int, bool]] = {}
        self.is_leaving = False
        self._random = random.Random(settings.name)

    async def start(self) -> None:
        """Listens for digests.

        Raises:
            OSError: If the address cannot be bound.
        """
        host, _, port = self._settings.peer_listen.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def close(self) -> None:
        """Stops listening."""
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Sends digests until cancelled."""
        while True:
            self._tell(_TICK_PEERS)
            await asyncio.sleep(_TICK_S * self._random.uniform(0.9, 1.1))

    def tell_soon(self) -> None:
        """Sends a digest to all peers, together with other news."""
        if not self._is_telling:
            self._is_telling = True
            delay = max(_SOON_S, self._may_tell_from.remaining())
            asyncio.get_running_loop().call_later(delay, self._tell_all)

    def _tell_all(self) -> None:
        self._is_telling = False
        gap = _GAP_S_PER_PEER * len(self._replica.members)
        self._may_tell_from = clocks.Deadline.after(gap)
        self._tell(_MAX_PEERS)

    def _tell(self, count: int) -> None:
        """Sends a digest to some peers, or to all if they are few."""
        if not self._is_open:
            return
        datagram = msgspec.msgpack.encode(self._make_digest())
        if len(datagram) > _MAX_BYTES:
            _log.warning("A digest of {} bytes is not sent.", len(datagram))
            return
        own = self._settings.name
        others = [a for n, a in self._replica.members.items() if n != own]
        if len(others) > count:
            others = self._random.sample(others, count)
        self._send_to(others, datagram)

    def _send_to(self, addresses: Iterable[str], datagram: bytes) -> None:
        if not self._is_open:
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(datagram, (host, int(port)))

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def count_younger(self) -> int:
        """Returns how many live gateways started after this one.

        In a rolling restart the youngest is the last to be stopped again.
        """
        now = clocks.read_monotonic()
        return sum(
            now - at < _SILENT_S and started > self._started and not is_leaving
            for at, started, is_leaving in self._heard.values()
        )

    def note_weights(
        self, endpoint_id: ids.EndpointId, model: str, version: int
    ) -> None:
        """Notes a version that an engine showed, to be told to peers."""
        self._replica.registry.record_weights(endpoint_id, model, version)
        now = clocks.read_monotonic()
        self._shown[endpoint_id, model] = (version, now)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport of the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes in a datagram."""
        try:
            message = msgspec.msgpack.decode(data, type=digests.Message)
        except msgspec.MsgspecError as error:
            _log.warning("A digest of {} cannot be read: {}.", addr[0], error)
            return
        if isinstance(message, digests.FeedCall):
            self._feed.answer(message, f"{addr[0]}:{addr[1]}")
        elif isinstance(message, digests.FeedAnswer):
            self._take_answer(message, addr[0])
        else:
            self._take_digest(message)

    def _take_answer(self, answer: digests.FeedAnswer, sender: str) -> None:
        try:
            self._feed.take(answer)
        except (msgspec.MsgspecError, zlib.error) as error:
            _log.warning("Changes of {} cannot be read: {}.", sender, error)

    def send(self, address: str, message: digests.Message) -> None:
        """Sends a message to one gateway."""
        self._send_to([address], msgspec.msgpack.encode(message))

    def _take_digest(self, digest: digests.Digest) -> None:
        age = (digest.started, digest.number)
        if age > self._newest.get(digest.sender, (0, 0)):
            self._newest[digest.sender] = age
            self._merge(digest)

    def error_received(self, exc: Exception) -> None:
        """Notes that a datagram could not be delivered."""
        _log.debug("A datagram was not delivered: {}.", exc)

    def _make_digest(self) -> digests.Digest:
        self._number += 1
        now = clocks.read_monotonic()
        self._shown = {
            key: shown
            for key, shown in self._shown.items()
            if now - shown[1] < _SILENT_S
        }
        return digests.Digest(
            sender=self._settings.name,
            started=self._started,
            number=self._number,
            revision=self._replica.revision,
            loads=[
                digests.LoadNews(
                    endpoint_id,
                    load.running,
                    load.prompt_tokens,
                    load.held_tokens,
                )
                for endpoint_id, load in self._loads.list_own().items()
            ],
            rolling=self._rolls.list_own(),
            weights=[
                digests.WeightsNews(endpoint_id, model, version)
                for (endpoint_id, model), (version, _) in self._shown.items()
            ],
            namings=[
                digests.NamingNews(
                    naming.model,
                    naming.version,
                    int((now - naming.at) * 1000),
                    int(naming.slack * 1000),
                )
                for naming in self._replica.namings.list_known()
            ],
            deaths=[
                digests.DeathNews(
                    death.fingerprint,
                    death.incarnation,
                    int((now - death.at) * 1000),
                )
                for death in self._crashes.list_crashes(now)[-_MAX_DEATHS:]
            ],
            is_leaving=self.is_leaving,
            reads=[
                digests.ReadNews(key, incarnation, int((now - began) * 1000))
                for key, incarnation, began in self._prompts.list_prefills()
            ],
            uses=[
                digests.UseNews(
                    use.key,
                    use.incarnation,
                    use.tokens,
                    int((now - use.at) * 1000),
                )
                for use in self._prompts.list_uses()
            ],
            store_age_ms=self._read_store_age(),
        )

    def _read_store_age(self) -> int | None:
        store = self._prompts.store
        age = store.count_age() if store.is_watched else None
        return None if age is None else int(age * 1000)

    def _merge(self, digest: digests.Digest) -> None:
        now = clocks.read_monotonic()
        self._loads.merge_peer(
            digest.sender,
            {
                ids.EndpointId(news.endpoint): fleet.EndpointLoad(
                    news.running, news.prompt_tokens, news.held_tokens
                )
                for news in digest.loads
            },
            now,
        )
        for news in digest.weights:
            endpoint_id = ids.EndpointId(news.endpoint)
            if self._replica.registry.find(endpoint_id) is not None:
                self._replica.registry.record_weights(
                    endpoint_id, news.model, news.version
                )
        for naming in digest.namings:
            self._replica.namings.record_peer_time(
                naming.model,
                naming.version,
                now - naming.age_ms / 1000,
                naming.slack_ms / 1000,
            )
        store = self._prompts.store
        if digest.store_age_ms is not None and not store.is_watched:
            store.record_response(digest.store_age_ms / 1000)
        self._prompts.merge_peer(
            digest.sender,
            [
                (read.key, read.incarnation, now - read.age_ms / 1000)
                for read in digest.reads
            ],
            [
                prompts_lib.CacheUse(
                    use.key,
                    use.incarnation,
                    use.tokens,
                    now - use.age_ms / 1000,
                )
                for use in digest.uses
            ],
        )
        for news in digest.deaths:
            death = limits.Crash(
                news.fingerprint, news.incarnation, now - news.age_ms / 1000
            )
            self._crashes.merge(death, now)
        self._heard[digest.sender] = (now, digest.started, digest.is_leaving)
        if digest.rolling or digest.sender == self._roller:
            self._roller = digest.sender
            self._rolls.record_reported(
                digest.rolling, clocks.Deadline(now + _SILENT_S / 2)
            )
        if digest.revision > self._replica.revision:
            self._hurry(digest.revision)
