"""Timers of a connection.

A timer keeps what ends the connection only while it runs: that refers to the
connection, which would otherwise be kept until the garbage collector runs.
"""

import asyncio
from collections.abc import Callable

from sardinewharf.http1 import closes
from sardinewharf.http1 import pipelines


class _Timer:
    """A timer that may be started again."""

    __slots__ = ("_handle", "_loop", "_read_limits")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        read_limits: Callable[[], closes.ServerLimits],
    ):
        self._loop = loop
        self._read_limits = read_limits
        self._handle: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Whether the timer was started and has not expired or stopped."""
        return self._handle is not None

    def stop(self) -> None:
        """Stops the timer if it runs."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


class HeadTimer(_Timer):
    """Limits the time in which a head must arrive.

    Args:
        loop: The event loop of the connection.
        read_limits: Returns the limits in force.
    """

    __slots__ = ()

    def start(self, end_connection: Callable[[], None]) -> None:
        """Starts the timer unless it runs.

        Args:
            end_connection: Is called when the time is over.
        """
        if self._handle is None:
            self._handle = self._loop.call_later(
                self._read_limits().header_s, self._expire, end_connection
            )

    def _expire(self, end_connection: Callable[[], None]) -> None:
        self._handle = None
        end_connection()


class UnreadTimer(_Timer):
    """Limits the time in which a caller takes nothing of a response.

    Args:
        loop: The event loop of the connection.
        read_limits: Returns the limits in force.
        transport: The connection's transport.
    """

    __slots__ = ("_transport",)

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        read_limits: Callable[[], closes.ServerLimits],
        transport: asyncio.Transport,
    ):
        super().__init__(loop, read_limits)
        self._transport = transport

    def start(self, end_connection: Callable[[], None]) -> None:
        """Starts the timer unless it runs.

        Args:
            end_connection: Is called when the time is over.
        """
        if self._handle is None:
            self._schedule(end_connection)

    def _schedule(self, end_connection: Callable[[], None]) -> None:
        self._handle = self._loop.call_later(
            self._read_limits().unread_s,
            self._expire,
            end_connection,
            pipelines.count_unsent(self._transport),
        )

    def _expire(
        self, end_connection: Callable[[], None], unsent_before: int
    ) -> None:
        """Ends the connection if the caller has taken nothing since."""
        self._handle = None
        if pipelines.count_unsent(self._transport) < unsent_before:
            self._schedule(end_connection)
            return
        end_connection()
