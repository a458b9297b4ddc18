"""Waits for a response to begin, and fetches it again if it does not.

A faulty connection can withhold the request or its response for as long as it
stays open. A second connection then gets the response, or the information that
the engine has not received the attempt.
"""

import abc
import asyncio

import aiohttp

from sardinewharf import logs
from sardinewharf.endpoints import failures

_log = logs.get_logger("engines")
REFETCH_INTERVAL_S = 2.0


class PendingResponse(abc.ABC):
    """The response to an attempt, which has not begun yet.

    Args:
        refetch_interval_s: Seconds without a response after which it is fetched
            over another connection.
    """

    def __init__(self, refetch_interval_s: float = REFETCH_INTERVAL_S):
        self._refetch_interval_s = refetch_interval_s

    @abc.abstractmethod
    async def send(self) -> aiohttp.ClientResponse:
        """Sends the attempt and returns its response once it has begun.

        Raises:
            EndpointError: If there is no response.
        """

    @abc.abstractmethod
    async def fetch_again(self) -> aiohttp.ClientResponse:
        """Fetches the attempt's response over another connection.

        Raises:
            EndpointError: If there is no response; ``NOT_RUN`` if the engine
                does not know the attempt.
        """

    async def run(self) -> aiohttp.ClientResponse:
        """Returns the response that begins first.

        The response is fetched again until one of both connections gets it.

        Raises:
            EndpointError: If the attempt fails, or the engine has not received
                it.
        """
        send_task = asyncio.create_task(self.send())
        fetch_task: asyncio.Task[aiohttp.ClientResponse] | None = None
        try:
            while True:
                pending = {
                    task for task in (send_task, fetch_task) if task is not None
                }
                await asyncio.wait(
                    pending,
                    timeout=self._refetch_interval_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if send_task.done():
                    return send_task.result()
                if fetch_task is not None:
                    response = self._read_fetched(fetch_task)
                    if response is not None:
                        return response
                    fetch_task.cancel()
                    fetch_task = None
                else:
                    fetch_task = asyncio.create_task(self.fetch_again())
        finally:
            for task in (send_task, fetch_task):
                if task is not None:
                    task.cancel()

    def _read_fetched(
        self, fetch_task: asyncio.Task[aiohttp.ClientResponse]
    ) -> aiohttp.ClientResponse | None:
        """Returns the fetched response; None if there is none so far.

        Raises:
            EndpointError: With ``LOST``, if the engine does not know the
                attempt.
        """
        if not fetch_task.done():
            return None
        try:
            return fetch_task.result()
        except failures.EndpointError as error:
            if error.kind is failures.FailureKind.NOT_RUN:
                # The engine does not know the attempt, but the first connection
                # may still deliver it.
                raise failures.EndpointError(
                    failures.FailureKind.LOST, "the request did not arrive"
                ) from error
            _log.debug("A response could not be fetched again: {}.", error)
            return None
