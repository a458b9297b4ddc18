"""TCP proxy that injects faults between two processes.

Each ``--link NAME=PORT:HOST:PORT`` forwards one port to a target.
``POST /links/NAME`` on the control port sets the faults of a link, for open
and new connections.
"""

import asyncio
import contextlib

from aiohttp import web
import msgspec

from sardinewharf.standins import program

_READ_BYTES = 1 << 16


class Faults(msgspec.Struct):
    """Faults to inject into a link.

    Attributes:
        cut: Refuses new connections and resets open ones.
        cut_sources: The same for clients whose IP starts with one of these.
        half_open: Forwards nothing and closes nothing.
        hold_requests: Forwards nothing from clients to the target.
        hold_answers: Forwards nothing from the target to clients.
        delay_ms: Time added to each read in both directions.
        lose_answers: Number of responses that are lost by a reset before their
            first byte.
        lose_posts: The same for responses to POST requests only, so that
            polls, which are GET requests, do not use up the number.
        reset_after: Resets the connection after this many bytes of responses;
            0 for never.
        drop_chunk: Number of the HTTP chunk of a connection that is dropped,
            counted from 1; 0 for none.
        repeat_chunk: The same for the HTTP chunk that is sent twice.
        swap_chunk: The same for the HTTP chunk that is sent after the next one.
        cross_answers: Number of pairs of connections that receive each other's
            responses.
    """

    cut: bool = False
    cut_sources: tuple[str, ...] = ()
    half_open: bool = False
    hold_requests: bool = False
    hold_answers: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    lose_posts: int = 0
    reset_after: int = 0
    drop_chunk: int = 0
    repeat_chunk: int = 0
    swap_chunk: int = 0
    cross_answers: int = 0

    def is_blocked(self, is_request: bool) -> bool:
        """Returns whether one direction of the link forwards nothing."""
        is_held = self.hold_requests if is_request else self.hold_answers
        return self.half_open or is_held

    @property
    def edits_chunks(self) -> bool:
        """Whether a fault drops, repeats or swaps HTTP chunks."""
        return bool(self.drop_chunk or self.repeat_chunk or self.swap_chunk)


class _LastRequest:
    """The last request of a connection.

    Attributes:
        is_post: Whether its method is POST.
    """

    def __init__(self) -> None:
        self.is_post = False

    def observe(self, data: bytes) -> None:
        if data.startswith((b"GET ", b"POST ")):
            self.is_post = data.startswith(b"POST ")


class _ChunkEditor:
    """Drops, repeats or swaps HTTP chunks in one connection's responses.

    Args:
        faults: Faults that say which chunk is changed.
    """

    def __init__(self, faults: Faults):
        self._faults = faults
        self._buffer = b""
        self._count = 0
        self._in_body = False
        self._delayed_chunk = b""

    def edit(self, data: bytes) -> bytes:
        self._buffer += data
        out = b""
        while self._buffer:
            parsed = (
                self._parse_chunk() if self._in_body else self._parse_head()
            )
            if parsed is None:
                break
            out += parsed
        return out

    def _parse_head(self) -> bytes | None:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return None
        head, self._buffer = self._buffer[: end + 4], self._buffer[end + 4 :]
        if b"chunked" in head.lower():
            self._in_body = True
            return head
        unchunked, self._buffer = self._buffer, b""
        return head + unchunked

    def _parse_chunk(self) -> bytes | None:
        end = self._buffer.find(b"\r\n")
        if end < 0:
            return None
        size = int(self._buffer[:end], 16)
        length = end + 2 + size + 2
        if len(self._buffer) < length:
            return None
        chunk, self._buffer = self._buffer[:length], self._buffer[length:]
        if size == 0:
            self._in_body = False
            return chunk
        self._count += 1
        return self._apply_faults(chunk)

    def _apply_faults(self, chunk: bytes) -> bytes:
        if self._count == self._faults.drop_chunk:
            return b""
        if self._count == self._faults.repeat_chunk:
            return chunk + chunk
        if self._count == self._faults.swap_chunk:
            self._delayed_chunk = chunk
            return b""
        delayed, self._delayed_chunk = self._delayed_chunk, b""
        return chunk + delayed


class Link:
    """Forwards one port to a target.

    Args:
        host: IP to listen on.
        port: Port to listen on.
        target: ``HOST:PORT`` to forward to.

    Attributes:
        faults: Faults to inject.
        connections: Number of connections accepted so far.
    """

    def __init__(self, host: str, port: int, target: str):
        target_host, target_port = target.rsplit(":", 1)
        self._listen_address = (host, port)
        self._target = (target_host, int(target_port))
        self._open_connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._unpaired: asyncio.Future[asyncio.StreamReader] | None = None
        self._unpaired_reader: asyncio.StreamReader | None = None
        self.faults = Faults()
        self.connections = 0

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self.serve, *self._listen_address
        )

    async def set_faults(self, faults: Faults) -> None:
        """Sets the faults and resets open connections that are now cut."""
        self.faults = faults
        if self._unpaired is not None:
            self._unpaired.set_result(self._unpaired_reader)
            self._unpaired = None
        if faults.cut and self._server is not None:
            self._server.close()
            self._server = None
        if not faults.cut and self._server is None:
            await self.start()
        for writer in list(self._open_connections):
            if self._is_cut(writer):
                writer.transport.abort()

    def _is_cut(self, writer: asyncio.StreamWriter) -> bool:
        source = writer.get_extra_info("peername")[0]
        return self.faults.cut or source.startswith(self.faults.cut_sources)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection in both directions until one side ends."""
        self.connections += 1
        self._open_connections.add(writer)
        upstream = None
        try:
            if self._is_cut(writer):
                return
            from_target, upstream = await asyncio.open_connection(*self._target)
            if self.faults.cross_answers > 0:
                from_target = await self._swap_responses(from_target)
            last_request = _LastRequest()
            directions = (
                asyncio.create_task(
                    self._forward_requests(reader, upstream, last_request)
                ),
                asyncio.create_task(
                    self._forward_responses(from_target, writer, last_request)
                ),
            )
            _, pending = await asyncio.wait(
                directions, return_when=asyncio.FIRST_COMPLETED
            )
            for direction in pending:
                direction.cancel()
        except OSError:
            return
        finally:
            for end in (writer, upstream):
                if end is not None:
                    end.transport.abort()
            self._open_connections.discard(writer)

    async def _swap_responses(
        self, reader: asyncio.StreamReader
    ) -> asyncio.StreamReader:
        """Swaps the responses of two connections.

        The first connection of a pair waits for the second one, or until new
        faults are set, which gives it back its own responses.

        Returns:
            The reader of the other connection's responses.
        """
        if self._unpaired is None:
            self._unpaired = asyncio.get_running_loop().create_future()
            self._unpaired_reader = reader
            return await self._unpaired
        self.faults.cross_answers -= 1
        self._unpaired.set_result(reader)
        self._unpaired = None
        return self._unpaired_reader

    async def _delay_forwarding(self, is_request: bool) -> None:
        """Waits while a direction is blocked, and for the delay of the link."""
        while self.faults.is_blocked(is_request):
            await asyncio.sleep(0.02)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)

    async def _forward_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        last_request: _LastRequest,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                last_request.observe(data)
                await self._delay_forwarding(is_request=True)
                writer.write(data)
                await writer.drain()

    async def _forward_responses(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        last_request: _LastRequest,
    ) -> None:
        editor = _ChunkEditor(self.faults)
        sent = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await self._delay_forwarding(is_request=False)
                if self.faults.lose_answers > 0:
                    self.faults.lose_answers -= 1
                    return
                if self.faults.lose_posts > 0 and last_request.is_post:
                    self.faults.lose_posts -= 1
                    return
                if self.faults.edits_chunks:
                    data = editor.edit(data)
                limit = self.faults.reset_after
                if limit and sent + len(data) > limit:
                    writer.write(data[: limit - sent])
                    await writer.drain()
                    return
                sent += len(data)
                writer.write(data)
                await writer.drain()


class ProxyServer:
    """Serves the links and the HTTP interface that sets their faults.

    Args:
        links: Port to listen on and ``HOST:PORT`` of the target, by link name.
        host: IP to listen on.
    """

    def __init__(self, links: dict[str, tuple[int, str]], host: str):
        self._links = {
            name: Link(host, port, target)
            for name, (port, target) in links.items()
        }

    def make_app(self) -> web.Application:
        """Returns the HTTP application, which starts the links."""
        app = web.Application()
        app.router.add_post("/links/{name}", self._set_faults)
        app.router.add_get("/record", self._get_record)
        app.on_startup.append(self._start_links)
        return app

    async def _start_links(self, app: web.Application) -> None:
        for link in self._links.values():
            await link.start()

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = msgspec.json.decode(await request.read(), type=Faults)
        await self._links[request.match_info["name"]].set_faults(faults)
        return program.make_json_response(faults)

    async def _get_record(self, request: web.Request) -> web.Response:
        counts = {name: link.connections for name, link in self._links.items()}
        return program.make_json_response(counts)


def _parse_link(text: str) -> tuple[str, tuple[int, str]]:
    name, forwarding = text.split("=", 1)
    port, target = forwarding.split(":", 1)
    return name, (int(port), target)


def main() -> None:
    """Runs the proxy until it is terminated."""
    parser = program.make_parser("Fault-injecting proxy.")
    parser.add_argument(
        "--link", action="append", default=[], help="NAME=PORT:HOST:PORT"
    )
    arguments = parser.parse_args()
    links = dict(_parse_link(text) for text in arguments.link)
    program.run_app(
        lambda: ProxyServer(links, arguments.host).make_app(), arguments
    )


if __name__ == "__main__":
    main()
