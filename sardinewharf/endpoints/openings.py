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
SILENCE_S = 2.0


class Opening(abc.ABC):
    """One attempt at an engine whose answer has not begun.

    Args:
        silence_s: Seconds without an answer after which it is asked for again.
    """

    def __init__(self, silence_s: float = SILENCE_S):
        self._silence_s = silence_s

    @abc.abstractmethod
    async def send(self) -> aiohttp.ClientResponse:
        """Sends the attempt and returns its answer once it has begun.

        Raises:
            EndpointError: If there is none.
        """

    @abc.abstractmethod
    async def ask(self) -> aiohttp.ClientResponse:
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
        sending = asyncio.create_task(self.send())
        asking: asyncio.Task[aiohttp.ClientResponse] | None = None
        try:
            while True:
                ways = {way for way in (sending, asking) if way is not None}
                await asyncio.wait(
                    ways,
                    timeout=self._silence_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if sending.done():
                    return sending.result()
                if asking is not None:
                    answer = self._read_answer(asking)
                    if answer is not None:
                        return answer
                    asking.cancel()
                    asking = None
                else:
                    asking = asyncio.create_task(self.ask())
        finally:
            for way in (sending, asking):
                if way is not None:
                    way.cancel()

    def _read_answer(
        self, asking: asyncio.Task[aiohttp.ClientResponse]
    ) -> aiohttp.ClientResponse | None:
        if not asking.done():
            return None
        try:
            return asking.result()
        except failures.EndpointError as error:
            if error.kind is failures.FailureKind.NOT_RUN:
                raise failures.EndpointError(
                    failures.FailureKind.LOST, "the request did not arrive"
                ) from error
            _log.debug("An answer could not be asked for again: {}.", error)
            return None
