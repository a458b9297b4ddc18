"""Forwards claims to the preferred daemon of their shard, in batches."""

import asyncio
from collections.abc import Callable

import msgspec
import xxhash

from sardinewharf import claims
from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import ids
from sardinewharf import logs
from sardinewharf import tasks
from sardinewharf.daemons import client
from sardinewharf.daemons import membership
from sardinewharf.daemons.gen.wire import ttypes

_BATCH_LINGER_S = 0.002
# A daemon that failed is not preferred for this long.
_FAILURE_BACKOFF_S = 5.0
_encoder = msgspec.msgpack.Encoder()
_log = logs.get_logger("forwarder")

_Item = tuple[claims.Operation, asyncio.Future]


class PeerClaimForwarder(claims.ClaimForwarder):
    """Forwards each shard's operations to its preferred live daemon.

    Args:
        members: The known daemons.
        get_client: Returns the client for an address.
    """

    def __init__(
        self,
        members: membership.MemberTable,
        get_client: Callable[[str], client.PeerClient],
    ):
        self._members = members
        self._get_client = get_client
        # Operations that wait to be sent, by daemon and shard.
        self._waiting: dict[tuple[ids.DaemonId, int], list[_Item]] = {}
        self._backoffs: dict[ids.DaemonId, clocks.Deadline] = {}
        self._tasks = tasks.TaskGroup()

    async def close(self) -> None:
        """Cancels all pending messages."""
        await self._tasks.close()

    def find_preferred_daemon(self, shard: int) -> ids.DaemonId | None:
        """Returns the preferred daemon of a shard.

        It is chosen by rendezvous hashing among the live daemons that neither
        drain nor are in backoff.

        Returns:
            The preferred daemon, or None if it is this one.
        """
        live = self._members.list_live(clocks.read_monotonic())
        eligible = [
            m
            for m in live
            if not m.is_draining and not self._is_in_backoff(m.daemon)
        ]
        if not eligible:
            return None
        preferred_daemon = max(
            eligible, key=lambda m: _score(m.daemon, shard)
        ).daemon
        return (
            None
            if preferred_daemon == self._members.own.daemon
            else preferred_daemon
        )

    async def forward(
        self,
        preferred_daemon: ids.DaemonId,
        shard: int,
        operation: claims.Operation,
        deadline: clocks.Deadline,
    ) -> claims.ClaimResult | None:
        """Returns the daemon's result, or None if it gave none in time.

        Operations for the same daemon and shard that follow within a short
        time are sent in the same message, under the deadline of the first.
        """
        future = asyncio.get_running_loop().create_future()
        key = (preferred_daemon, shard)
        if key not in self._waiting:
            self._waiting[key] = []
            self._tasks.start(self._send(key, deadline), "claims-forward")
        self._waiting[key].append((operation, future))
        return await future

    async def _send(
        self, key: tuple[ids.DaemonId, int], deadline: clocks.Deadline
    ) -> None:
        """Sends the operations for a daemon and shard after a short wait."""
        await asyncio.sleep(_BATCH_LINGER_S)
        items = self._waiting.pop(key)
        try:
            results = await self._call(key, items, deadline)
        except (client.PeerError, decoding.DecodeError) as error:
            _log.warning("Daemon {} committed nothing: {}.", key[0], error)
            self._backoffs[key[0]] = clocks.Deadline.after(_FAILURE_BACKOFF_S)
            results = [None] * len(items)
        for (_, future), result in zip(items, results, strict=True):
            if not future.done():
                future.set_result(result)

    async def _call(
        self,
        key: tuple[ids.DaemonId, int],
        items: list[_Item],
        deadline: clocks.Deadline,
    ) -> list[claims.ClaimResult | None]:
        """Returns the daemon's result for each operation, in order.

        Raises:
            PeerError: If the daemon gave no usable response.
        """
        preferred_daemon, shard = key
        address = self._find_address(preferred_daemon)
        batch = ttypes.ClaimBatch(
            shard,
            [_encoder.encode(operation) for operation, _ in items],
            int(deadline.remaining() * 1000),
        )
        reply = await self._get_client(address).call(
            ttypes.Request(claims=batch), deadline
        )
        if reply.claims is None or reply.claims.results is None:
            raise client.PeerError("The reply holds no results.")
        results = [_decode_result(data) for data in reply.claims.results]
        if len(results) != len(items):
            raise client.PeerError(
                "The number of results differs from that of operations."
            )
        return results

    def _find_address(self, daemon: ids.DaemonId) -> str:
        for member in self._members.list_live(clocks.read_monotonic()):
            if member.daemon == daemon:
                return member.address
        raise client.PeerError(f"Daemon {daemon} is not live.")

    def _is_in_backoff(self, daemon: ids.DaemonId) -> bool:
        deadline = self._backoffs.get(daemon)
        if deadline is not None and deadline.is_past():
            del self._backoffs[daemon]
            return False
        return deadline is not None


async def commit_batch(
    ledger: claims.ClaimLedger, batch: ttypes.ClaimBatch
) -> ttypes.ClaimResults:
    """Commits a batch that another daemon forwarded."""
    deadline = clocks.Deadline.after(batch.remaining_ms / 1000)
    operations = [
        decoding.decode_msgpack(data, claims.Operation)
        for data in batch.operations
    ]
    results = await asyncio.gather(
        *(ledger.commit(operation, deadline) for operation in operations)
    )
    return ttypes.ClaimResults([_encoder.encode(r) for r in results])


def _decode_result(data: bytes) -> claims.ClaimResult | None:
    """Returns a result, or None if the operation may not be committed yet.

    For None, the ledger of this daemon commits the operation itself.
    """
    result = decoding.decode_msgpack(data, claims.ClaimResult)
    if isinstance(result, claims.ClaimsUnavailable | claims.ClaimUnknown):
        return None
    return result


def _score(daemon: str, shard: int) -> int:
    """Returns the rendezvous hash of a daemon for a shard."""
    return xxhash.xxh3_64_intdigest(f"{daemon}/{shard}".encode())
