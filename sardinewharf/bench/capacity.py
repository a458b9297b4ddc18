"""Measures how costs grow with the size of a deployment.

Each cost is measured at a few sizes with small stand-ins and fitted with a
line. docs/CAPACITY.md is derived from the slopes.
"""

import asyncio
import gc
import os
import pathlib
import random
import time

import msgspec

from sardinewharf import bench
from sardinewharf import claims
from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import endpoints
from sardinewharf import limits
from sardinewharf import load
from sardinewharf import placement
from sardinewharf import routing
from sardinewharf import testbed
from sardinewharf.bench import simulation
from sardinewharf.daemons import codec
from sardinewharf.daemons.gen.wire import ttypes

_SETTLE_S = 8.0
_MEASURE_S = 10.0
_HEADER = ("quantity", "against", "points", "at zero", "slope", "residual")


def main() -> None:
    """Prints the tables."""
    rows = [
        *_measure_daemons(),
        *_measure_endpoints(),
        *_measure_organisations(),
        *_measure_state(),
        *_measure_actions(),
    ]
    bench.print_table("Slopes", _HEADER, rows)
    bench.print_table(
        "Hit rate and TTFT with and without cache updates",
        ("case", "hit rate", "p50 s", "p99 s"),
        _compare_cache_updates(),
    )


def _fit_row(
    quantity: str, against: str, xs: list[float], ys: list[float]
) -> tuple[object, ...]:
    fit = bench.fit_line(xs, ys)
    points = " ".join(f"{x:g}:{y:.4g}" for x, y in zip(xs, ys, strict=True))
    return (quantity, against, points, fit.intercept, fit.slope, fit.residual)


def _measure_idle_rates(
    deployment: testbed.TestDeployment,
) -> tuple[float, float, float]:
    """Returns a daemon's share of a core, gossip bytes/s and store calls/s."""
    time.sleep(_SETTLE_S)
    before = _read_totals(deployment)
    time.sleep(_MEASURE_S)
    after = _read_totals(deployment)
    count = len(deployment.daemons)
    cpu, sent, calls = (
        (b - a) / count / _MEASURE_S for a, b in zip(before, after, strict=True)
    )
    return cpu, sent, calls


def _read_totals(
    deployment: testbed.TestDeployment,
) -> tuple[float, float, float]:
    statuses = [deployment.read_status(daemon) for daemon in deployment.daemons]
    return (
        sum(daemon.read_cpu() for daemon in deployment.daemons),
        sum(status["gossip_bytes"] for status in statuses),
        sum(status["kv_calls"] for status in statuses),
    )


def _measure_daemons() -> list[tuple[object, ...]]:
    counts = [3.0, 9.0, 18.0, 30.0]
    rates = [_measure_idle_deployment(int(count), 6, 3) for count in counts]
    return _make_idle_rows("daemons", counts, rates)


def _measure_endpoints() -> list[tuple[object, ...]]:
    counts = [6.0, 12.0, 24.0, 48.0]
    rates = [_measure_idle_deployment(6, int(count), 3) for count in counts]
    return _make_idle_rows("engines", counts, rates)


def _make_idle_rows(
    against: str,
    counts: list[float],
    rates: list[tuple[float, float, float]],
) -> list[tuple[object, ...]]:
    names = (
        "idle control plane, CPU share of a core",
        "gossip sent by a daemon, bytes/s",
        "key-value calls of a daemon, /s",
    )
    return [
        _fit_row(name, against, counts, [f[i] for f in rates])
        for i, name in enumerate(names)
    ]


def _measure_idle_deployment(
    daemon_count: int, engine_count: int, domains: int
) -> tuple[float, float, float]:
    with testbed.TestDeployment() as deployment:
        for number in range(engine_count):
            deployment.plan_engine(
                f"engine-{number:03d}", f"fd{number % domains + 1}"
            )
        for number in range(daemon_count):
            domain = f"fd{number % domains + 1}"
            deployment.plan_daemon(f"daemon-{number:02d}", domain)
        deployment.start()
        deployment.wait_ready(deployment.apply(testbed.write_sample()))
        return _measure_idle_rates(deployment)


def _make_snapshot(organisations: int) -> configuration.Snapshot:
    document = configuration.Document(
        organisations=tuple(
            configuration.Organisation(
                f"organisation-{n:05d}",
                (configuration.hash_api_key(f"key-{n}"),),
            )
            for n in range(organisations)
        ),
        models=tuple(configuration.Model(f"m{n}", "w1") for n in range(5)),
    )
    shards = configuration.split_document(document)
    digests = {shard.name: shard.digest for shard in shards}
    return configuration.Snapshot(configuration.Manifest(1, digests), shards)


def _measure_organisations() -> list[tuple[object, ...]]:
    counts = [2000.0, 6000.0, 17000.0]
    sizes, times, memory = [], [], []
    for count in counts:
        memory_before = _read_memory()
        snapshot = _make_snapshot(int(count))
        gc.collect()
        memory.append((_read_memory() - memory_before) / 1e6)
        sizes.append(
            sum(len(s.content) for s in snapshot.shards.values()) / 1e6
        )
        begun = time.perf_counter()
        configuration.Snapshot(snapshot.manifest, snapshot.shards.values())
        times.append((time.perf_counter() - begun) * 1e3)
        del snapshot
        gc.collect()
    against = "organisations"
    return [
        _fit_row("configuration stored, MB", against, counts, sizes),
        _fit_row("time to build the snapshot, ms", against, counts, times),
        _fit_row("resident memory growth, MB", against, counts, memory),
    ]


def _measure_state() -> list[tuple[object, ...]]:
    block_counts = [20_000.0, 60_000.0, 120_000.0]
    memory = []
    for count in block_counts:
        gc.collect()
        memory_before = _read_memory()
        index = routing.CacheIndex(capacity=int(count))
        for _ in range(int(count)):
            index.record_cached("engine", (os.urandom(16),))
        memory.append((_read_memory() - memory_before) / 1e6)
        del index
    claimed = [2000.0, 6000.0, 20_000.0]
    sizes = [len(_encode_claims(int(count))) / 1e3 for count in claimed]
    return [
        _fit_row("cache index growth, MB", "blocks", block_counts, memory),
        _fit_row("claims stored, KB", "keys", claimed, sizes),
    ]


def _encode_claims(count: int) -> bytes:
    response = claims.KeptAnswer(200, "application/json", b"x" * 60)
    entries = {
        os.urandom(16): claims.Entry(
            claims.EntryState.COMPLETED, "a" * 32, b"b" * 16, 1.0, response
        )
        for _ in range(count)
    }
    return msgspec.msgpack.encode(entries)


def _compare_cache_updates() -> list[tuple[object, ...]]:
    """Compares hit rates with and without cache events and dispatch updates."""
    cases = {
        "cache events and dispatch updates": {},
        "dispatch updates only": {"event_loss": 1.0},
        "neither": {"event_loss": 1.0, "digest_interval_s": 0.0},
    }
    rows = []
    for engines, nodes, requests in ((9, 9, 6000), (267, 37, 30_000)):
        trace_settings = load.TraceSettings(
            requests=requests, rate=4.0 * engines, rules=3 * engines, seed=11
        )
        trace = load.make_trace(trace_settings)
        for case, changes in cases.items():
            deployment = simulation.Deployment(
                engines=engines, daemons=nodes, **changes
            )
            result = simulation.Simulation(deployment, _make_router).run(
                trace, trace_settings
            )
            title = f"{engines} engines, {nodes} daemons, {case}"
            ttft_s = [result.find_ttft_quantile(share) for share in (0.5, 0.99)]
            rows.append((title, result.hit_rate, *ttft_s))
    return rows


def _make_router(engines: dict, seed: int) -> routing.Router:
    return routing.Router(routing.AdaptivePolicy(), seed=seed)


def _time_assignment(engines: int) -> float:
    document = configuration.Document(
        models=tuple(configuration.Model(f"m{n}", "w1", 4) for n in range(5))
    )
    names = [f"engine-{n:03d}" for n in range(engines)]
    begun = time.perf_counter()
    for _ in range(20):
        placement.assign_models(document, names)
    return (time.perf_counter() - begun) / 20 * 1e6


def _measure_actions() -> list[tuple[object, ...]]:
    engines = [9.0, 27.0, 90.0, 267.0]
    decisions = [_time_decisions(int(count)) for count in engines]
    chunks = [16.0, 64.0, 256.0]
    frames = [_time_frame_checks(int(count)) for count in chunks]
    sizes = [1e4, 5e4, 1e5]
    hashes = [_time_block_chain(int(size)) for size in sizes]
    members = [4.0, 12.0, 37.0]
    digests = [_time_digest_decoding(int(count)) for count in members]
    assigned = [_time_assignment(int(count)) for count in engines]
    waiting = [100.0, 300.0, 512.0]
    releases = [
        asyncio.run(_time_queue_release(int(count))) for count in waiting
    ]
    return [
        _fit_row("decision, us", "engines", engines, decisions),
        _fit_row("assignment of 5 models, us", "engines", engines, assigned),
        _fit_row("sequence check, us", "chunks", chunks, frames),
        _fit_row("hashing a prompt, us", "bytes", sizes, hashes),
        _fit_row("decoding a digest, us", "members", members, digests),
        _fit_row("admitting a queued request, us", "queued", waiting, releases),
    ]


def _time_decisions(engines: int) -> float:
    router = routing.Router(routing.AdaptivePolicy())
    pool = routing.Pool(f"engine-{n:03d}" for n in range(engines))
    rng = random.Random(1)
    salt = routing.make_salt("o", "m", "w")
    chains = [
        routing.build_block_chain(
            salt, [b"%d" % n * 8000 for _ in range(6)] + [b"q"]
        )
        for n in range(60)
    ]
    rounds = 4000
    begun = time.perf_counter()
    for number in range(rounds):
        chain = rng.choice(chains)
        request = routing.RouteRequest(chain)
        choice = router.choose(request, pool, frozenset(), number / 100)
        router.record_dispatch(choice, chain, number / 100)
    return (time.perf_counter() - begun) / rounds * 1e6


def _time_frame_checks(chunks: int) -> float:
    frames = [
        b'id: attempt/%d\ndata: {"choices":[]}\n\n' % n for n in range(chunks)
    ]
    rounds = 40_000 // chunks
    begun = time.perf_counter()
    for _ in range(rounds):
        checker = endpoints.FrameChecker("attempt")
        for frame in frames:
            checker.feed(frame)
    return (time.perf_counter() - begun) / rounds * 1e6


def _time_block_chain(size: int) -> float:
    text = os.urandom(size)
    rounds = 500
    begun = time.perf_counter()
    for _ in range(rounds):
        routing.build_block_chain(
            routing.make_salt("o", "m", "w"), [text, b"q"]
        )
    return (time.perf_counter() - begun) / rounds * 1e6


def _time_digest_decoding(members: int) -> float:
    request = ttypes.Request(
        number=1,
        digest=ttypes.Digest(
            members=[
                ttypes.Member(f"d{n}", "10.0.0.1:1", "fd1", 1, 1, 1, False)
                for n in range(members)
            ],
            leaving=[],
            deaths=[],
            loads=[],
        ),
    )
    frame = codec.encode(request)[4:]
    rounds = 2000
    begun = time.perf_counter()
    for _ in range(rounds):
        codec.decode(frame, ttypes.Request)
    return (time.perf_counter() - begun) / rounds * 1e6


async def _time_queue_release(waiting: int) -> float:
    gate = limits.FairGate(slots=1, queue_limit=waiting)
    deadline = clocks.Deadline.after(60.0)
    await gate.enter("first", 1.0, 5, deadline)
    entering = [
        asyncio.create_task(gate.enter(f"o{n % 50}", 1.0, 5, deadline))
        for n in range(waiting)
    ]
    await asyncio.sleep(0)
    begun = time.perf_counter()
    for _ in range(waiting):
        gate.leave()
    spent = time.perf_counter() - begun
    await asyncio.gather(*entering)
    return spent / waiting * 1e6


def _read_memory() -> int:
    status = pathlib.Path("/proc/self/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


if __name__ == "__main__":
    main()
