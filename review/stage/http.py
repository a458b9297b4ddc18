"""A small HTTP/1.1 server and client for stand-ins, on asyncio streams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import random
import socket
import struct

_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Request:
    """A request that a stand-in received.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Values by name in lower case.
        body: The body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Response:
    """What a consumer received.

    Attributes:
        status: HTTP status; 0 if the channel ended before a head.
        headers: Values by name in lower case.
        body: What was received of the body.
        is_complete: Whether the body came to its end.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


def find_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Returns a free port below the ephemeral ones."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket(type=kind) as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Returns the first line of a head and its headers."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


def make_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def reply(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    **headers: str,
) -> None:
    """Writes a whole response; underscores in names stand for dashes."""
    named = {name.replace("_", "-"): v for name, v in headers.items()}
    named["content-length"] = str(len(body))
    writer.write(make_head(status, named) + body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a channel, as the end of its process does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


class HttpServer:
    """A server that serves one request at a time on a channel.

    Args:
        handler: Answers the requests.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listens on an address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )

    def crash(self) -> None:
        """Stops listening and resets all channels at once."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, headers = parse_head(head[:-4])
                method, target, _ = line.split(" ", 2)
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                request = Request(method, target, headers, body)
                await self._answer(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers a request, and drops it if its channel ends before."""
        task = asyncio.ensure_future(self._handler(request, writer))
        watch = asyncio.ensure_future(_wait_for_end(reader))
        try:
            await asyncio.wait(
                {task, watch}, return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                raise OSError("the caller has left")
            await task
        finally:
            watch.cancel()
            task.cancel()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while True:
        if reader.at_eof():
            return
        await asyncio.sleep(0.02)


async def send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Response:
    """Sends a request on a new channel and reads the whole response."""
    response = Response()
    host, _, port = address.rpartition(":")
    writer = None
    with contextlib.suppress(
        OSError, asyncio.IncompleteReadError, TimeoutError
    ):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines.append(f"content-length: {len(body)}")
            text = "\r\n".join(lines) + "\r\n\r\n"
            writer.write(text.encode("latin-1") + body)
            await _read_response(reader, response)
    if writer is not None:
        writer.close()
    return response


async def _read_response(
    reader: asyncio.StreamReader, response: Response
) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    line, headers = parse_head(head[:-4])
    response.status = int(line.split(" ")[1])
    response.headers = headers
    if "chunked" not in headers.get("transfer-encoding", ""):
        size = int(headers.get("content-length", "0"))
        response.body = await reader.readexactly(size)
        response.is_complete = True
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        response.body += chunk[:-2]
        if not size:
            response.is_complete = True
            return
