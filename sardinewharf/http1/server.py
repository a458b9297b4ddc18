"""HTTP/1.1 server for an ASGI application, with limits on request headers."""

import asyncio
from collections.abc import Callable
import dataclasses

from uvicorn import config as uvicorn_config
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import httptools_impl

from sardinewharf.http1 import client

_HEADERS_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_BACKLOG = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a connection.

    Attributes:
        header_bytes: Maximum size of all headers of a request.
        header_s: Time in which the headers must arrive, in seconds.
        idle_s: Time for which a connection may stay idle, in seconds.
    """

    header_bytes: int
    header_s: float
    idle_s: float


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Protocol of uvicorn with limits on the headers' size and duration.

    Attributes:
        read_limits: Returns the limits in force.
    """

    read_limits: Callable[[], ServerLimits]

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts the timer of the first headers; called by asyncio."""
        super().connection_made(transport)
        client.set_tcp_options(transport.get_extra_info("socket"))
        self._head_bytes = 0
        self._is_reading_head = True
        self._head_timer: asyncio.TimerHandle | None = None
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timer; called by asyncio."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and checks the headers' size."""
        if self._is_reading_head:
            self._head_bytes += len(data)
            if self._head_timer is None:
                self._start_head_timer()
        super().data_received(data)
        limit = type(self).read_limits().header_bytes
        if self._is_reading_head and self._head_bytes > limit:
            self._reject(_HEADERS_TOO_LARGE_RESPONSE)

    def on_headers_complete(self) -> None:
        """Stops the timer and stores the time at which the headers arrived."""
        self._stop_head_timer()
        self._is_reading_head = False
        self.scope["state"]["arrived"] = self.loop.time()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Prepares for the headers of the next request."""
        self._is_reading_head = True
        self._head_bytes = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Applies the idle timeout in force after a response was sent."""
        self.timeout_keep_alive = type(self).read_limits().idle_s
        super().on_response_complete()

    def _start_head_timer(self) -> None:
        seconds = type(self).read_limits().header_s
        self._head_timer = self.loop.call_later(seconds, self._end_slow_head)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_slow_head(self) -> None:
        """Closes the connection, as the headers did not arrive in time."""
        self._head_timer = None
        # A connection without any byte of a request is idle, not slow, and gets
        # no response.
        if self._head_bytes:
            self._reject(_TIMEOUT_RESPONSE)
        elif self.cycle is None:
            self.transport.close()

    def _reject(self, response: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(response)
            self.transport.close()


class HttpServer:
    """HTTP server that listens on one address.

    Args:
        app: The ASGI application.
        read_limits: Returns the limits in force.
    """

    def __init__(
        self,
        app: Callable[..., object],
        read_limits: Callable[[], ServerLimits],
    ):
        self._config = uvicorn_config.Config(
            app,
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        )
        self._config.load()
        self._state = uvicorn_server.ServerState()
        self._protocol = type(
            "Protocol",
            (LimitedProtocol,),
            {"read_limits": staticmethod(read_limits)},
        )
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._state.connections)

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

    def _make_protocol(self) -> asyncio.Protocol:
        return self._protocol(
            config=self._config, server_state=self._state, app_state={}
        )
