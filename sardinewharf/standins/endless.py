"""Bytes without end that a test double of a server sends as its response."""

import asyncio
import enum

from sardinewharf.standins import server_connections

_CHUNK = b"x" * 65_536
# Bytes that wait to be sent before the next are written.
_HIGH_WATER_BYTES = 131_072
_POLL_INTERVAL_S = 0.001


class EndlessPart(enum.Enum):
    """The part of a response that does not end.

    Attributes:
        HEAD: A field of the head.
        BODY: The body, after a sound head.
        EVENT: An event of a stream, after a sound head.
    """

    HEAD = "head"
    BODY = "body"
    EVENT = "event"


async def write_without_end(
    connection: server_connections.ServerConnection,
    headers: list[tuple[str, str]],
    part: EndlessPart,
) -> None:
    """Writes until the connection is closed, as fast as the peer reads."""
    if part is EndlessPart.HEAD:
        connection.write(b"HTTP/1.1 200 OK\r\nx-filler: ")
    elif part is EndlessPart.EVENT:
        stream = ("content-type", "text/event-stream")
        connection.write_head(200, [*headers, stream], None)
        connection.write(b"id: 1\ndata: ")
    else:
        connection.write_head(200, headers, None)
    transport = connection.transport
    while not transport.is_closing():
        connection.write(_CHUNK)
        while transport.get_write_buffer_size() > _HIGH_WATER_BYTES:
            await asyncio.sleep(_POLL_INTERVAL_S)
        await asyncio.sleep(0)
