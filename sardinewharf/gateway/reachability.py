"""Tests whether silent endpoints still accept connections."""

import asyncio
import dataclasses

from sardinewharf import clocks
from sardinewharf import http1

_CONNECT_S = 0.3
# Probes are forgotten after this time, in seconds.
_PROBE_TTL_S = 10.0


@dataclasses.dataclass(slots=True)
class _Probe:
    """A test of one endpoint.

    Attributes:
        started_at: When it began, on the monotonic clock.
        has_failed: Whether the endpoint accepted no connection.
        task: The test, which ends by itself.
    """

    started_at: float
    has_failed: bool = False
    task: asyncio.Task[None] | None = None


class ReachabilityProber:
    """Opens a connection to an endpoint, once for each of its silences."""

    def __init__(self) -> None:
        self._probes: dict[str, _Probe] = {}

    def start(
        self, incarnation: str, pool: http1.Pool, silent_since: float
    ) -> bool:
        """Starts a test unless there is one; returns whether it did.

        Args:
            incarnation: The endpoint.
            pool: Pool of its connections.
            silent_since: When it sent data last, on the monotonic clock.
        """
        now = clocks.read_monotonic()
        found = self._probes.get(incarnation)
        if found is not None and found.started_at >= silent_since:
            return False
        self._forget_old(now)
        probe = _Probe(now)
        probe.task = asyncio.ensure_future(_test(probe, pool))
        self._probes[incarnation] = probe
        return True

    def has_failed(self, incarnation: str, silent_since: float) -> bool:
        """Returns whether an endpoint accepted no connection in a silence.

        Args:
            incarnation: The endpoint.
            silent_since: When it sent data last, on the monotonic clock.
        """
        probe = self._probes.get(incarnation)
        if probe is None or probe.started_at < silent_since:
            return False
        return probe.has_failed

    def _forget_old(self, now: float) -> None:
        self._probes = {
            incarnation: probe
            for incarnation, probe in self._probes.items()
            if now - probe.started_at < _PROBE_TTL_S
        }


async def _test(probe: _Probe, pool: http1.Pool) -> None:
    probe.has_failed = not await accepts_connections(pool)


async def accepts_connections(pool: http1.Pool) -> bool:
    """Returns whether an endpoint accepts a new connection.

    If its pool is full, it is not asked and is taken to accept them.
    """
    deadline = clocks.Deadline.after(_CONNECT_S)
    try:
        connection = await pool.acquire(deadline, must_be_new=True)
    except http1.PoolFullError:
        return True
    except http1.ConnectError:
        return False
    # Endpoints may count an idle connection as one that is in use.
    connection.close()
    pool.release(connection)
    return True
