"""Reads responses from endpoints and detects those that stall."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf.gateway import reachability
from sardinewharf.gateway import requests

# Longest time between the ends of two events of a resumable stream while data
# arrives, in seconds, beyond the prefill of the queued prompts.
_MAX_EVENT_S = 1.5
# Share of the remaining time after which a response to an idempotent request
# that is no stream counts as stalled; the rest is left for a second endpoint.
_STALL_SHARE = 0.45
# Interval at which a silent engine is checked, in seconds.
_CHECK_INTERVAL_S = 0.1
_ReadResult = TypeVar("_ReadResult")


def _may_fail_over(call: requests.Call, attempt: requests.Attempt) -> bool:
    """Returns whether other endpoints may be tried if this one is silent.

    Of a request that is no stream they are tried only once.
    """
    is_stream = call.admitted.route.kind is catalog.RouteKind.STREAM
    return call.may_run_again and (is_stream or not attempt.has_stalled)


class StalledError(Exception):
    """Raised if an endpoint may have stopped; its response may still arrive."""


class EndpointReader:
    """Reads responses, and detects those that another endpoint could give.

    Args:
        loads: Estimated load of each endpoint.
        health: Failures and ejections of each endpoint.
    """

    def __init__(self, loads: fleet.LoadTable, health: fleet.HealthTable):
        self._loads = loads
        self._health = health
        self._prober = reachability.ReachabilityProber()

    async def read(
        self,
        call: requests.Call,
        attempt: requests.Attempt,
        read: Callable[[], Awaitable[_ReadResult]],
    ) -> _ReadResult:
        """Reads from an endpoint, with an idle timeout for what may run again.

        Other requests have no idle timeout. The attempt may be read again after
        it timed out.

        Args:
            call: The request.
            attempt: The attempt that is read.
            read: Reads the next data of the attempt.

        Raises:
            ResponseLostError: If the connection ends.
            StalledError: If the endpoint is silent.
        """
        began = clocks.read_monotonic()
        check_after_s = self._find_suspicious_silence(call, attempt)
        while _may_fail_over(call, attempt):
            try:
                async with asyncio.timeout(check_after_s):
                    return await self.read_patiently(attempt, read)
            except TimeoutError:
                self._check_silence(call, attempt, began)
                check_after_s = _CHECK_INTERVAL_S
        return await self.read_patiently(attempt, read)

    async def read_patiently(
        self,
        attempt: requests.Attempt,
        read: Callable[[], Awaitable[_ReadResult]],
    ) -> _ReadResult:
        """Reads from an endpoint without an idle timeout.

        Args:
            attempt: The attempt that is read.
            read: Reads the next data of the attempt.

        Raises:
            ResponseLostError: If the connection ends.
        """
        result = await read()
        self._health.record_response(
            attempt.target.endpoint.incarnation, clocks.read_monotonic()
        )
        return result

    def check_progress(
        self, call: requests.Call, attempt: requests.Attempt, since: float
    ) -> None:
        """Checks that a stream whose events do not end may go on.

        An endpoint that sends a byte now and then is never silent.

        Args:
            call: The request.
            attempt: The attempt that sent data without completing an event.
            since: When it last completed one, or began to be read.

        Raises:
            StalledError: If it has taken too long.
        """
        limit_s = _MAX_EVENT_S + attempt.target.prefill_finish_s
        took_s = clocks.read_monotonic() - since
        if call.may_run_again and took_s > limit_s:
            raise StalledError(f"no event for {took_s:.1f} s")

    def _find_suspicious_silence(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> float:
        """Returns after how many seconds without data to check an endpoint."""
        if call.admitted.route.kind is not catalog.RouteKind.STREAM:
            return call.deadline.remaining() * _STALL_SHARE
        own_requests = self._loads.count_own(attempt.target.endpoint.id)
        return (
            balancing.find_suspicious_silence(own_requests)
            + attempt.target.prefill_finish_s
        )

    def _check_silence(
        self, call: requests.Call, attempt: requests.Attempt, began: float
    ) -> None:
        """Checks whether an endpoint from which nothing was read is stalled.

        Args:
            call: The request.
            attempt: The attempt that is read.
            began: When it began to be read, on the monotonic clock.

        Raises:
            StalledError: If it is.
        """
        now = clocks.read_monotonic()
        if call.admitted.route.kind is catalog.RouteKind.STREAM:
            self._check_engine(call, attempt, began)
            return
        self._health.record_failure(attempt.target.endpoint.incarnation, now)
        raise StalledError(f"no answer for {now - began:.1f} s")

    def _check_engine(
        self, call: requests.Call, attempt: requests.Attempt, began: float
    ) -> None:
        """Checks whether an engine has stopped.

        It is silent only if it sent nothing on any of this gateway's
        connections meanwhile: a slow one may still respond.

        Raises:
            StalledError: If it is silent and accepts no connections, or has
                been silent for too long.
        """
        now = clocks.read_monotonic()
        incarnation = attempt.target.endpoint.incarnation
        silent_since = max(
            began, self._health.read_last_response_at(incarnation)
        )
        silent_s = now - silent_since
        if silent_s < self._find_suspicious_silence(call, attempt):
            return
        if self._prober.start(incarnation, attempt.pool, silent_since):
            self._health.record_unreachable(incarnation, now)
        detail = f"silent for {silent_s:.1f} s"
        if self._prober.has_failed(incarnation, silent_since):
            raise StalledError(f"{detail}, accepts no connections")
        limit_s = balancing.MAX_SILENCE_S + attempt.target.prefill_finish_s
        if silent_s > limit_s:
            raise StalledError(detail)
