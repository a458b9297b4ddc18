"""Server for the requests of other daemons."""

import abc
import asyncio

from sardinewharf import logs
from sardinewharf import tasks
from sardinewharf.daemons import codec
from sardinewharf.daemons.gen.wire import ttypes

_log = logs.get_logger("daemons")


class PeerHandler(abc.ABC):
    """Handles the requests of other daemons."""

    @abc.abstractmethod
    async def handle(self, request: ttypes.Request) -> ttypes.Reply:
        """Returns the reply to a request."""


class PeerServer:
    """Accepts connections of other daemons and serves their requests.

    Args:
        handler: Handles the requests.

    Attributes:
        sent_bytes: Total bytes sent in replies.
    """

    def __init__(self, handler: PeerHandler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks = tasks.TaskGroup()
        self._writers: set[asyncio.StreamWriter] = set()
        self.sent_bytes = 0

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
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
        """Starts a task for each request of a connection until its end."""
        self._writers.add(writer)
        try:
            while True:
                request = await codec.read(reader, ttypes.Request)
                # Each request runs in its own task: a claim waits for its
                # commit, and gossip must not wait behind it.
                self._tasks.start(self._handle(request, writer), "peer-call")
        except (OSError, EOFError):
            return
        except codec.FrameError as error:
            _log.warning("Closed the connection of a peer: {}", error)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: ttypes.Request, writer: asyncio.StreamWriter
    ) -> None:
        try:
            reply = await self._handler.handle(request)
        except Exception as error:
            _log.opt(exception=error).error("A request of a peer failed.")
            reply = ttypes.Reply(error=f"{type(error).__name__}")
        reply.number = request.number
        frame = codec.encode(reply)
        self.sent_bytes += len(frame)
        if not writer.is_closing():
            writer.write(frame)
