"""Test double of a server whose answers are repeated on a connection.

A faulty server may send an answer again, late: it then arrives where the
answer to the connection's next call is expected.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A received call.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers; their names are in lower case.
        body: Body of the call.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def make_answer(status: int, body: object = None, **headers: str) -> bytes:
    """Returns the bytes of a response.

    Args:
        status: HTTP status.
        body: Body, which is encoded as JSON; None for an empty one.
        **headers: Headers to add, with underscores for dashes.
    """
    content = b"" if body is None else msgspec.json.encode(body)
    lines = [f"HTTP/1.1 {status} X", "keep-alive: timeout=10"]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    lines.append(f"content-length: {len(content)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + content


class RepeatingServer:
    """Sends each answer again when the next call of its connection arrives.

    Args:
        answer: Returns the bytes of the answer to a call.

    Attributes:
        address: ``IP:PORT`` that the server listens on.
        calls: The received calls, in order.
        connections: Number of connections accepted.
        repeats: Whether answers are repeated.
    """

    def __init__(self, answer: Callable[[Call], bytes]):
        self._answer = answer
        self._server: asyncio.Server | None = None
        self.address = ""
        self.calls: list[Call] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self.repeats = True

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the calls of one connection until it is closed."""
        self.connections += 1
        self._writers.add(writer)
        former = b""
        try:
            while True:
                call = await _read_call(reader)
                self.calls.append(call)
                answer = self._answer(call)
                writer.write(former + answer)
                former = answer if self.repeats else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            # The client has closed the connection.
            writer.close()


async def _read_call(reader: asyncio.StreamReader) -> Call:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = head[0].split(" ")
    names = (line.partition(":") for line in head[1:])
    fields = {name.lower(): value.strip() for name, _, value in names}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Call(method, target, fields, body)
