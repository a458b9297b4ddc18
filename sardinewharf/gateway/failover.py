"""Waits for a stalled endpoint and for another one at the same time.

An endpoint that sends nothing may have stopped, or may go on a moment later.
Its attempt stays open until another endpoint has responded, so that a request
is not lost if no other endpoint can take it.

See Also:
    ``readers.EndpointReader``, which detects stalled endpoints.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

from sardinewharf.gateway import refusals
from sardinewharf.gateway import requests

_Answer = TypeVar("_Answer")


@dataclasses.dataclass(frozen=True, slots=True)
class Continued(Generic[_Answer]):
    """The stalled endpoint went on first.

    Attributes:
        answer: What was read from it.
    """

    answer: _Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """Another endpoint responded first; the stalled attempt is closed.

    Attributes:
        attempt: The attempt at the other endpoint.
    """

    attempt: requests.Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class StillStalled:
    """No other endpoint can take the request; the stalled one may go on."""


async def wait_for_first(
    stalled: requests.Attempt,
    reading: Coroutine[Any, Any, _Answer],
    opening: Coroutine[Any, Any, requests.Attempt],
) -> Continued[_Answer] | Replaced | StillStalled:
    """Returns which endpoint went on first, and ends the wait for the other.

    Args:
        stalled: The attempt at the stalled endpoint.
        reading: Reads from the stalled endpoint.
        opening: Opens an attempt at another endpoint.

    Raises:
        RefusedError: If the stalled attempt is lost, and no other endpoint can
            take the request.
    """
    reading_task = asyncio.ensure_future(reading)
    opening_task = asyncio.ensure_future(opening)
    is_replaced = False
    try:
        await asyncio.wait(
            {reading_task, opening_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if _has_failed(reading_task):
            stalled.close()
            await asyncio.wait({opening_task})
        elif reading_task.done():
            return Continued(reading_task.result())
        elif _is_refused(opening_task):
            return StillStalled()
        attempt = opening_task.result()
        is_replaced = True
        stalled.close()
        return Replaced(attempt)
    finally:
        reading_task.cancel()
        if not is_replaced:
            opening_task.add_done_callback(_close_attempt)
            opening_task.cancel()


def _has_failed(task: asyncio.Task[Any]) -> bool:
    return task.done() and task.exception() is not None


def _is_refused(task: asyncio.Task[Any]) -> bool:
    return isinstance(task.exception(), refusals.RefusedError)


def _close_attempt(task: asyncio.Task[requests.Attempt]) -> None:
    """Closes the attempt that a task returned although nobody needs it."""
    if not task.cancelled() and task.exception() is None:
        task.result().close()
