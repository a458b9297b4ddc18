"""Probes whether an endpoint whose connection was lost still accepts any.

See Also:
    ``crashes.CrashDetector``, which concludes from it that one has crashed.
"""

import asyncio

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import tasks
from sardinewharf.gateway import crashes
from sardinewharf.gateway import reachability

# Time until the probe, in which a process that crashed ends, in seconds.
_DELAY_S = 0.05
# Least time between two probes of an endpoint, in seconds.
_INTERVAL_S = 1.0
# Longest wait of a request for the result of a probe, in seconds.
_MAX_WAIT_S = 0.15


class CrashProber:
    """Opens one connection to an endpoint after it has lost some.

    Args:
        detector: Learns that an endpoint accepts none.
        health: Learns the same.
        failures: Counts probes that ended by an error.
    """

    def __init__(
        self,
        detector: crashes.CrashDetector,
        health: fleet.HealthTable,
        failures: tasks.FailureCounter,
    ):
        self._detector = detector
        self._health = health
        self._tasks = tasks.TaskGroup(failures)
        self._next_probe_at: dict[str, clocks.Deadline] = {}
        self._running: dict[str, asyncio.Task[None]] = {}

    def start(self, incarnation: str, pool: http1.Pool) -> None:
        """Starts a probe, unless there was one just before.

        Args:
            incarnation: The endpoint.
            pool: Pool of its connections.
        """
        now = clocks.read_monotonic()
        self._next_probe_at = {
            known: deadline
            for known, deadline in self._next_probe_at.items()
            if not deadline.is_past(now)
        }
        if incarnation in self._next_probe_at:
            return
        self._next_probe_at[incarnation] = clocks.Deadline.after(
            _INTERVAL_S, now
        )
        self._running[incarnation] = self._tasks.start(
            self._probe(incarnation, pool), "crash-probe"
        )

    async def wait(self, incarnation: str) -> bool:
        """Waits for the end of an endpoint's probe, for a limited time.

        Returns:
            Whether there was one.
        """
        task = self._running.get(incarnation)
        if task is None:
            return False
        await asyncio.wait([task], timeout=_MAX_WAIT_S)
        return True

    async def close(self) -> None:
        """Ends all probes."""
        await self._tasks.close()

    async def _probe(self, incarnation: str, pool: http1.Pool) -> None:
        try:
            await asyncio.sleep(_DELAY_S)
            if await reachability.accepts_connections(pool):
                return
        finally:
            self._running.pop(incarnation, None)
        now = clocks.read_monotonic()
        self._health.record_unreachable(incarnation, now)
        self._detector.record_unreachable(incarnation, now)
