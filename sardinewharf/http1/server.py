"""HTTP/1.1 server for an ASGI application, with limits on request headers."""

import asyncio
from collections.abc import Callable
import contextlib

from uvicorn import config as uvicorn_config
from uvicorn import server as uvicorn_server

from sardinewharf import clocks
from sardinewharf import memory
from sardinewharf.http1 import closes
from sardinewharf.http1 import protocol

CloseReport = closes.CloseReport
ServerLimits = closes.ServerLimits

_BACKLOG = 1024


class HttpServer:
    """HTTP server that listens on one address.

    Args:
        app: The ASGI application.
        read_limits: Returns the limits in force.
        account: Account of the memory that callers' data takes.
        report_close: Receives connections that the server closes with a request
            on them; by default they are not reported.
    """

    def __init__(
        self,
        app: Callable[..., object],
        read_limits: Callable[[], ServerLimits],
        account: memory.MemoryAccount,
        report_close: Callable[[CloseReport], None] = lambda report: None,
    ):
        self._config = uvicorn_config.Config(
            app,
            lifespan="off",
            ws="none",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        )
        self._config.load()
        self._state = uvicorn_server.ServerState()
        self._closed = asyncio.Event()
        self._protocol = protocol.make_protocol(
            read_limits, account, self._closed, report_close
        )
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._state.connections)

    @property
    def held_connections(self) -> int:
        """Number of connections that are not read, as much waits on them."""
        return sum(c.flow.is_held for c in self._state.connections)

    async def start(self, address: str) -> None:
        """Listens on ``IP:PORT``.

        Raises:
            OSError: If the address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, int(port), backlog=_BACKLOG
        )

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes idle connections now, and busy ones after their response."""
        for connection in list(self._state.connections):
            connection.shutdown()

    async def wait_until_closed(self, deadline: clocks.Deadline) -> None:
        """Waits until no connection is open, or until the deadline.

        A connection that is being closed is open until all that was written to
        it is sent.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline.at):
                while self._state.connections:
                    self._closed.clear()
                    await self._closed.wait()

    def _make_protocol(self) -> asyncio.Protocol:
        return self._protocol(
            config=self._config, server_state=self._state, app_state={}
        )
