"""Measures the latency and CPU time that a daemon adds to a request.

A minimal relay is measured beside it for comparison.
"""

import asyncio
import dataclasses
import statistics
import time

import aiohttp
import msgspec

from sardinewharf import bench
from sardinewharf import testbed

_LATENCY_PAIRS = 400
_STREAMS = 48
_LONG_CHUNKS = 400
# CPU time is reported in hundredths of a second. One round of short streams
# takes too little of it to be measured alone.
_SHORT_ROUNDS = 20
_MEMORY_REQUESTS = 10_000
_CONCURRENT_REQUESTS = 32
_FIGURES = (
    "added to a request, median ms",
    "CPU per request of one chunk, us",
    "CPU per further chunk, us",
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    address: str
    headers: dict[str, str]
    extra_fields: dict[str, object]


def main() -> None:
    """Prints the table."""
    with testbed.TestDeployment() as deployment:
        flags = ("--decode-ms=8", "--prefill-rate=10000000")
        deployment.plan_engine("engine-1", "fd1", *flags)
        deployment.plan_daemon("daemon-1", "fd1")
        deployment.start()
        deployment.wait_ready(deployment.apply(testbed.write_sample()))
        engine = deployment.processes["engine-1"].address
        deployment.start_module(
            "baseline", "sardinewharf.bench.baseline", f"--target={engine}"
        )
        asyncio.run(_measure(deployment))


async def _measure(deployment: testbed.TestDeployment) -> None:
    daemon = deployment.processes["daemon-1"]
    engine_fields = {"cache_pieces": [("00", 1)]}
    engine = deployment.processes["engine-1"].address
    direct = _Target(engine, {"X-Attempt-Id": "a"}, engine_fields)
    baseline = deployment.processes["baseline"]
    key = {"Authorization": f"Bearer {testbed.KEYS['almagro']}"}
    relays = (
        (daemon, _Target(daemon.address, key, {})),
        (baseline, _Target(baseline.address, {}, engine_fields)),
    )
    idle = daemon.read_memory()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        columns = [
            await _measure_relay(session, process, direct, target)
            for process, target in relays
        ]
        await _repeat(session, relays[0][1], _MEMORY_REQUESTS)
    rows = list(zip(_FIGURES, *columns, strict=True))
    rows.append(("resident memory when idle, MB", idle / 1e6, "-"))
    rows.append(
        (
            "resident memory after 10,000 requests, MB",
            daemon.read_memory() / 1e6,
            "-",
        )
    )
    header = ("figure", "daemon", "pass-through")
    bench.print_table("Overhead of one daemon", header, rows)


async def _measure_relay(
    session: aiohttp.ClientSession,
    process: testbed.Process,
    direct: _Target,
    target: _Target,
) -> tuple[float, float, float]:
    added = await _measure_added_latency(session, direct, target)
    spent = [
        await _measure_cpu(session, process, target, 1)
        for _ in range(_SHORT_ROUNDS)
    ]
    short = sum(spent) / _SHORT_ROUNDS
    long = await _measure_cpu(session, process, target, _LONG_CHUNKS)
    chunks = _STREAMS * (_LONG_CHUNKS - 1)
    return added * 1e3, short / _STREAMS * 1e6, (long - short) / chunks * 1e6


async def _measure_added_latency(
    session: aiohttp.ClientSession, direct: _Target, relayed: _Target
) -> float:
    """Returns the difference of the median times to the first chunk.

    Direct and relayed requests alternate, so that a change in the machine's
    load affects both alike.
    """
    times: tuple[list[float], list[float]] = ([], [])
    for _ in range(_LATENCY_PAIRS):
        for target, samples in zip((direct, relayed), times, strict=True):
            samples.append(await _run(session, target, 1))
    return statistics.median(times[1]) - statistics.median(times[0])


async def _measure_cpu(
    session: aiohttp.ClientSession,
    daemon: testbed.Process,
    target: _Target,
    chunks: int,
) -> float:
    """Returns the CPU time that the process takes for concurrent streams."""
    before = daemon.read_cpu()
    await asyncio.gather(
        *(_run(session, target, chunks) for _ in range(_STREAMS))
    )
    return daemon.read_cpu() - before


async def _repeat(
    session: aiohttp.ClientSession, target: _Target, count: int
) -> None:
    semaphore = asyncio.Semaphore(_CONCURRENT_REQUESTS)

    async def run_one() -> None:
        async with semaphore:
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
        data=msgspec.json.encode(body | target.extra_fields),
        headers=target.headers,
    ) as response:
        response.raise_for_status()
        async for _ in response.content.iter_any():
            first = first or time.perf_counter() - begun
    return first


if __name__ == "__main__":
    main()
