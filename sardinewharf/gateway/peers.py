"""Exchanges messages with the other gateways.

Each gateway sends digests of its state to a few peers at regular intervals, and
urgent updates to all.

See Also:
    ``exchange``, which makes the messages and merges those of other gateways.
    ``broadcasts``, which paces the urgent updates.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

import msgspec

from sardinewharf import addresses
from sardinewharf import decoding
from sardinewharf import logs
from sardinewharf import quotas
from sardinewharf import tasks
from sardinewharf.gateway import broadcasts
from sardinewharf.gateway import digests
from sardinewharf.gateway import exchange as exchange_lib
from sardinewharf.gateway import feeds
from sardinewharf.gateway import quotas as quotas_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import suspect_reports

# Time between two rounds of digests to some peers, in seconds.
GOSSIP_INTERVAL_S = 0.2
# Peers that receive the digest of a round.
_GOSSIP_FANOUT = 8
# Time between two reports of requests that crashed endpoints, in seconds.
_SUSPECT_REPORT_INTERVAL_S = 1.0
_MAX_DATAGRAM_BYTES = 1_400
# A broadcast holds a whole digest if that takes at most this long, in seconds.
_MAX_DIGEST_BROADCAST_S = 0.02
_log = logs.get_logger("peers")


class Peers(asyncio.DatagramProtocol):
    """Exchanges digests with other gateways.

    Args:
        settings: Settings of the gateway.
        replica: The gateway's replica of the store.
        exchange: Makes and merges the messages.
        suspects: Makes and merges reports of requests that crash endpoints.
        feed: Exchanges changes of the store with other gateways.
        request_sync: Called with the revision and the name of a peer that has a
            newer one.
        quota_gate: Exchanges messages about quotas.
        failures: Counts the datagrams whose handling failed.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        replica: replica_lib.Replica,
        exchange: exchange_lib.StateExchange,
        suspects: suspect_reports.SuspectExchange,
        feed: feeds.Feed,
        request_sync: Callable[[int, str], None],
        quota_gate: quotas_lib.QuotaGate,
        failures: tasks.FailureCounter | None = None,
    ):
        self._settings = settings
        self._replica = replica
        self._exchange = exchange
        self._suspects = suspects
        self._feed = feed
        feed.send = self.send
        self._request_sync = request_sync
        self._quota_gate = quota_gate
        quota_gate.send = self.send
        quota_gate.set_digest_interval(self.estimate_digest_interval)
        self._failures = failures or tasks.FailureCounter()
        self._transport: asyncio.DatagramTransport | None = None
        self._is_closed = False
        self._random = random.Random(settings.name)
        self._broadcast_pace = broadcasts.compute_pace(settings.link_mbps)
        self._broadcaster = self._make_broadcaster(self._make_broadcast)
        self._suspect_broadcaster = self._make_broadcaster(
            self._make_change_report
        )

    def _make_broadcaster(
        self, make_datagram: Callable[[], bytes | None]
    ) -> broadcasts.Broadcaster:
        return broadcasts.Broadcaster(
            self._broadcast_pace,
            self._list_addresses,
            make_datagram,
            self._send_to,
        )

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
        self._is_closed = True
        if self._transport is not None:
            self._transport.close()

    async def run_broadcasts(self) -> None:
        """Sends the requested broadcasts until cancelled."""
        await self._broadcaster.run()

    async def run_gossip(self) -> None:
        """Sends digests in rounds until cancelled.

        Raises:
            OSError: If the socket was closed and cannot be opened again.
        """
        while True:
            if not self._is_open and not self._is_closed:
                _log.warning("The socket was closed and is opened again.")
                await self.start()
            datagram = self._encode(self._exchange.make_digest())
            if datagram is not None:
                self._send_to(self._choose_addresses(), datagram)
            if self._exchange.is_draining:
                # A peer that missed a broadcast must not use the engines.
                self._broadcaster.request()
            await asyncio.sleep(
                GOSSIP_INTERVAL_S * self._random.uniform(0.9, 1.1)
            )

    async def run_suspect_reports(self) -> None:
        """Reports requests that crashed endpoints until cancelled.

        A change goes to all peers. The rest goes to a few at intervals, for
        those that started later or did not receive it.
        """
        broadcasts_task = asyncio.ensure_future(self._suspect_broadcaster.run())
        try:
            while not broadcasts_task.done():
                report = self._suspects.make_report()
                if report is not None:
                    self._send_to(
                        self._choose_addresses(), _encode_report(report)
                    )
                await asyncio.sleep(
                    _SUSPECT_REPORT_INTERVAL_S * self._random.uniform(0.9, 1.1)
                )
            await broadcasts_task
        finally:
            broadcasts_task.cancel()

    def schedule_suspect_report(self) -> None:
        """Reports requests that crashed endpoints to all peers soon."""
        self._suspect_broadcaster.request()

    def _make_change_report(self) -> bytes | None:
        report = self._suspects.make_change_report()
        if self._suspects.has_changes:
            self._suspect_broadcaster.request()
        return None if report is None else _encode_report(report)

    def schedule_broadcast(self) -> None:
        """Sends an urgent update to all peers soon."""
        self._broadcaster.request()

    def estimate_digest_interval(self) -> float:
        """Returns the mean time between two digests of a peer, in seconds."""
        peers = max(0, len(self._replica.members) - 1)
        return GOSSIP_INTERVAL_S * max(1.0, peers / _GOSSIP_FANOUT)

    def _make_broadcast(self) -> bytes | None:
        """Returns a digest, or an urgent update if the link is too slow.

        A digest also holds the loads, which change with each broadcast.
        """
        duration_s = (
            len(self._replica.members)
            * _MAX_DATAGRAM_BYTES
            / self._broadcast_pace.bytes_per_s
        )
        if duration_s <= _MAX_DIGEST_BROADCAST_S:
            return self._encode(self._exchange.make_digest())
        return self._encode(self._exchange.make_urgent_update())

    def _encode(
        self, message: digests.Digest | digests.UrgentUpdate
    ) -> bytes | None:
        """Returns a message as a datagram; None if it is too large.

        Cache uses are left out first: a gateway with many has many requests,
        whose loads its peers have to know.
        """
        datagram = msgspec.msgpack.encode(message)
        if len(datagram) > _MAX_DATAGRAM_BYTES:
            shorter = msgspec.structs.replace(message, cache_uses=[])
            datagram = msgspec.msgpack.encode(shorter)
        if len(datagram) <= _MAX_DATAGRAM_BYTES:
            return datagram
        _log.warning(
            "A {} of {} bytes is too large to send.",
            type(message).__name__,
            len(datagram),
        )
        return None

    def _list_addresses(self) -> list[str]:
        """Returns the addresses of all peers."""
        own = self._settings.name
        return [a for n, a in self._replica.members.items() if n != own]

    def _choose_addresses(self) -> list[str]:
        """Returns the addresses of some peers, or of all if they are few."""
        others = self._list_addresses()
        if len(others) > _GOSSIP_FANOUT:
            return self._random.sample(others, _GOSSIP_FANOUT)
        return others

    def _send_to(self, recipients: Iterable[str], datagram: bytes) -> None:
        if not self._is_open:
            return
        for address in recipients:
            self._transport.sendto(datagram, addresses.parse_address(address))

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram from another gateway; called by asyncio."""
        with self._failures.contain("datagram"):
            self._handle_datagram(data, addr)

    def _handle_datagram(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            message = decoding.decode_msgpack(data, digests.Message)
        except decoding.DecodeError as error:
            _log.warning(
                "A datagram from {} cannot be decoded: {}.", addr[0], error
            )
            return
        if isinstance(message, digests.FeedRequest):
            self._feed.respond(message, f"{addr[0]}:{addr[1]}")
        elif isinstance(message, quotas.Message):
            self._quota_gate.handle(message, f"{addr[0]}:{addr[1]}")
        elif isinstance(message, digests.SuspectReport):
            self._suspects.merge(message)
        elif isinstance(message, digests.FeedResponse):
            self._handle_response(message, addr[0])
        else:
            self._handle_state(message)

    def _handle_state(
        self, message: digests.Digest | digests.UrgentUpdate
    ) -> None:
        """Merges a peer's state; requests its newer changes of the store."""
        self._exchange.handle(message)
        if isinstance(message, digests.Digest):
            self._quota_gate.record_digest(message)
        if (
            isinstance(message, digests.Digest)
            and message.revision > self._replica.revision
        ):
            self._request_sync(message.revision, message.sender)

    def _handle_response(
        self, response: digests.FeedResponse, sender: str
    ) -> None:
        """Passes a response to the feed; logs one that cannot be decoded."""
        try:
            self._feed.handle_response(response)
        except decoding.DecodeError as error:
            _log.warning(
                "Changes from {} cannot be decoded: {}.", sender, error
            )

    def send(self, address: str, message: digests.Message) -> None:
        """Sends a message to one gateway."""
        self._send_to([address], msgspec.msgpack.encode(message))

    def error_received(self, exc: Exception) -> None:
        """Logs that a datagram could not be delivered."""
        _log.debug("A datagram was not delivered: {}.", exc)


def _encode_report(report: digests.SuspectReport) -> bytes:
    """Returns a report as a datagram, without what does not fit into one."""
    datagram = msgspec.msgpack.encode(report)
    if len(datagram) <= _MAX_DATAGRAM_BYTES or len(report.suspects) == 1:
        return datagram
    half = report.suspects[: len(report.suspects) // 2]
    _log.warning(
        "A report of {} bytes is too large; {} of {} requests are left out.",
        len(datagram),
        len(report.suspects) - len(half),
        len(report.suspects),
    )
    return _encode_report(digests.SuspectReport(half))
