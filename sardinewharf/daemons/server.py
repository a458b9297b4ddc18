"""Answers the calls of other daemons."""

import abc
import asyncio

from sardinewharf import logs
from sardinewharf import tasks
from sardinewharf.daemons import codec
from sardinewharf.daemons.gen.wire import ttypes

_log = logs.get_logger("daemons")


class PeerHandler(abc.ABC):
    """Answers one request of another daemon."""

    @abc.abstractmethod
    async def handle(self, request: ttypes.Request) -> ttypes.Reply:
        """Returns the reply."""


class PeerServer:
    """Listens for other daemons, with one task for each connection.

    Args:
        handler: Answers the requests.

    Attributes:
        sent_bytes: Bytes sent so far.
    """

    def __init__(self, handler: PeerHandler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks = tasks.TaskGroup()
        self._writers: set[asyncio.StreamWriter] = set()
        self.sent_bytes = 0

    async def start(self, host: str, port: int) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        await self._tasks.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await codec.read(reader, ttypes.Request)
                # A claim waits for its commit; gossip must not wait behind it.
                self._tasks.start(self._handle(request, writer), "peer-call")
        except (OSError, EOFError):
            return
        except codec.FrameError as error:
            _log.warning("Closed a peer's connection. {}", error)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: ttypes.Request, writer: asyncio.StreamWriter
    ) -> None:
        try:
            reply = await self._handler.handle(request)
        except Exception as error:
            _log.opt(exception=error).error("A peer's call failed.")
            reply = ttypes.Reply(error=f"{type(error).__name__}")
        reply.number = request.number
        frame = codec.encode(reply)
        self.sent_bytes += len(frame)
        if not writer.is_closing():
            writer.write(frame)
