"""Measures what a daemon adds to a request and to each relayed chunk."""

import asyncio
import dataclasses
import statistics
import time

import aiohttp
import msgspec

from sardinewharf import bench
from sardinewharf import testbed

_PAIRS = 400
_STREAMS = 48
_LONG_CHUNKS = 400
# Processor time is counted in hundredths of a second, so a round is repeated.
_SHORT_ROUNDS = 20
_MANY_REQUESTS = 10_000
_TOGETHER = 32
_FIGURES = (
    "added to a request, median ms",
    "CPU of a request with one chunk, us",
    "CPU of a chunk, us",
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    address: str
    headers: dict[str, str]
    extra: dict[str, object]


def main() -> None:
    """Prints the figures."""
    with testbed.TestDeployment() as bed:
        flags = ("--decode-ms=8", "--prefill-rate=10000000")
        bed.plan_engine("engine-1", "fd1", *flags)
        bed.plan_daemon("daemon-1", "fd1")
        bed.start()
        bed.wait_ready(bed.apply(testbed.write_sample()))
        engine = bed.processes["engine-1"].address
        bed.start_module(
            "baseline", "sardinewharf.bench.baseline", f"--target={engine}"
        )
        asyncio.run(_measure(bed))


async def _measure(bed: testbed.TestDeployment) -> None:
    daemon = bed.processes["daemon-1"]
    pieces = {"cache_pieces": [("00", 1)]}
    engine = bed.processes["engine-1"].address
    straight = _Target(engine, {"X-Attempt-Id": "a"}, pieces)
    baseline = bed.processes["baseline"]
    key = {"Authorization": f"Bearer {testbed.KEYS['almagro']}"}
    relays = (
        (daemon, _Target(daemon.address, key, {})),
        (baseline, _Target(baseline.address, {}, pieces)),
    )
    idle = daemon.read_memory()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        columns = [
            await _measure_relay(session, process, straight, target)
            for process, target in relays
        ]
        await _repeat(session, relays[0][1], _MANY_REQUESTS)
    rows = list(zip(_FIGURES, *columns, strict=True))
    rows.append(("resident idle, MB", idle / 1e6, "-"))
    rows.append(
        ("resident after 10,000 requests, MB", daemon.read_memory() / 1e6, "-")
    )
    header = ("figure", "daemon", "pass-through")
    bench.print_table("Overhead of one daemon", header, rows)


async def _measure_relay(
    session: aiohttp.ClientSession,
    process: testbed.Process,
    straight: _Target,
    target: _Target,
) -> tuple[float, float, float]:
    added = await _compare(session, straight, target)
    spent = [
        await _spend(session, process, target, 1) for _ in range(_SHORT_ROUNDS)
    ]
    short = sum(spent) / _SHORT_ROUNDS
    long = await _spend(session, process, target, _LONG_CHUNKS)
    chunks = _STREAMS * (_LONG_CHUNKS - 1)
    return added * 1e3, short / _STREAMS * 1e6, (long - short) / chunks * 1e6


async def _compare(
    session: aiohttp.ClientSession, straight: _Target, through: _Target
) -> float:
    """Returns the added time to the first chunk, in turn with straight."""
    times: tuple[list[float], list[float]] = ([], [])
    for _ in range(_PAIRS):
        for target, found in zip((straight, through), times, strict=True):
            found.append(await _run(session, target, 1))
    return statistics.median(times[1]) - statistics.median(times[0])


async def _spend(
    session: aiohttp.ClientSession,
    daemon: testbed.Process,
    target: _Target,
    chunks: int,
) -> float:
    """Returns the daemon's processor time for streams side by side."""
    before = daemon.read_cpu()
    await asyncio.gather(
        *(_run(session, target, chunks) for _ in range(_STREAMS))
    )
    return daemon.read_cpu() - before


async def _repeat(
    session: aiohttp.ClientSession, target: _Target, count: int
) -> None:
    gate = asyncio.Semaphore(_TOGETHER)

    async def run_one() -> None:
        async with gate:
            await _run(session, target, 1)

    await asyncio.gather(*(run_one() for _ in range(count)))


async def _run(
    session: aiohttp.ClientSession, target: _Target, chunks: int
) -> float:
    body = {
        "model": "proof",
        "messages": [{"role": "user", "content": "x"}],
        "max_tokens": chunks,
        "stream": True,
    }
    begun = time.perf_counter()
    first = 0.0
    async with session.post(
        f"http://{target.address}/v1/chat/completions",
        data=msgspec.json.encode(body | target.extra),
        headers=target.headers,
    ) as response:
        response.raise_for_status()
        async for _ in response.content.iter_any():
            first = first or time.perf_counter() - begun
    return first


if __name__ == "__main__":
    main()
