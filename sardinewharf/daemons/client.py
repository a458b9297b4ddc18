"""Client for the requests to another daemon."""

import asyncio
import contextlib
import itertools

from sardinewharf import clocks
from sardinewharf import tasks
from sardinewharf.daemons import codec
from sardinewharf.daemons.gen.wire import ttypes


class PeerError(Exception):
    """A daemon gave no usable response; retry, or try another daemon."""


class PeerClient:
    """A connection to one daemon, opened by the first call that needs it.

    Replies are matched to requests by number, so that a late reply is never
    taken for that of another request.

    Args:
        address: ``HOST:PORT`` of the daemon.
        source_address: Local IP of the connection; empty for any.

    Attributes:
        sent_bytes: Total bytes sent.
    """

    def __init__(self, address: str, source_address: str = ""):
        self._local = (source_address, 0) if source_address else None
        host, port = address.rsplit(":", 1)
        self._host = host
        self._port = int(port)
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[ttypes.Reply]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._connecting = asyncio.Lock()
        self._tasks = tasks.TaskGroup()
        self.sent_bytes = 0

    async def call(
        self, request: ttypes.Request, deadline: clocks.Deadline
    ) -> ttypes.Reply:
        """Returns the reply to a request.

        Raises:
            PeerError: If there was none by the deadline, the connection
                failed, or the reply is an error.
        """
        request.number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[request.number] = future
        try:
            async with asyncio.timeout(max(0.001, deadline.remaining())):
                writer = await self._connect()
                frame = codec.encode(request)
                self.sent_bytes += len(frame)
                writer.write(frame)
                reply = await future
        except (TimeoutError, OSError) as error:
            raise PeerError(f"No response: {type(error).__name__}.") from error
        finally:
            self._pending.pop(request.number, None)
        if reply.error:
            raise PeerError(reply.error)
        return reply

    async def close(self) -> None:
        """Closes the connection."""
        await self._tasks.close()
        self._drop()

    async def _connect(self) -> asyncio.StreamWriter:
        async with self._connecting:
            if self._writer is None or self._writer.is_closing():
                reader, self._writer = await asyncio.open_connection(
                    self._host, self._port, local_addr=self._local
                )
                work = self._receive(reader, self._writer)
                self._tasks.start(work, "peer-replies")
            return self._writer

    async def _receive(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(OSError, EOFError, codec.FrameError):
                while True:
                    reply = await codec.read(reader, ttypes.Reply)
                    future = self._pending.get(reply.number)
                    if future is not None and not future.done():
                        future.set_result(reply)
        finally:
            writer.close()
            if self._writer is writer:
                self._drop()

    def _drop(self) -> None:
        """Closes the connection and fails the pending calls."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for future in self._pending.values():
            if not future.done():
                future.set_exception(ConnectionResetError())
