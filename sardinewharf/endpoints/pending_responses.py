"""Sends an attempt, and asks for its answer again if none begins.

A connection can hold an answer back, or a request, for as long as it stays
open. A second connection then brings the answer, or the word that the engine
has never seen the attempt.
"""

import abc
import asyncio

import aiohttp

from sardinewharf import logs
from sardinewharf.endpoints import failures

_log = logs.get_logger("engines")
REFETCH_INTERVAL_S = 2.0


class PendingResponse(abc.ABC):
    """One attempt at an engine whose answer has not begun.

    Args:
        refetch_interval_s: Seconds without an answer after which it is asked
            for again.
    """

    def __init__(self, refetch_interval_s: float = REFETCH_INTERVAL_S):
        self._refetch_interval_s = refetch_interval_s

    @abc.abstractmethod
    async def send(self) -> aiohttp.ClientResponse:
        """Sends the attempt and returns its answer once it has begun.

        Raises:
            EndpointError: If there is none.
        """

    @abc.abstractmethod
    async def fetch_again(self) -> aiohttp.ClientResponse:
        """Returns the attempt's answer, over another connection.

        Raises:
            EndpointError: If there is none; ``NOT_RUN`` if the engine does not
                know the attempt.
        """

    async def run(self) -> aiohttp.ClientResponse:
        """Returns the answer that begins first.

        Raises:
            EndpointError: If none begins.
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
        if not fetch_task.done():
            return None
        try:
            return fetch_task.result()
        except failures.EndpointError as error:
            if error.kind is failures.FailureKind.NOT_RUN:
                raise failures.EndpointError(
                    failures.FailureKind.LOST, "the request did not arrive"
                ) from error
            _log.debug("An answer could not be asked for again: {}.", error)
            return None
