"""Measures the claim throughput of daemons on a store with limited writes."""

import asyncio
import dataclasses
import random
import time
import uuid

import hdrh.histogram

from sardinewharf import bench
from sardinewharf import claims
from sardinewharf import clocks
from sardinewharf import daemons
from sardinewharf import ids
from sardinewharf import testbed
from sardinewharf.daemons.gen.wire import ttypes
from sardinewharf.keyvalue import http as kv_http

_DAEMONS = 9
_WRITES_PER_SECOND = 300
_DURATION_S = 4.0
_CLAIMS_PER_SECOND = (200, 1000, 2500)
_CLAIM_TIMEOUT_S = 5.0
_HEADER = (
    "commit mode",
    "offered/s",
    "granted/s",
    "claims/write",
    "writes/s",
    "conflicts/s",
    "p50 ms",
    "p99 ms",
)


@dataclasses.dataclass(frozen=True, slots=True)
class _CommitMode:
    name: str
    has_preferred_daemons: bool
    settings: claims.CommitterSettings


_COMMIT_MODES = (
    _CommitMode(
        "one write per claim",
        False,
        claims.CommitterSettings(
            linger_seconds=0.0, interval_seconds=0.0, batch_limit=1
        ),
    ),
    _CommitMode(
        "each daemon commits its own batches", False, claims.CommitterSettings()
    ),
    _CommitMode(
        "a preferred daemon for each shard", True, claims.CommitterSettings()
    ),
)


class _Handler(daemons.PeerHandler):
    """Commits the claims that other daemons forward to this one."""

    def __init__(self, ledger: claims.ClaimLedger):
        self._ledger = ledger

    async def handle(self, request: ttypes.Request) -> ttypes.Reply:
        results = await daemons.commit_batch(self._ledger, request.claims)
        return ttypes.Reply(claims=results)


class _ClaimDaemon:
    """The parts of a daemon that handle claims."""

    def __init__(self, kv_address: str, addresses: list[str], number: int):
        self.kv = kv_http.HttpKeyValueStore((kv_address,))
        self._addresses = addresses
        self._number = number
        self._clients: dict[str, daemons.PeerClient] = {}
        self._server: daemons.PeerServer | None = None
        self._forwarder: daemons.PeerClaimForwarder | None = None

    async def start(self, mode: _CommitMode) -> None:
        members = [
            daemons.Member(
                ids.DaemonId(f"d{n}"), address, ids.FailureDomainId("fd"), 1
            )
            for n, address in enumerate(self._addresses)
        ]
        table = daemons.MemberTable(members[self._number], 3600.0)
        for member in members:
            table.merge(member, clocks.read_monotonic())
        self._forwarder = daemons.PeerClaimForwarder(table, self._get_client)
        self.ledger = claims.ClaimLedger(
            self.kv,
            mode.settings,
            self._forwarder if mode.has_preferred_daemons else None,
        )
        self.ledger.start()
        self._server = daemons.PeerServer(_Handler(self.ledger))
        host, port = self._addresses[self._number].rsplit(":", 1)
        await self._server.start(host, int(port))

    async def close(self) -> None:
        await self._forwarder.close()
        await self.ledger.close()
        await self._server.close()
        for client in self._clients.values():
            await client.close()
        await self.kv.close()

    def _get_client(self, address: str) -> daemons.PeerClient:
        if address not in self._clients:
            self._clients[address] = daemons.PeerClient(address)
        return self._clients[address]


def main() -> None:
    """Prints the table."""
    rows = []
    for mode in _COMMIT_MODES:
        for rate in _CLAIMS_PER_SECOND:
            with testbed.TestDeployment() as deployment:
                flags = (f"--writes-per-second={_WRITES_PER_SECOND}",)
                deployment.start(kv_flags=flags)
                addresses = [deployment.reserve() for _ in range(_DAEMONS)]
                rows.append(
                    asyncio.run(_run(mode, rate, deployment.kv, addresses))
                )
    title = f"Claims of {_DAEMONS} daemons at {_WRITES_PER_SECOND} writes/s"
    bench.print_table(title, _HEADER, rows)


async def _run(
    mode: _CommitMode, rate: int, kv_address: str, addresses: list[str]
) -> tuple[object, ...]:
    nodes = [_ClaimDaemon(kv_address, addresses, n) for n in range(_DAEMONS)]
    for node in nodes:
        await node.start(mode)
    times = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
    rng = random.Random(1)
    granted = 0

    async def claim(node: _ClaimDaemon) -> None:
        nonlocal granted
        begun = time.perf_counter()
        result = await node.ledger.claim(
            uuid.uuid4().bytes,
            ids.AttemptId(uuid.uuid4().hex),
            b"body",
            clocks.Deadline.after(_CLAIM_TIMEOUT_S),
        )
        times.record_value(max(1, int((time.perf_counter() - begun) * 1e6)))
        granted += isinstance(result, claims.Granted)

    begun = time.perf_counter()
    at = 0.0
    claim_tasks = []
    while at < _DURATION_S:
        at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, begun + at - time.perf_counter()))
        claim_tasks.append(asyncio.create_task(claim(rng.choice(nodes))))
    await asyncio.gather(*claim_tasks)
    spent = time.perf_counter() - begun
    committers = [c for node in nodes for c in node.ledger.committers]
    writes = sum(c.writes for c in committers)
    for node in nodes:
        await node.close()
    return (
        mode.name,
        rate,
        granted / spent,
        sum(c.committed for c in committers) / max(1, writes),
        writes / spent,
        sum(c.conflicts for c in committers) / spent,
        times.get_value_at_percentile(50) / 1e3,
        times.get_value_at_percentile(99) / 1e3,
    )


if __name__ == "__main__":
    main()
