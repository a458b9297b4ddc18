"""Requests that crash the servers that run them, and their callers."""

import asyncio
import random

import msgspec

from sardinewharf import clocks
from sardinewharf.soak import callers

# Time between two repeats of a request, in seconds.
_REPEAT_RANGE_S = (0.2, 0.6)


class CrashOrder(msgspec.Struct, tag="crash", frozen=True):
    """Body of a request that crashes servers.

    Attributes:
        number: Tells such requests of a soak run apart.
        path: Path prefix of its route.
        down_s: Time until the server is back, in seconds.
        removes_entry: Whether its entry goes at once, and does not expire.
        keeps_id: Whether the server is back under the id that it had.
    """

    number: int
    path: str
    down_s: float
    removes_entry: bool
    keeps_id: bool


def read_order(body: bytes) -> CrashOrder | None:
    """Returns what a request's body orders; None if it crashes nothing.

    Examples:
        >>> order = CrashOrder(1, "/look/", 0.5, False, False)
        >>> read_order(msgspec.json.encode(order)) == order
        True
        >>> read_order(b"a body")
    """
    try:
        return msgspec.json.decode(body, type=CrashOrder)
    except msgspec.DecodeError:
        return None


class CrashingCaller:
    """A caller that repeats a request which crashes servers.

    Args:
        pool: Sends and records the requests.
        order: The body of the request.
        gateways: Names of the gateways.
        start: When it is sent first.
        end: When its caller gives up.
    """

    def __init__(
        self,
        pool: callers.CallerPool,
        order: CrashOrder,
        gateways: list[str],
        start: clocks.Deadline,
        end: clocks.Deadline,
    ):
        self._pool = pool
        self._order = order
        self._gateways = gateways
        self._start = start
        self._end = end
        self._rng = random.Random(f"crash {order.number} {order.path}")

    async def run(self) -> None:
        """Sends the request again and again, to any gateway."""
        await asyncio.sleep(self._start.remaining())
        body = msgspec.json.encode(self._order)
        key = ""
        while not self._end.is_past():
            gateway = self._rng.choice(self._gateways)
            attempt = self._pool.make_attempt(gateway, self._order.path)
            # Its caller stays the same.
            key = attempt.key = key or attempt.key
            attempt.sent_body = body
            connection = await self._pool.send(None, attempt)
            if connection is not None:
                connection.close()
            await asyncio.sleep(self._rng.uniform(*_REPEAT_RANGE_S))
