"""Tests the server's limits on what a connection sends, without a gateway."""

import asyncio

import pytest_asyncio

from sardinewharf import memory
from sardinewharf.http1 import closes
from sardinewharf.http1 import server as http_server
from sardinewharf.testbed import ports

_HEADER_BYTES = 1_000
_READ_S = 3.0
_CHUNKED = (
    b"POST / HTTP/1.1\r\nhost: h\r\n"
    b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n"
)


class Echo:
    """Responds to each request with its body; a path delays the response."""

    def __init__(self):
        self.begun = 0
        self.proceed = asyncio.Event()
        self.proceed.set()

    async def __call__(self, scope, receive, send):
        self.begun += 1
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            if not message["more_body"]:
                break
        await self.proceed.wait()
        length = (b"content-length", b"%d" % len(body))
        start = {
            "type": "http.response.start",
            "status": 200,
            "headers": [length],
        }
        await send(start)
        await send({"type": "http.response.body", "body": body})


class Served:
    """A server, its application, and the reports of closed connections."""

    def __init__(self):
        self.app = Echo()
        self.account = memory.MemoryAccount(1_000_000)
        self.reports = []
        self.limits = closes.ServerLimits(_HEADER_BYTES, 1.0, 1.0)
        self.address = f"127.0.0.1:{ports.find_free_port()}"
        self.server = http_server.HttpServer(
            self.app, lambda: self.limits, self.account, self.reports.append
        )

    async def connect(self):
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def exchange(self, data):
        """Returns all that is received for some bytes."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            async with asyncio.timeout(_READ_S):
                return await reader.read(-1)
        finally:
            writer.close()


@pytest_asyncio.fixture
async def served():
    found = Served()
    await found.server.start(found.address)
    yield found
    found.server.stop_listening()
    found.server.close_idle()


async def test_trailers_within_the_limit_are_dropped(served):
    """Guards against a request with trailers that is refused."""
    trailers = b"0\r\n" + b"a: b\r\n" * 20 + b"\r\n"
    received = await served.exchange(_CHUNKED + trailers)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"\r\n\r\nx")


async def test_head_and_trailers_share_one_limit(served):
    """Guards against trailers without a limit, in one segment or in many."""
    trailers = b"0\r\n" + b"a: b\r\n" * 200
    for end in (b"", b"\r\n"):
        received = await served.exchange(_CHUNKED + trailers + end)
        assert received.startswith(b"HTTP/1.1 431 ")
    reason = closes.CloseReason.TRAILERS_TOO_LARGE
    assert [report.reason for report in served.reports] == [reason] * 2


async def test_one_trailer_or_extension_without_end_is_refused(served):
    """Guards against fields that the parser collects and never reports."""
    for rest in (b"0\r\na: ", b"0\r\na", b"1;a"):
        reader, writer = await served.connect()
        writer.write(_CHUNKED + rest)
        await asyncio.sleep(0.05)
        for _ in range(_HEADER_BYTES // 100 + 1):
            writer.write(b"b" * 100)
            await writer.drain()
            await asyncio.sleep(0.002)
        async with asyncio.timeout(_READ_S):
            assert (await reader.read(-1)).startswith(b"HTTP/1.1 431 ")
        writer.close()


async def test_many_small_chunks_are_one_body(served):
    """Guards against the framing of sound chunks that adds up to a limit."""
    body = b"1;name=value\r\nx\r\n" * 500 + b"0\r\n\r\n"
    received = await served.exchange(_CHUNKED + body)
    assert received.endswith(b"\r\n\r\n" + b"x" * 501)
