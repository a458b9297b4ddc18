"""Sends requests as callers do, and records the outcome of each."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

import aiohttp

from sardinewharf import clocks
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import operators
from sardinewharf.testbed import gateway_harness

DEADLINE_MS = 3_000
_CALLERS_PER_GATEWAY = 3
_PAUSE_RANGE_S = (0.02, 0.12)
_PATHS = ("/book/", "/look/", "/chat/", "/ask/")
_WORK_MS = (0, 0, 0, 20, 20, 900)
# Callers that disconnect do so while the request is still running.
_DISCONNECT_SHARE = 0.03
_DISCONNECT_AFTER_S = 0.15
_NEW_ROUTE_SHARE = 0.05
_REVOKED_SHARE = 0.25
# A caller waits this long beyond its deadline before it gives up.
_DEADLINE_MARGIN_S = 1.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request and its outcome.

    Attributes:
        request: Id of the request.
        gateway: Name of the gateway that it was sent to.
        path: Path prefix of the route.
        key: API key.
        sent_at: Monotonic time of the start, in seconds.
        ended_at: Monotonic time at which the response or the connection ended;
            0 until then.
        disconnected_at: Monotonic time at which the caller gave up and closed
            the connection; 0 if it did not.
        status: HTTP status; 0 if the connection ended before a response.
        stamp: Value of the header that identifies the server.
        body: Received part of the response body.
        is_complete: Whether the body was received to its end.
    """

    request: str
    gateway: str
    path: str
    key: str
    sent_at: float
    ended_at: float = 0.0
    disconnected_at: float = 0.0
    status: int = 0
    stamp: str = ""
    body: bytes = b""
    is_complete: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once, on a retry."""
        return self.path not in ("/book/", "/chat/")

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.path in ("/chat/", "/ask/")


class CallerPool:
    """Callers that send requests one after the other on kept connections.

    Args:
        deployment: Deployment with the gateways.
        operator: Knows the added routes and the valid and revoked keys.
        seed: Seed of the random choice of requests.

    Attributes:
        attempts: All requests that were sent, oldest first.
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
            for gateway in self._deployment.gateways * _CALLERS_PER_GATEWAY:
                group.create_task(self._run_caller(gateway))

    async def _run_caller(self, gateway: str) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                await self._send(session, self._make_attempt(gateway))
                await asyncio.sleep(self._rng.uniform(*_PAUSE_RANGE_S))

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
        """Returns a random key, with a higher share of revoked ones."""
        revoked = list(self._operator.revoked)
        if revoked and self._rng.random() < _REVOKED_SHARE:
            return self._rng.choice(revoked)
        return self._rng.choice(self._operator.keys)

    async def _send(
        self, session: aiohttp.ClientSession, attempt: Attempt
    ) -> None:
        disconnects = self._rng.random() < _DISCONNECT_SHARE
        limit_s = (
            _DISCONNECT_AFTER_S
            if disconnects
            else DEADLINE_MS / 1000 + _DEADLINE_MARGIN_S
        )
        work_ms = 900 if disconnects else self._rng.choice(_WORK_MS)
        try:
            async with asyncio.timeout(limit_s):
                await self._read_response(session, attempt, work_ms)
        except TimeoutError:
            attempt.disconnected_at = clocks.read_monotonic()
        attempt.ended_at = clocks.read_monotonic()

    async def _read_response(
        self, session: aiohttp.ClientSession, attempt: Attempt, work_ms: int
    ) -> None:
        method = "POST" if attempt.path != "/look/" else "GET"
        front = self._deployment.find_front_address(attempt.gateway)
        url = f"http://{front}{attempt.path}1?ms={work_ms}"
        headers = gateway_harness.make_headers(
            attempt.request, attempt.path, attempt.key, DEADLINE_MS
        )
        body = b"a body" if method == "POST" else b""
        with contextlib.suppress(OSError, aiohttp.ClientError):
            async with session.request(
                method, url, data=body, headers=headers
            ) as response:
                attempt.status = response.status
                attempt.stamp = response.headers.get(
                    "x-sardinewharf-server-stamp", ""
                )
                async for chunk in response.content.iter_any():
                    attempt.body += chunk
                attempt.is_complete = True
