"""Sends other gateways small digests of what they cannot observe themselves.

A digest holds all that a gateway has to share, so that the next one makes up
for one that was lost. Receivers ignore a digest that is older than the latest
one of the same sender.
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

# Time between two rounds of digests to some peers, in seconds.
_GOSSIP_INTERVAL_S = 0.2
# Urgent updates are batched for this long before a broadcast, in seconds.
_BROADCAST_DELAY_S = 0.005
# Least time between two broadcasts, in seconds for each peer: at shorter ones,
# broadcasts would saturate the slowest link of a VM.
_BROADCAST_INTERVAL_S_PER_PEER = 0.004
# A peer without a digest for this long counts as stopped, and versions that
# engines reported longer ago are no longer sent, in seconds.
_PEER_TIMEOUT_S = 3.0
_MAX_DIGEST_BYTES = 1_400
# Peers that receive the digest of a round, and most that receive a broadcast.
_GOSSIP_FANOUT = 8
_BROADCAST_FANOUT = 100
# Crashes in a digest; those recorded last are sent.
_MAX_DIGEST_CRASHES = 6
_log = logs.get_logger("peers")


class Peers(asyncio.DatagramProtocol):
    """Exchanges digests with other gateways.

    Args:
        settings: Settings of the gateway.
        replica: The gateway's replica of the store.
        loads: Estimated load of each endpoint.
        drains: Engines that are drained.
        prompts: Where shared prompts are cached.
        crashes: Requests that ran when endpoints crashed.
        feed: Exchanges changes of the store with other gateways.
        request_sync: Called with the revision of a peer that has a newer one.

    Attributes:
        is_leaving: Whether this gateway is shutting down.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        drains: drains_lib.DrainTable,
        prompts: prompts_lib.PromptTable,
        crashes: limits.CrashTable,
        feed: feeds.Feed,
        request_sync: Callable[[int], None],
    ):
        self._settings = settings
        self._replica = replica
        self._loads = loads
        self._drains = drains
        self._prompts = prompts
        self._crashes = crashes
        self._feed = feed
        feed.send = self.send
        self._is_broadcast_scheduled = False
        self._next_broadcast = clocks.Deadline(float("-inf"))
        self._request_sync = request_sync
        self._transport: asyncio.DatagramTransport | None = None
        self._started = int(clocks.read_wall() * 1000)
        self._number = 0
        # Start time of the process and number of the latest digest, by sender.
        self._latest_digests: dict[str, tuple[int, int]] = {}
        # Version and time of the latest report, by engine and model.
        self._observed_weights: dict[tuple[str, str], tuple[int, float]] = {}
        # The last sender that reported drains; empty before.
        self._drain_reporter = ""
        # Time of the last digest, start time of the process and whether it is
        # leaving, by sender.
        self._last_received: dict[str, tuple[float, int, bool]] = {}
        self.is_leaving = False
        self._random = random.Random(settings.name)

    async def start(self) -> None:
        """Listens for datagrams.

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
        """Sends digests in rounds until cancelled."""
        while True:
            self._send_digest(_GOSSIP_FANOUT)
            await asyncio.sleep(
                _GOSSIP_INTERVAL_S * self._random.uniform(0.9, 1.1)
            )

    def schedule_broadcast(self) -> None:
        """Sends a digest to all peers soon, batched with other updates."""
        if not self._is_broadcast_scheduled:
            self._is_broadcast_scheduled = True
            delay = max(_BROADCAST_DELAY_S, self._next_broadcast.remaining())
            asyncio.get_running_loop().call_later(delay, self._broadcast)

    def _broadcast(self) -> None:
        self._is_broadcast_scheduled = False
        interval_s = _BROADCAST_INTERVAL_S_PER_PEER * len(self._replica.members)
        self._next_broadcast = clocks.Deadline.after(interval_s)
        self._send_digest(_BROADCAST_FANOUT)

    def _send_digest(self, count: int) -> None:
        """Sends a digest to some peers, or to all if they are few."""
        if not self._is_open:
            return
        datagram = msgspec.msgpack.encode(self._make_digest())
        if len(datagram) > _MAX_DIGEST_BYTES:
            _log.warning(
                "A digest of {} bytes is too large to send.", len(datagram)
            )
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

    def count_started_later(self) -> int:
        """Returns how many live gateways started after this one.

        In a rolling restart, those have been restarted already, and the one
        that started last is the last to be stopped again.
        """
        now = clocks.read_monotonic()
        return sum(
            now - at < _PEER_TIMEOUT_S
            and started > self._started
            and not is_leaving
            for at, started, is_leaving in self._last_received.values()
        )

    def record_weights(
        self, endpoint_id: ids.EndpointId, model: str, version: int
    ) -> None:
        """Records a version that an engine reported, for the next digests."""
        self._replica.registry.record_weights(endpoint_id, model, version)
        now = clocks.read_monotonic()
        self._observed_weights[endpoint_id, model] = (version, now)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram from another gateway."""
        try:
            message = msgspec.msgpack.decode(data, type=digests.Message)
        except msgspec.MsgspecError as error:
            _log.warning(
                "A datagram from {} cannot be decoded: {}.", addr[0], error
            )
            return
        if isinstance(message, digests.FeedRequest):
            self._feed.respond(message, f"{addr[0]}:{addr[1]}")
        elif isinstance(message, digests.FeedResponse):
            self._handle_response(message, addr[0])
        else:
            self._handle_digest(message)

    def _handle_response(
        self, response: digests.FeedResponse, sender: str
    ) -> None:
        """Passes a response to the feed; logs one that cannot be decoded."""
        try:
            self._feed.handle_response(response)
        except (msgspec.MsgspecError, zlib.error) as error:
            _log.warning(
                "Changes from {} cannot be decoded: {}.", sender, error
            )

    def send(self, address: str, message: digests.Message) -> None:
        """Sends a message to one gateway."""
        self._send_to([address], msgspec.msgpack.encode(message))

    def _handle_digest(self, digest: digests.Digest) -> None:
        """Merges a digest unless it is older than the sender's latest one."""
        sequence = (digest.started, digest.number)
        if sequence > self._latest_digests.get(digest.sender, (0, 0)):
            self._latest_digests[digest.sender] = sequence
            self._merge(digest)

    def error_received(self, exc: Exception) -> None:
        """Logs that a datagram could not be delivered."""
        _log.debug("A datagram was not delivered: {}.", exc)

    def _make_digest(self) -> digests.Digest:
        """Returns the next digest of this gateway's state."""
        self._number += 1
        now = clocks.read_monotonic()
        self._observed_weights = {
            key: observed
            for key, observed in self._observed_weights.items()
            if now - observed[1] < _PEER_TIMEOUT_S
        }
        return digests.Digest(
            sender=self._settings.name,
            started=self._started,
            number=self._number,
            revision=self._replica.revision,
            loads=[
                digests.LoadUpdate(
                    endpoint_id,
                    load.running,
                    load.prompt_tokens,
                    load.held_tokens,
                )
                for endpoint_id, load in self._loads.list_own().items()
            ],
            draining=self._drains.list_own(),
            weights=[
                digests.WeightsUpdate(endpoint_id, model, version)
                for (endpoint_id, model), (
                    version,
                    _,
                ) in self._observed_weights.items()
            ],
            target_versions=[
                digests.TargetVersionUpdate(
                    target.model,
                    target.version,
                    int((now - target.at) * 1000),
                    int(target.slack * 1000),
                )
                for target in self._replica.target_versions.list_known()
            ],
            crashes=[
                digests.CrashUpdate(
                    crash.fingerprint,
                    crash.incarnation,
                    int((now - crash.at) * 1000),
                )
                for crash in self._crashes.list_crashes(now)[
                    -_MAX_DIGEST_CRASHES:
                ]
            ],
            is_leaving=self.is_leaving,
            prefills=[
                digests.PrefillUpdate(
                    key, incarnation, int((now - began) * 1000)
                )
                for key, incarnation, began in self._prompts.list_prefills()
            ],
            cache_uses=[
                digests.CacheUseUpdate(
                    use.key,
                    use.incarnation,
                    use.tokens,
                    int((now - use.at) * 1000),
                )
                for use in self._prompts.list_cache_uses()
            ],
            cache_store_age_ms=self._read_cache_store_age(),
        )

    def _read_cache_store_age(self) -> int | None:
        """Returns the ms since the cache store's last response to this gateway.

        It is None if this gateway does not watch the cache store, or the cache
        store is unresponsive.
        """
        store = self._prompts.store
        age = store.count_age() if store.is_watched else None
        return None if age is None else int(age * 1000)

    def _merge(self, digest: digests.Digest) -> None:
        """Merges a peer's state into this gateway's tables."""
        now = clocks.read_monotonic()
        self._loads.merge_peer(
            digest.sender,
            {
                ids.EndpointId(update.endpoint): fleet.EndpointLoad(
                    update.running, update.prompt_tokens, update.held_tokens
                )
                for update in digest.loads
            },
            now,
        )
        for update in digest.weights:
            endpoint_id = ids.EndpointId(update.endpoint)
            if self._replica.registry.find(endpoint_id) is not None:
                self._replica.registry.record_weights(
                    endpoint_id, update.model, update.version
                )
        for target in digest.target_versions:
            self._replica.target_versions.record_peer_time(
                target.model,
                target.version,
                now - target.age_ms / 1000,
                target.slack_ms / 1000,
            )
        store = self._prompts.store
        if digest.cache_store_age_ms is not None and not store.is_watched:
            store.record_response(digest.cache_store_age_ms / 1000)
        self._prompts.merge_peer(
            digest.sender,
            [
                (prefill.key, prefill.incarnation, now - prefill.age_ms / 1000)
                for prefill in digest.prefills
            ],
            [
                prompts_lib.CacheUse(
                    use.key,
                    use.incarnation,
                    use.tokens,
                    now - use.age_ms / 1000,
                )
                for use in digest.cache_uses
            ],
        )
        for update in digest.crashes:
            crash = limits.Crash(
                update.fingerprint,
                update.incarnation,
                now - update.age_ms / 1000,
            )
            self._crashes.merge(crash, now)
        self._last_received[digest.sender] = (
            now,
            digest.started,
            digest.is_leaving,
        )
        # An empty list ends the drains that the same sender reported before.
        if digest.draining or digest.sender == self._drain_reporter:
            self._drain_reporter = digest.sender
            self._drains.record_reported(
                digest.draining, clocks.Deadline(now + _PEER_TIMEOUT_S / 2)
            )
        if digest.revision > self._replica.revision:
            self._request_sync(digest.revision)
