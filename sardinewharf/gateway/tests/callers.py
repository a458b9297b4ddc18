"""Raw connections of callers, for what an HTTP client would not send."""

import asyncio
import socket

from sardinewharf.testbed import gateway_harness

# Longest wait for bytes of a gateway, in seconds.
_READ_S = 5.0


class RawCaller:
    """A caller's connection to a gateway, byte by byte.

    Attributes:
        reader: What the gateway sends.
        writer: What the caller sends.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, harness, receive_buffer_bytes=0):
        host, _, port = harness.urls[0].rpartition(":")
        address = host.removeprefix("http://"), int(port)
        sock = socket.socket()
        if receive_buffer_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        return cls(*await asyncio.open_connection(sock=sock))

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    def end_sending(self):
        """Closes the sending side only."""
        self.writer.write_eof()

    async def read_response(self):
        """Returns the next response; its status is 0 if there is none."""
        response = await self.read_head()
        if response.status:
            async with asyncio.timeout(_READ_S):
                response.body, response.is_complete = await self._read_body(
                    response.status, response.headers
                )
        return response

    async def read_head(self):
        """Returns a response without its body; status 0 if none comes."""
        try:
            async with asyncio.timeout(_READ_S):
                head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return gateway_harness.Response(0, {}, b"", False)
        lines = head.decode().split("\r\n")
        assert lines[0].startswith("HTTP/1.1 "), lines[0]
        headers = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        status = int(lines[0].split()[1])
        return gateway_harness.Response(status, headers, b"", False)

    async def read_to_end(self):
        """Returns all that comes until the gateway closes the connection."""
        async with asyncio.timeout(_READ_S):
            return await self.reader.read(-1)

    def close(self):
        self.writer.close()

    async def _read_body(self, status, headers):
        body = b""
        try:
            if status in (204, 304):
                return body, True
            if "content-length" in headers:
                length = int(headers["content-length"])
                return await self.reader.readexactly(length), True
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    return body, True
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            body += getattr(error, "partial", b"")
            return body, False


def encode(harness, path, body=b"x", method="POST", **headers):
    """Returns the bytes of a request and its id.

    Headers are added or replaced, with underscores for dashes.
    """
    request_id = harness.make_id()
    sent = gateway_harness.make_headers(request_id, path)
    sent |= {name.replace("_", "-"): v for name, v in headers.items()}
    if body or method == "POST":
        sent.setdefault("content-length", str(len(body)))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in sent.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body, request_id
