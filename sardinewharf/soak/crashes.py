"""Requests and prompt parts that crash servers, and their callers."""

import asyncio
import itertools
import random

import msgspec

from sardinewharf import clocks
from sardinewharf.soak import callers

# Time between two repeats of a request, in seconds.
_REPEAT_RANGE_S = (0.2, 0.6)
# The same between requests of which no two are alike, but for one part.
_PART_RANGE_S = (0.05, 0.35)
_PREFIX_HEADER = "x-sardinewharf-prompt-prefix"


class CrashOrder(msgspec.Struct, tag="crash", frozen=True):
    """Body of a request that crashes servers, or a part of its prompt.

    Attributes:
        number: Tells such requests of a soak run apart.
        path: Path prefix of its route.
        down_s: Time until the server is back, in seconds.
        removes_entry: Whether its entry goes at once, and does not expire.
        keeps_id: Whether the server is back under the id that it had.
        is_part: Whether it is a part of the prompts of many requests.
        events: Events of the response that precede the crash.
    """

    number: int
    path: str
    down_s: float
    removes_entry: bool
    keeps_id: bool
    is_part: bool = False
    events: int = 0

    def encode_part(self) -> str:
        """Returns the id of the prompt part that crashes servers so."""
        return msgspec.json.encode(self).hex()


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


def find_order(headers: dict[str, str], body: bytes) -> CrashOrder | None:
    """Returns what a request's body or a part of its prompt orders.

    Examples:
        >>> order = CrashOrder(1, "/ask/", 0.5, False, False, is_part=True)
        >>> prefix = f"aa:1000,{order.encode_part()}:500,bb:100"
        >>> find_order({_PREFIX_HEADER: prefix}, b"a body") == order
        True
    """
    for entry in headers.get(_PREFIX_HEADER, "").split(","):
        part = entry.partition(":")[0]
        try:
            order = read_order(bytes.fromhex(part))
        except ValueError:
            continue
        if order is not None:
            return order
    return read_order(body)


class CrashingCaller:
    """A caller that sends requests which crash servers.

    It repeats one request, or sends many that have one part in common.

    Args:
        pool: Sends and records the requests.
        order: The body or the part.
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
        self._sending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends the requests, each to any gateway."""
        await asyncio.sleep(self._start.remaining())
        try:
            if self._order.is_part:
                await self._send_with_part()
            else:
                await self._repeat()
        finally:
            for task in self._sending:
                task.cancel()

    async def _repeat(self) -> None:
        key = ""
        while not self._end.is_past():
            attempt = self._make_attempt()
            # Its caller stays the same.
            key = attempt.key = key or attempt.key
            attempt.sent_body = attempt.crash_order
            await self._send(attempt)
            await asyncio.sleep(self._rng.uniform(*_REPEAT_RANGE_S))

    async def _send_with_part(self) -> None:
        """Sends requests of which no two are alike, some at once."""
        part = self._order.encode_part()
        for number in itertools.count():
            if self._end.is_past():
                return
            attempt = self._make_attempt()
            attempt.sent_body = b"request %d" % number
            attempt.prompt = (
                f"aa:1000,{part}:500,p{self._order.number}x{number}:200,"
                f"{attempt.request}:100"
            )
            task = asyncio.create_task(self._send(attempt))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)
            await asyncio.sleep(self._rng.uniform(*_PART_RANGE_S))

    def _make_attempt(self) -> callers.Attempt:
        gateway = self._rng.choice(self._gateways)
        attempt = self._pool.make_attempt(gateway, self._order.path)
        attempt.crash_order = msgspec.json.encode(self._order)
        return attempt

    async def _send(self, attempt: callers.Attempt) -> None:
        connection = await self._pool.send(None, attempt)
        if connection is not None:
            connection.close()
