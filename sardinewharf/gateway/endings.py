"""Ends requests that still run when a gateway is about to exit."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from sardinewharf import catalog
from sardinewharf.gateway import requests
from sardinewharf.gateway import responder as responder_lib

# Responses of endpoints that have arrived when requests are ended are forwarded
# within this time, in seconds.
READY_ANSWERS_S = 0.05

Receive = Callable[[], Awaitable[Mapping[str, object]]]


class EndedError(Exception):
    """The gateway shuts down, and the request was ended."""


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class RunningResponse:
    """A request that was admitted, and the task that responds to it.

    Attributes:
        call: The request.
        responder: Sends the response.
        task: Forwards the response.
    """

    call: requests.Call
    responder: responder_lib.Responder
    task: asyncio.Task[None]

    def end(self) -> None:
        """Cancels the task, unless only the delivery is left to do."""
        kind = self.call.admitted.route.kind
        is_in_one_piece = kind is not catalog.RouteKind.STREAM
        is_written = self.responder.is_finished or (
            self.responder.has_started and is_in_one_piece
        )
        if not is_written:
            self.task.cancel()


class UnreadBodies:
    """Waits for the bodies of requests until the gateway exits."""

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        self._has_ended = False

    async def wait_for(
        self, receive: Receive, timeout: asyncio.Timeout
    ) -> Mapping[str, object]:
        """Returns the next message of a request whose body is not whole.

        Args:
            receive: The ASGI receive callable of the request.
            timeout: Limits the wait.

        Raises:
            EndedError: If the gateway ends the request first.
            TimeoutError: If the timeout expires first.
        """
        self._timeouts.add(timeout)
        try:
            async with timeout:
                if self._has_ended:
                    timeout.reschedule(asyncio.get_running_loop().time())
                return await receive()
        except TimeoutError as error:
            if self._has_ended:
                raise EndedError from error
            raise
        finally:
            self._timeouts.discard(timeout)

    def end(self) -> None:
        """Ends all waits, also those that begin from now on."""
        self._has_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)
