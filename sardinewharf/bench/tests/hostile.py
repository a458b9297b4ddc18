"""Clients that exceed limits, played against a gateway process.

They send bytes without end and read nothing. A play is bounded in time and in
the number of clients, and the same bounds hold for each.
"""

import asyncio
import contextlib
import socket

from sardinewharf import clocks
from sardinewharf.bench import memory
from sardinewharf.testbed import gateway_harness

MEMORY_MB = 150.0
_MAX_PEAK_BYTES = MEMORY_MB / 2 * 1e6
_MAX_DESCRIPTORS = 100
_CLIENTS = 8
_SECONDS = 4.0
_PIECE_BYTES = 65_536
# Callers that send a large head and wait, and for how long: less than the head
# may take, so that they are all there at once.
_SLOW_CLIENTS = 200
_SLOW_S = 0.8
_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 65_536,
    "header_timeout_ms": 1_000,
    "idle_timeout_ms": 2_000,
}


async def check(folder, pick_address, start, repeated):
    """Plays clients that send bytes again and again, and checks the gateway.

    Args:
        folder: Where the gateway's settings are written.
        pick_address: Returns the ``IP:PORT`` to connect to.
        start: What each client sends first.
        repeated: What it sends afterwards, without end.
    """
    async with memory.run_gateway(MEMORY_MB, _LIMITS, folder) as bench:
        sampling = asyncio.ensure_future(bench.sample_memory())
        with contextlib.ExitStack() as sockets:
            await play(sockets, pick_address(bench), start, repeated)
            response = await bench.harness.send_request(
                "/look/sound", x_sardinewharf_deadline_ms="15000"
            )
        sampling.cancel()
        _check_bench(bench, response, _MAX_DESCRIPTORS)


async def check_slow(folder, data):
    """Plays many callers that send some bytes and wait, as ``check`` does."""
    async with memory.run_gateway(MEMORY_MB, _LIMITS, folder) as bench:
        sampling = asyncio.ensure_future(bench.sample_memory())
        with contextlib.ExitStack() as sockets:
            await asyncio.gather(
                *(
                    _connect(sockets, bench.front, data)
                    for _ in range(_SLOW_CLIENTS)
                )
            )
            await asyncio.sleep(_SLOW_S)
            response = await bench.harness.send_request("/look/sound")
        sampling.cancel()
        _check_bench(bench, response, _SLOW_CLIENTS + _MAX_DESCRIPTORS)


def _check_bench(bench, response, max_descriptors):
    print(f"{bench.peak_bytes / 1e6:.0f} MB, {bench.peak_descriptors} fds")
    assert bench.process.returncode is None
    assert bench.peak_bytes <= _MAX_PEAK_BYTES
    assert bench.peak_descriptors <= max_descriptors
    assert (response.status, response.is_complete) == (200, True)


async def play(sockets, address, start, repeated):
    """Plays the clients; their sockets stay open until the stack is closed."""
    piece = repeated * (_PIECE_BYTES // len(repeated))
    await asyncio.gather(
        *(_send(sockets, address, start, piece) for _ in range(_CLIENTS))
    )


async def _connect(sockets, address, data):
    """Returns a connection on which some bytes were sent."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    sock = sockets.enter_context(socket.socket())
    sock.setblocking(False)
    await loop.sock_connect(sock, (host, int(port)))
    await loop.sock_sendall(sock, data)
    return sock


async def _send(sockets, address, start, piece):
    """Sends until the time is up or the gateway closes the connection."""
    loop = asyncio.get_running_loop()
    end = clocks.Deadline.after(_SECONDS)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout_at(end.at):
            sock = await _connect(sockets, address, start)
            while True:
                await loop.sock_sendall(sock, piece)


def encode_head(path, *fields):
    """Returns the head of a sound request with further fields."""
    headers = gateway_harness.make_headers("h1", path, deadline_ms=60_000)
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, *fields, "", ""]).encode()
