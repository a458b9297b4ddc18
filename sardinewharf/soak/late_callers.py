"""Callers that send long requests to a gateway while it shuts down."""

import asyncio
import random

from sardinewharf import clocks
from sardinewharf.soak import callers
from sardinewharf.soak import connections
from sardinewharf.soak import deployment as deployment_lib

_GRACE_S = deployment_lib.GUARANTEES.grace_ms / 1000
CALLERS = 14
# One caller in so many connects without the proxy.
_CALLERS_PER_DIRECT = 2
# Connections are in use for this long before the first long request.
_WARM_UP_S = 2.0
# Long requests are sent from this long before the stop signal until the end of
# the grace period.
_LEAD_S = 1.0
_PAUSE_S = 0.05
# Longer than a request may take that is sent before the grace period.
_WORK_MS = 12_000


class LateCallers:
    """Callers of a gateway that is about to get a stop signal.

    Each uses a connection until the time of its long request.

    Args:
        pool: Sends and records the requests.
        gateway: Name of the gateway.
        stop_at: Monotonic time of the stop signal, in seconds.
    """

    def __init__(self, pool: callers.CallerPool, gateway: str, stop_at: float):
        self._pool = pool
        self._gateway = gateway
        self._stop_at = stop_at
        self._rng = random.Random(f"late {gateway} {stop_at}")

    async def run(self) -> None:
        """Sends requests until the gateway has stopped."""
        start = clocks.Deadline(self._stop_at - _LEAD_S - _WARM_UP_S)
        await asyncio.sleep(start.remaining())
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS):
                delay_s = (_LEAD_S + _GRACE_S) * number / CALLERS - _LEAD_S
                group.create_task(
                    self._run_caller(
                        clocks.Deadline(self._stop_at + delay_s),
                        is_direct=number % _CALLERS_PER_DIRECT == 0,
                    )
                )

    async def _run_caller(
        self, send_at: clocks.Deadline, *, is_direct: bool
    ) -> None:
        connection = await self._keep_busy(send_at, is_direct=is_direct)
        attempt = self._make_long_attempt(_WORK_MS, is_direct=is_direct)
        connection = await self._pool.send(connection, attempt)
        if connection is not None:
            connection.close()

    async def _keep_busy(
        self, send_at: clocks.Deadline, *, is_direct: bool
    ) -> connections.CallerConnection | None:
        """Uses a connection until a point in time.

        The last request before it takes all the time that is left, since a
        gateway closes idle connections while it shuts down.

        Returns:
            The connection; None if it has ended.
        """
        last_at = clocks.Deadline(min(self._stop_at, send_at.at) - _LEAD_S)
        connection = None
        while not send_at.is_past():
            if last_at.is_past():
                remaining_ms = int(send_at.remaining() * 1000)
                attempt = self._make_long_attempt(
                    remaining_ms, is_direct=is_direct
                )
            else:
                attempt = self._pool.make_attempt(self._gateway)
                attempt.is_direct = is_direct
            connection = await self._pool.send(connection, attempt)
            await asyncio.sleep(min(_PAUSE_S, send_at.remaining()))
            if connection is not None and not connection.is_open:
                connection = None
        return connection

    def _make_long_attempt(
        self, work_ms: int, *, is_direct: bool
    ) -> callers.Attempt:
        path = self._rng.choice(callers.LONG_PATHS)
        attempt = self._pool.make_attempt(self._gateway, path)
        attempt.is_direct = is_direct
        attempt.work_ms = work_ms
        return attempt
