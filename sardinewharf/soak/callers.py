"""Sends requests as callers do, and notes what each got."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

import aiohttp

from sardinewharf import clocks
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import operators
from sardinewharf.testbed import platform_rig

BUDGET_MS = 3_000
_CALLERS = 3
_PAUSE_S = (0.02, 0.12)
_PATHS = ("/book/", "/look/", "/chat/", "/ask/")
_WORK_MS = (0, 0, 0, 20, 20, 900)
# Callers that give up do so early.
_LEAVE_SHARE = 0.03
_LEAVE_S = 0.15
_NEW_ROUTE_SHARE = 0.05
_REVOKED_SHARE = 0.25
# Beyond its time, a caller still listens this long.
_LISTEN_S = 1.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request and what became of it.

    Attributes:
        request: Its id.
        gateway: Where it was sent.
        path: Beginning of its path.
        key: API key.
        sent_at: Monotonic time in seconds.
        ended_at: When the answer or the connection ended; 0 before.
        left_at: When the caller gave up; 0 if it did not.
        status: HTTP status; 0 if the connection ended first.
        stamp: Signature of the server.
        body: The answer.
        is_whole: Whether the answer came to its end.
    """

    request: str
    gateway: str
    path: str
    key: str
    sent_at: float
    ended_at: float = 0.0
    left_at: float = 0.0
    status: int = 0
    stamp: str = ""
    body: bytes = b""
    is_whole: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.path not in ("/book/", "/chat/")

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.path in ("/chat/", "/ask/")


class CallerPool:
    """Callers on connections that they keep open.

    Args:
        deployment: Where the gateways are.
        operator: Says which routes and keys there are.
        seed: Decides what callers ask for.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        operator: operators.Operator,
        seed: int,
    ):
        self._deployment = deployment
        self._operator = operator
        self._rng = random.Random(seed)
        self._ids = itertools.count(1)
        self.attempts: list[Attempt] = []

    async def run(self) -> None:
        """Sends requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for gateway in self._deployment.gateways * _CALLERS:
                group.create_task(self._run_caller(gateway))

    async def _run_caller(self, gateway: str) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                await self._send(session, self._make_attempt(gateway))
                await asyncio.sleep(self._rng.uniform(*_PAUSE_S))

    def _make_attempt(self, gateway: str) -> Attempt:
        path = self._rng.choice(_PATHS)
        routes = self._operator.routes
        if routes and self._rng.random() < _NEW_ROUTE_SHARE:
            path = self._rng.choice(routes).name
        attempt = Attempt(
            request=f"r{next(self._ids)}",
            gateway=gateway,
            path=path,
            key=self._choose_key(),
            sent_at=clocks.read_monotonic(),
        )
        self.attempts.append(attempt)
        return attempt

    def _choose_key(self) -> str:
        """Returns a key; revoked ones are tried more often than others."""
        revoked = list(self._operator.revoked)
        if revoked and self._rng.random() < _REVOKED_SHARE:
            return self._rng.choice(revoked)
        return self._rng.choice(self._operator.keys)

    async def _send(
        self, session: aiohttp.ClientSession, attempt: Attempt
    ) -> None:
        leaves = self._rng.random() < _LEAVE_SHARE
        limit_s = _LEAVE_S if leaves else BUDGET_MS / 1000 + _LISTEN_S
        work_ms = 900 if leaves else self._rng.choice(_WORK_MS)
        try:
            async with asyncio.timeout(limit_s):
                await self._read_answer(session, attempt, work_ms)
        except TimeoutError:
            attempt.left_at = clocks.read_monotonic()
        attempt.ended_at = clocks.read_monotonic()

    async def _read_answer(
        self, session: aiohttp.ClientSession, attempt: Attempt, work_ms: int
    ) -> None:
        method = "POST" if attempt.path != "/look/" else "GET"
        front = self._deployment.find_front(attempt.gateway)
        url = f"http://{front}{attempt.path}1?ms={work_ms}"
        headers = platform_rig.make_headers(
            attempt.request, attempt.path, attempt.key, BUDGET_MS
        )
        body = b"a body" if method == "POST" else b""
        with contextlib.suppress(OSError, aiohttp.ClientError):
            async with session.request(
                method, url, data=body, headers=headers
            ) as answer:
                attempt.status = answer.status
                attempt.stamp = answer.headers.get(
                    "x-sardinewharf-server-stamp", ""
                )
                async for chunk in answer.content.iter_any():
                    attempt.body += chunk
                attempt.is_whole = True
