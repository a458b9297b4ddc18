"""Encodes Thrift structs as length-prefixed frames of a TCP connection.

A frame is a length of four bytes, most significant first, followed by a
struct in Thrift's compact protocol.
"""

import asyncio
from typing import TypeVar

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from sardinewharf.daemons.gen.wire import ttypes

_LENGTH_BYTES = 4
_MAX_FRAME_BYTES = 1 << 25
_PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()
_Struct = TypeVar("_Struct", ttypes.Request, ttypes.Reply)


class FrameError(Exception):
    """A peer sent an invalid frame; its connection is closed."""


def encode(struct: ttypes.Request | ttypes.Reply) -> bytes:
    """Returns a struct encoded as a frame."""
    buffer = TTransport.TMemoryBuffer()
    struct.write(_PROTOCOL_FACTORY.getProtocol(buffer))
    body = buffer.getvalue()
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


def decode(body: bytes, kind: type[_Struct]) -> _Struct:
    """Returns the struct decoded from a frame's body.

    Raises:
        FrameError: If the bytes do not encode such a struct.
    """
    struct = kind()
    try:
        struct.read(
            _PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer(body))
        )
    except Exception as error:
        # The accelerated decoder raises various exceptions on invalid bytes.
        raise FrameError(f"Unreadable frame: {error!r}") from error
    return struct


async def read(reader: asyncio.StreamReader, kind: type[_Struct]) -> _Struct:
    """Reads and decodes the next frame of a connection.

    Raises:
        FrameError: If the frame is too large or cannot be decoded.
        EOFError: If the connection was closed.
    """
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
    if length > _MAX_FRAME_BYTES:
        raise FrameError(f"A frame of {length} bytes is too large.")
    return decode(await reader.readexactly(length), kind)
