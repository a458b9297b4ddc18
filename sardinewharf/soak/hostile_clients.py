"""Plays clients that exceed the limits of one gateway, until it is killed.

``python -m sardinewharf.soak.hostile_clients --front=HOST:PORT
--ready=HOST:PORT --client=trailers@front`` plays one client. Clients run in a
process of their own, so that the ordinary callers of a soak run, whose times
are measured, do not wait for them.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import enum
import socket

import msgspec

from sardinewharf.bench.tests import hostile

_PIECE_BYTES = 65_536
# Gateways close many of these connections at once; without a pause, clients
# would measure how fast connections are accepted.
_RECONNECT_S = 0.05
_REPORT_INTERVAL_S = 0.5
_SLOW_FIELD_S = 0.02
# With five bytes each, they stay within the limit of a head, 8,192 bytes.
_MANY_FIELDS = 1_500
_CHUNKED = "transfer-encoding: chunked"
_REQUEST_LINE = b"GET / HTTP/1.1\r\n"


class Port(enum.Enum):
    """A port of a gateway."""

    FRONT = "front"
    READY = "ready"


class Behaviour(enum.Enum):
    """What a hostile client does.

    None of its requests may run: a request is either not whole, or lacks the
    usual headers, or asks for the readiness probe.
    """

    TRAILERS = "trailers"
    REQUESTS = "requests"
    PROBES = "probes"
    SLOW_HEADS = "slow-heads"
    MANY_FIELDS = "many-fields"
    SMALL_CHUNKS = "small-chunks"
    LARGE_CHUNKS = "large-chunks"


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """A hostile client.

    Attributes:
        behaviour: What it does.
        port: The port that it connects to.

    Examples:
        >>> str(Client.parse("probes@ready"))
        'probes@ready'
    """

    behaviour: Behaviour
    port: Port

    @classmethod
    def parse(cls, text: str) -> "Client":
        """Returns the client that a flag describes."""
        behaviour, _, port = text.partition("@")
        return cls(Behaviour(behaviour), Port(port))

    def __str__(self) -> str:
        return f"{self.behaviour.value}@{self.port.value}"


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """Bytes that a client sends on each connection.

    Attributes:
        start: What it sends first.
        repeated: What it sends afterwards, without end; if empty, it waits.
        pause_s: Time between two pieces.
    """

    start: bytes
    repeated: bytes = b""
    pause_s: float = 0.0


def make_script(behaviour: Behaviour) -> Script:
    """Returns what a client sends."""
    head = hostile.encode_head("/book/1", _CHUNKED)
    match behaviour:
        case Behaviour.TRAILERS:
            return Script(head + b"1\r\nx\r\n0\r\n", _fill(b"a: b\r\n"))
        case Behaviour.REQUESTS:
            return Script(b"", _fill(b"GET / HTTP/1.1\r\n\r\n"))
        case Behaviour.PROBES:
            return Script(b"", _fill(b"GET /-/ready HTTP/1.1\r\n\r\n"))
        case Behaviour.SLOW_HEADS:
            return Script(_REQUEST_LINE, b"a: b\r\n", _SLOW_FIELD_S)
        case Behaviour.MANY_FIELDS:
            return Script(_REQUEST_LINE + b"a:b\r\n" * _MANY_FIELDS)
        case Behaviour.SMALL_CHUNKS:
            return Script(head, _fill(_make_chunk(1)))
        case Behaviour.LARGE_CHUNKS:
            return Script(head, _fill(_make_chunk(1_024)))


def _fill(repeated: bytes) -> bytes:
    """Returns a large piece of repeated bytes."""
    return repeated * (_PIECE_BYTES // len(repeated))


def _make_chunk(count: int) -> bytes:
    """Returns a chunk whose data look like so many ends of a head."""
    data = b"\r\n\r\n" * count
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Player:
    """Plays one client, which connects again whenever it is cut off.

    Args:
        client: The client.
        address: ``HOST:PORT`` that it connects to.

    Attributes:
        client: The same client.
        connections: Number of connections that were accepted.
        sent_bytes: Number of bytes that were sent.
    """

    def __init__(self, client: Client, address: str):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._script = make_script(client.behaviour)
        self.client = client
        self.connections = 0
        self.sent_bytes = 0

    async def run(self) -> None:
        """Sends until cancelled."""
        while True:
            with contextlib.suppress(OSError), socket.socket() as sock:
                await self._play(sock)
            await asyncio.sleep(_RECONNECT_S)

    async def _play(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self._address)
        self.connections += 1
        await self._send(sock, self._script.start)
        while self._script.repeated:
            await self._send(sock, self._script.repeated)
            await asyncio.sleep(self._script.pause_s)
        while await loop.sock_recv(sock, _PIECE_BYTES):
            pass

    async def _send(self, sock: socket.socket, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, data)
        self.sent_bytes += len(data)


async def _report(players: list[Player]) -> None:
    """Prints what was sent so far, since the process ends by a kill."""
    while True:
        await asyncio.sleep(_REPORT_INTERVAL_S)
        rows = [
            [str(row.client), row.connections, row.sent_bytes]
            for row in players
        ]
        print(msgspec.json.encode(rows).decode(), flush=True)


async def _run(players: list[Player]) -> None:
    async with asyncio.TaskGroup() as group:
        group.create_task(_report(players))
        for player in players:
            group.create_task(player.run())


def main() -> None:
    """Plays the clients of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    for port in Port:
        parser.add_argument(f"--{port.value}", required=True)
    parser.add_argument("--client", type=Client.parse, action="append")
    arguments = vars(parser.parse_args())
    players = [
        Player(client, arguments[client.port.value])
        for client in arguments["client"]
    ]
    asyncio.run(_run(players))


if __name__ == "__main__":
    main()
