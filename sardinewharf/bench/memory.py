"""Measures the memory of a gateway whose peers send or leave unread too much.

Each row is one trouble, played against a gateway in a process of its own, with
sound callers beside it. It prints the most resident memory, and how the sound
callers fared.

Examples:
    ``make bench-memory`` plays all rows with 150 MB. ``--rows=uploads`` plays
    those whose name contains a text.
"""

import argparse
import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import os
import pathlib
import statistics
import sys
import tempfile
import time

import msgspec

from sardinewharf.standins import endless
from sardinewharf.testbed import gateway_harness
from sardinewharf.testbed import ports

_SECONDS = 6.0
_SETTLE_S = 0.5
_SOUND_CALLERS = 10
_SOUND_INTERVAL_S = 0.05
_UPLOAD_BYTES = 4_194_304
_UPLOAD_PIECE_BYTES = 65_536
_UPLOAD_S = 5.0
_ANSWER_BYTES = 8_388_608
_SAMPLE_INTERVAL_S = 0.01
# Callers of a trouble that were refused return after this time.
_RETURN_S = 0.1
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

_Harness = gateway_harness.GatewayHarness
_Play = Callable[["Bench", int], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A trouble, and how many callers meet it at a time."""

    name: str
    callers: int
    play: _Play


class Bench:
    """A gateway process with test doubles, and callers.

    Args:
        harness: Test doubles of the store and the servers.
        front: ``IP:PORT`` of the gateway.
        ready: ``IP:PORT`` of its readiness probe.
        process: The gateway's process.
    """

    def __init__(
        self,
        harness: _Harness,
        front: str,
        ready: str,
        process: asyncio.subprocess.Process,
    ):
        self.harness = harness
        self.front = front
        self.ready = ready
        self.process = process
        self.latencies: list[float] = []
        self.failures = 0
        self.outcomes: dict[int, int] = {}
        self.peak_bytes = 0
        self.peak_descriptors = 0

    async def sample_memory(self) -> None:
        """Keeps the most memory and descriptors that were seen."""
        while self.process.returncode is None:
            pid = self.process.pid
            self.peak_bytes = max(self.peak_bytes, _read_memory(pid))
            self.peak_descriptors = max(
                self.peak_descriptors, _count_descriptors(pid)
            )
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    async def send_sound(self) -> None:
        """Sends sound requests until cancelled."""
        while True:
            began = time.monotonic()
            response = await self.send("/look/sound")
            if response.status == 200 and response.is_complete:
                self.latencies.append(time.monotonic() - began)
            else:
                self.failures += 1
            await asyncio.sleep(_SOUND_INTERVAL_S)

    async def send(self, path: str) -> gateway_harness.Response:
        """Sends a request without a body."""
        return await self.harness.send_request(path)

    async def open(
        self, path: str, body_bytes: int = 0, id_suffix: str = ""
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection and sends the head of a request."""
        host, port = self.front.split(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=4_096
        )
        request_id = self.harness.make_id() + id_suffix
        headers = gateway_harness.make_headers(
            request_id, path, deadline_ms=10_000
        )
        headers["content-length"] = str(body_bytes)
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        return reader, writer

    def count(self, status: int) -> None:
        """Counts the outcome of a request of the trouble."""
        self.outcomes[status] = self.outcomes.get(status, 0) + 1


def _read_memory(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES


def _count_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())


async def _repeat(bench: Bench, path: str) -> None:
    while True:
        bench.count((await bench.send(path)).status)
        await asyncio.sleep(_RETURN_S)


async def _call(bench: Bench, callers: int, path: str) -> None:
    """Plays callers that repeat a request."""
    await asyncio.gather(*(_repeat(bench, path) for _ in range(callers)))


async def _play_endless_bodies(bench: Bench, callers: int) -> None:
    _spoil(bench.harness.servers, endless.EndlessPart.BODY)
    await _call(bench, callers, "/look/bad")


async def _play_endless_heads(bench: Bench, callers: int) -> None:
    _spoil(bench.harness.servers, endless.EndlessPart.HEAD)
    await _call(bench, callers, "/look/bad")


async def _play_endless_events(bench: Bench, callers: int) -> None:
    _spoil(bench.harness.engines, endless.EndlessPart.EVENT)
    await _call(bench, callers, "/chat/bad")


def _spoil(servers, part: endless.EndlessPart) -> None:
    """Makes servers answer requests for paths with "bad" without end."""
    for server in servers:
        _wrap(server, part)


def _wrap(server, part: endless.EndlessPart) -> None:
    respond = server.respond

    async def respond_or_spoil(connection, request):
        if "bad" not in request.target:
            await respond(connection, request)
            return
        headers = server.make_headers(request)
        await endless.write_without_end(connection, headers, part)

    server.respond = respond_or_spoil


async def _play_uploads(bench: Bench, callers: int) -> None:
    """Plays callers that send a large body within some seconds."""
    await asyncio.gather(*(_upload(bench) for _ in range(callers)))


async def _upload(bench: Bench) -> None:
    piece = b"x" * _UPLOAD_PIECE_BYTES
    pieces = _UPLOAD_BYTES // _UPLOAD_PIECE_BYTES
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await bench.open("/book/large", _UPLOAD_BYTES)
            answer = asyncio.ensure_future(reader.read(64))
            for _ in range(pieces):
                if answer.done():
                    break
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(_UPLOAD_S / pieces)
            line = await answer
            bench.count(int(line.split(b" ")[1]) if line else 0)
            writer.close()
        await asyncio.sleep(_RETURN_S)


async def _play_unread_answers(bench: Bench, callers: int) -> None:
    """Plays callers that read nothing of a large answer."""
    body = b"x" * _ANSWER_BYTES
    for server in bench.harness.servers:
        make_body = server.make_body
        server.make_body = lambda request, make_body=make_body: (
            body if "large" in request.target else make_body(request)
        )
    writers = [(await bench.open("/look/large"))[1] for _ in range(callers)]
    await asyncio.sleep(_SECONDS * 2)
    for writer in writers:
        writer.close()


async def _play_nothing(bench: Bench, callers: int) -> None:
    await asyncio.sleep(_SECONDS * 2)


ROWS = (
    Row("no trouble", 0, _play_nothing),
    Row("answers without end", 8, _play_endless_bodies),
    Row("answers without end", 20, _play_endless_bodies),
    Row("events without end", 150, _play_endless_events),
    Row("events without end", 300, _play_endless_events),
    Row("heads without end", 60, _play_endless_heads),
    Row("uploads of 4 MB", 40, _play_uploads),
    Row("uploads of 4 MB", 80, _play_uploads),
    Row("answers of 8 MB unread", 20, _play_unread_answers),
    Row("answers of 8 MB unread", 40, _play_unread_answers),
)


async def measure(row: Row, memory_mb: float, folder: pathlib.Path) -> Bench:
    """Plays one row against a gateway process with so much memory."""
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": _UPLOAD_BYTES,
        "header_timeout_ms": 5_000,
        "idle_timeout_ms": 10_000,
    }
    async with run_gateway(memory_mb, limits, folder) as bench:
        await asyncio.sleep(_SETTLE_S)
        await _play(bench, row)
    return bench


@contextlib.asynccontextmanager
async def run_gateway(
    memory_mb: float, limits: dict[str, int], folder: pathlib.Path
) -> AsyncIterator[Bench]:
    """Runs a gateway process with test doubles until the context ends.

    Args:
        memory_mb: Memory that the gateway is told to have.
        limits: The manifest's limits on callers.
        folder: Where its settings are written.
    """
    harness = _Harness()
    await harness.start(gateways=0)
    await harness.store.put(
        "op/config", gateway_harness.make_manifest(version=2, limits=limits)
    )
    settings, front, ready = _make_settings(harness, memory_mb)
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sardinewharf.launcher",
        env=os.environ | {"SARDINEWHARF_CONFIG": str(path)},
        stdout=asyncio.subprocess.DEVNULL,
    )
    harness.urls.append(f"http://{front}")
    harness.ready_urls.append(f"http://{ready}/-/ready")
    try:
        await harness.wait_until_ready()
        yield Bench(harness, front, ready, process)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await harness.close()


async def _play(bench: Bench, row: Row) -> None:
    tasks = [
        asyncio.ensure_future(bench.sample_memory()),
        asyncio.ensure_future(row.play(bench, row.callers)),
        *(
            asyncio.ensure_future(bench.send_sound())
            for _ in range(_SOUND_CALLERS)
        ),
    ]
    await asyncio.sleep(_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _make_settings(
    harness: _Harness, memory_mb: float
) -> tuple[dict[str, object], str, str]:
    """Returns the settings of a gateway, and its two addresses."""
    # The port of the metrics is the same for all gateways of a machine.
    host = f"127.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250}.1"
    front = f"{host}:{ports.find_free_port()}"
    ready = f"{host}:{ports.find_free_port()}"
    settings = {
        "node": "vm-0",
        "zone": "fd-1",
        "ip": host,
        "listen": {"front": front, "ready": ready},
        "platform": {"address": harness.store_address},
        "port_range": [ports.find_free_port()],
        "limits": {"memory_mb": memory_mb},
        "bounds": {"retry_budget_ratio": 0.2, "budget_extra": 54},
    }
    return settings, front, ready


def _print_row(bench: Bench, row: Row) -> None:
    latencies = sorted(bench.latencies) or [0.0]
    p50 = statistics.median(latencies) * 1000
    p99 = latencies[int(len(latencies) * 0.99)] * 1000
    outcomes = dict(sorted(bench.outcomes.items()))
    print(
        f"{row.name:24} {row.callers:4} callers:"
        f" {bench.peak_bytes / 1e6:6.0f} MB,"
        f" sound {len(bench.latencies)} served, {bench.failures} not,"
        f" {p50:.1f} ms median, {p99:.1f} ms 99th;"
        f" the trouble's statuses: {outcomes}",
        flush=True,
    )


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--memory-mb", type=float, default=150.0)
    parser.add_argument("--rows", default="", help="rows with this text only")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for row in ROWS:
            if arguments.rows in row.name:
                played = asyncio.run(
                    measure(row, arguments.memory_mb, pathlib.Path(folder))
                )
                _print_row(played, row)


if __name__ == "__main__":
    main()
