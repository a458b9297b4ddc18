"""Watches callers that wait for the responses to their requests."""

import asyncio
from collections.abc import Coroutine

from sardinewharf.gateway import endings
from sardinewharf.http1 import protocol as http_protocol


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its response was complete."""


class CallerHalfClosedError(Exception):
    """The caller closed its sending side, and its request was ended."""


class Caller:
    """Watches a caller while it waits for its response.

    Args:
        receive: The ASGI receive callable of the request.
        side: What the server knows of the caller's side of the connection.
    """

    def __init__(
        self, receive: endings.Receive, side: http_protocol.CallerSide
    ):
        self._receive = receive
        self._side = side
        self._has_disconnected = False

    @property
    def is_half_closed(self) -> bool:
        """Whether the caller closed its sending side."""
        return self._side.is_half_closed

    async def wait_while_present(self, task: asyncio.Task[None]) -> None:
        """Waits for a task until the caller leaves or half-closes.

        Raises:
            CallerDisconnectedError: If the connection is closed first.
        """
        await self._wait(task, self._wait_for_departure())

    async def wait_while_connected(self, task: asyncio.Task[None]) -> None:
        """Waits for a task until the connection is closed.

        Raises:
            CallerDisconnectedError: If the connection is closed first.
        """
        if not task.done():
            await self._wait(task, self._wait_for_disconnect())

    async def _wait(
        self, task: asyncio.Task[None], departure: Coroutine[None, None, None]
    ) -> None:
        departure_task = asyncio.ensure_future(departure)
        try:
            await asyncio.wait(
                {task, departure_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            departure_task.cancel()
        if self._has_disconnected and not task.done():
            raise CallerDisconnectedError

    async def _wait_for_departure(self) -> None:
        while not self.is_half_closed and not self._has_disconnected:
            await self._receive_from_caller()

    async def _wait_for_disconnect(self) -> None:
        while not self._has_disconnected:
            await self._receive_from_caller()

    async def _receive_from_caller(self) -> None:
        message = await self._receive()
        self._has_disconnected = message["type"] == "http.disconnect"
