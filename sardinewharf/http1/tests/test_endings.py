"""Tests which endings of a response's connection make it complete.

Real sockets are used, since FIN and RST reach a reader in different ways.
"""

import asyncio
import contextlib
import enum
import socket
import struct

import hypothesis
from hypothesis import strategies
import pytest

from sardinewharf import clocks
from sardinewharf import http1

_LINGER = struct.pack("ii", 1, 0)


class Ending(enum.Enum):
    FIN = "fin"
    RESET = "reset"
    FIN_THEN_RESET = "fin, then reset"
    STAY = "stay"


async def end(writer, ending):
    """Ends a server's side of a connection."""
    sock = writer.get_extra_info("socket")
    if ending in (Ending.FIN, Ending.FIN_THEN_RESET):
        sock.shutdown(socket.SHUT_WR)
    if ending in (Ending.RESET, Ending.FIN_THEN_RESET):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
        writer.transport.abort()


class Server:
    """Responds to each request with the next parts, then ends."""

    def __init__(self):
        self.parts = ()
        self.ending = Ending.STAY
        self.pause_s = 0.0
        self._writers = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0.02)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                for part in self.parts:
                    writer.write(part)
                    await asyncio.sleep(self.pause_s)
                await end(writer, self.ending)
        writer.close()
        self._writers.discard(writer)

    async def exchange(self, parts, ending, pause_s=0.0, method=b"POST"):
        """Returns status and body of one response; None if it is lost."""
        self.parts, self.ending, self.pause_s = parts, ending, pause_s
        deadline = clocks.Deadline.after(1.0)
        connection = await http1.connect(self.address, deadline)
        exchange = connection.start(
            method, http1.encode_request(method, b"/", [], b"")
        )
        try:
            async with asyncio.timeout(1.0):
                return await read_all(exchange)
        except http1.ResponseLostError:
            return None
        finally:
            connection.abort()


async def read_all(exchange):
    """Returns the status and the whole body of a response."""
    head = await exchange.read_head()
    chunks = []
    while chunk := await exchange.read():
        chunks.append(chunk)
    return head.status, b"".join(chunks)


@pytest.fixture
async def server():
    async with Server() as found:
        yield found


OK = b"HTTP/1.1 200 OK\r\nstamp: s\r\n"
LENGTH = OK + b"content-length: 5\r\n\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
NO_LENGTH = OK + b"\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKS = b"3;name=value\r\nhel\r\n2\r\nlo\r\n0\r\ntrailer: x\r\n\r\n"

# Responses, and what a reader gets of them if they are whole.
FRAMED = {
    "length": (LENGTH + b"hello", (200, b"hello")),
    "chunked": (CHUNKED + CHUNKS, (200, b"hello")),
    "empty": (OK + b"content-length: 0\r\n\r\n", (200, b"")),
    "204": (b"HTTP/1.1 204 Empty\r\nstamp: s\r\n\r\n", (204, b"")),
    "304": (b"HTTP/1.1 304 Same\r\ncontent-length: 5\r\n\r\n", (304, b"")),
    "100, length": (CONTINUE + LENGTH + b"hello", (200, b"hello")),
    "100, chunked": (CONTINUE + CHUNKED + CHUNKS, (200, b"hello")),
    "1.0": (LENGTH.replace(b"1.1", b"1.0") + b"hello", (200, b"hello")),
}


@pytest.mark.parametrize("kind", FRAMED)
@pytest.mark.parametrize("ending", [e for e in Ending if e is not Ending.STAY])
async def test_a_response_cut_at_any_byte_is_lost(server, kind, ending):
    """Guards against a short response that is taken for a whole one."""
    data, whole = FRAMED[kind]
    for cut in range(len(data)):
        assert await server.exchange([data[:cut]], ending) is None, cut
    # A FIN that a reset follows comes behind all bytes.
    assert await server.exchange([data], ending) == whole


@pytest.mark.parametrize("ending", [Ending.FIN, Ending.RESET])
async def test_a_head_in_two_parts_that_is_cut_is_lost(server, ending):
    for data in (LENGTH, CHUNKED, NO_LENGTH):
        for cut in range(1, len(data) - 1, 5):
            parts = [data[:cut], data[cut:-1]]
            assert await server.exchange(parts, ending, 0.001) is None, cut


@pytest.mark.parametrize("kind", FRAMED)
async def test_a_response_in_two_parts_is_whole(server, kind):
    data, whole = FRAMED[kind]
    for cut in range(1, len(data), 5):
        parts = [data[:cut], data[cut:]]
        assert await server.exchange(parts, Ending.STAY, 0.001) == whole, cut


@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
async def test_a_body_without_length_ends_with_a_fin(server, version):
    """Only a FIN ends it, and only behind a whole head."""
    data = NO_LENGTH.replace(b"1.1", version) + b"hello"
    head = len(NO_LENGTH)
    for cut in range(len(data) + 1):
        result = await server.exchange([data[:cut]], Ending.FIN)
        expected = None if cut < head else (200, data[head:cut])
        assert result == expected, cut


@pytest.mark.parametrize("pause_s", [0.0, 0.005])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
async def test_a_body_without_length_that_is_reset_is_lost(
    server, version, pause_s
):
    """Guards against a reset that is taken for the end of a body."""
    data = NO_LENGTH.replace(b"1.1", version) + b"hello"
    for cut in range(len(data) + 1):
        result = await server.exchange([data[:cut]], Ending.RESET, pause_s)
        assert result is None, cut


async def test_a_body_without_length_ends_with_a_fin_that_a_reset_follows(
    server,
):
    """All bytes of the sender lie in front of its FIN."""
    for cut in range(len(NO_LENGTH), len(NO_LENGTH) + 6):
        data = (NO_LENGTH + b"hello")[:cut]
        result = await server.exchange([data], Ending.FIN_THEN_RESET)
        assert result == (200, data[len(NO_LENGTH) :]), cut


@pytest.mark.parametrize("coding", [b"identity", b"gzip", b"chunked, gzip"])
async def test_a_coding_that_does_not_end_with_chunked_is_lost(server, coding):
    """Its end can't be told from a break."""
    data = (
        OK
        + b"transfer-encoding: "
        + coding
        + b"\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
    )
    assert await server.exchange([data], Ending.FIN) is None


@pytest.mark.parametrize("kind", FRAMED)
async def test_a_head_request_has_no_body(server, kind):
    data, (status, _) = FRAMED[kind]
    result = await server.exchange([data], Ending.STAY, method=b"HEAD")
    assert result == (status, b"")


class Transport(asyncio.Transport):
    """Discards what is written and records whether it was closed."""

    def __init__(self):
        super().__init__()
        self.is_ended = False

    def write(self, data):
        pass

    def abort(self):
        self.is_ended = True

    def is_closing(self):
        return self.is_ended


@pytest.mark.parametrize("kind", FRAMED)
@hypothesis.given(
    length=strategies.integers(0, 200),
    cuts=strategies.sets(strategies.integers(0, 200)),
)
def test_only_a_whole_response_is_complete(kind, length, cuts):
    """Guards against segments that change what a response says."""
    data, (status, body) = FRAMED[kind]
    arrived = data[:length]
    edges = sorted({0, len(arrived), *(c for c in cuts if c < len(arrived))})

    async def play():
        connection = http1.Connection()
        connection.connection_made(Transport())
        exchange = connection.start(b"POST", b"")
        for begin, stop in zip(edges, edges[1:], strict=False):
            connection.data_received(arrived[begin:stop])
        connection.eof_received()
        connection.connection_lost(None)
        assert exchange.is_complete == (arrived == data)
        if exchange.is_complete:
            assert await read_all(exchange) == (status, body)
        else:
            with pytest.raises(http1.ResponseLostError):
                await read_all(exchange)

    asyncio.run(play())
