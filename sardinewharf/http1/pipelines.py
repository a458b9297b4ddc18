r"""What a connection has received behind the request that is being answered.

A segment holds thousands of small requests, and each takes far more memory once
it is parsed. So they are kept as bytes, of which one piece at a time is parsed,
and while there are many the connection is not read.

Examples:
    >>> backlog = Backlog()
    >>> backlog.add(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n")
    >>> backlog.take()
    b'GET /1 HTTP/1.1\r\n\r\n'
    >>> backlog.take()
    b'GET /2 HTTP/1.1\r\n'
    >>> bool(backlog)
    False
"""

import asyncio
import fcntl
import functools
import struct
import termios

from uvicorn.protocols.http import flow_control

from sardinewharf import logs
from sardinewharf.http1 import client

# The connection is not read while so many bytes wait. It is the size of one
# segment: the end of the connection is noticed behind fewer.
MAX_BACKLOG_BYTES = 65_536
# Pieces of one connection that are parsed before others have their turn.
MAX_PIECES = 64
_HEAD_END = b"\r\n\r\n"
_log = logs.get_logger("http1")


class Backlog:
    """Bytes that were received and not parsed.

    Attributes:
        size: Number of bytes.
    """

    __slots__ = ("_begin", "_data", "size")

    def __init__(self) -> None:
        self._data = b""
        self._begin = 0
        self.size = 0

    def __bool__(self) -> bool:
        return self.size > 0

    def add(self, data: bytes) -> None:
        """Keeps further bytes."""
        self._data = self._data[self._begin :] + data if self.size else data
        self._begin = 0
        self.size = len(self._data)

    def take(self, body_bytes: int = 0) -> bytes:
        """Removes and returns the next bytes, at most to the end of a head.

        A head and a chunked body end with the same four bytes. So of all
        requests in the piece, only the last ones are begun by it: one, or two
        if the end of the first one's head was cut.

        Args:
            body_bytes: So many bytes of a body come first, which are returned
                alone: searching them takes longer than parsing them.
        """
        if body_bytes:
            end = self._begin + body_bytes
        else:
            found = self._data.find(_HEAD_END, self._begin)
            end = len(self._data) if found < 0 else found + len(_HEAD_END)
        piece = self._data[self._begin : end]
        if end >= len(self._data):
            self.clear()
        else:
            self._begin = end
            self.size = len(self._data) - end
        return piece

    def clear(self) -> None:
        """Drops all bytes."""
        self._data = b""
        self._begin = self.size = 0


class ReadControl(flow_control.FlowControl):
    """Flow control whose reading can be held whatever a request asks for.

    Attributes:
        is_held: Whether nothing is read.
    """

    is_held = False

    def hold_reading(self, is_held: bool) -> None:
        """Sets whether nothing is read; reading goes on if it was held."""
        if is_held != self.is_held:
            self.is_held = is_held
            if is_held:
                self.pause_reading()
            else:
                self.resume_reading()

    def resume_reading(self) -> None:
        """Reads on, unless it is held."""
        if not self.is_held:
            super().resume_reading()


def limit_buffers(transport: asyncio.Transport) -> None:
    """Limits what a transport reads at once, and reports what it cannot write.

    uvloop's transports have no ``max_size``, and write only at the end of a
    round of the loop: there, less than the default high-water mark of 64 KB is
    not counted.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = client.SEGMENT_BYTES
        # What cannot be written at once is counted, see ``pause_writing``.
        transport.set_write_buffer_limits(high=0)


def count_unsent(transport: asyncio.WriteTransport) -> int:
    """Returns how many written bytes the peer has not acknowledged.

    Where the system does not tell what the socket holds, it is only what the
    transport holds.
    """
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError as error:
        _log_unsupported(str(error))
        return buffered
    return buffered + struct.unpack("i", queued)[0]


@functools.lru_cache(maxsize=1)
def _log_unsupported(detail: str) -> None:
    """Logs once that the system does not tell what sockets hold."""
    _log.warning("The bytes in a socket are not known: {}.", detail)
