"""Reads responses from endpoints and detects those that stopped responding."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf.gateway import requests

# Longest time between the ends of two events of a resumable stream while data
# arrives, in seconds, beyond the prefill of the queued prompts.
_MAX_EVENT_S = 1.5
_ReadResult = TypeVar("_ReadResult")


def _is_resumable(call: requests.Call) -> bool:
    """Returns whether a broken stream may be resumed at another endpoint."""
    is_stream = call.admitted.route.kind is catalog.RouteKind.STREAM
    return is_stream and call.may_run_again


class EndpointReader:
    """Reads responses; gives up streams that can be resumed elsewhere.

    Args:
        loads: Estimated load of each endpoint.
        health: Failures and ejections of each endpoint.
    """

    def __init__(self, loads: fleet.LoadTable, health: fleet.HealthTable):
        self._loads = loads
        self._health = health

    async def read(
        self,
        call: requests.Call,
        attempt: requests.Attempt,
        read: Callable[[], Awaitable[_ReadResult]],
    ) -> _ReadResult:
        """Reads from an endpoint, with an idle timeout for resumable streams.

        Other requests have no idle timeout. A stream times out only if the
        endpoint sent nothing on any of this gateway's connections meanwhile: a
        slow endpoint may still respond.

        Args:
            call: The request.
            attempt: The attempt that is read.
            read: Reads the next data of the attempt.

        Raises:
            ResponseLostError: If the connection ends or the endpoint is
                unresponsive.
        """
        health = self._health
        incarnation = attempt.target.endpoint.incarnation
        if not _is_resumable(call):
            result = await read()
            health.record_response(incarnation, clocks.read_monotonic())
            return result
        endpoint_id = attempt.target.endpoint.id
        while True:
            own_requests = self._loads.count_own(endpoint_id)
            idle_timeout_s = (
                balancing.find_idle_timeout(own_requests)
                + attempt.target.prefill_finish_s
            )
            began = clocks.read_monotonic()
            try:
                async with asyncio.timeout(idle_timeout_s):
                    result = await read()
            except TimeoutError as error:
                now = clocks.read_monotonic()
                last_received_at = max(
                    began, health.read_last_response_at(incarnation)
                )
                if now - last_received_at < idle_timeout_s:
                    continue
                health.record_unreachable(incarnation, now)
                raise http1.ResponseLostError(
                    f"silent for {now - last_received_at:.1f} s"
                ) from error
            health.record_response(incarnation, clocks.read_monotonic())
            return result

    def check_progress(
        self, call: requests.Call, attempt: requests.Attempt, since: float
    ) -> None:
        """Checks that a stream whose events do not end may go on.

        An endpoint that sends a byte now and then is never silent. Only a
        stream that can be resumed elsewhere is given up.

        Args:
            call: The request.
            attempt: The attempt that sent data without completing an event.
            since: When it last completed one, or began to be read.

        Raises:
            ResponseLostError: If it has taken too long.
        """
        limit_s = _MAX_EVENT_S + attempt.target.prefill_finish_s
        took_s = clocks.read_monotonic() - since
        if _is_resumable(call) and took_s > limit_s:
            raise http1.ResponseLostError(f"no event for {took_s:.1f} s")
