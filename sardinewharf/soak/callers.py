"""Sends requests as callers do, and records the outcome of each."""

import asyncio
import dataclasses
import itertools
import pathlib
import random

import msgspec

from sardinewharf import clocks
from sardinewharf.soak import connections
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import operators
from sardinewharf.testbed import gateway_harness

DEADLINE_MS = 3_000
LONG_DEADLINE_MS = 30_000
CALLERS_PER_GATEWAY = 5
_PAUSE_RANGE_S = (0.02, 0.12)
# One caller of each gateway connects without the proxy, which ends connections
# that are closed in one direction, and closes its own direction at times.
_DIRECT_CALLER = 0
_HALF_CLOSE_SHARE = 0.3
_PATHS = ("/book/", "/look/", "/chat/", "/ask/")
# Routes like the others, with a longer timeout.
LONG_PATHS = ("/book-long/", "/look-long/", "/chat-long/", "/ask-long/")
_LONG_SUFFIX = "-long"
_WORK_MS = (0, 0, 0, 20, 20, 900)
# Callers that disconnect do so while the request is still running.
_DISCONNECT_SHARE = 0.03
_DISCONNECT_AFTER_S = 0.15
# Parts of prompts that many requests share, beside the first.
_DOCUMENTS = 7
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
        answered_request: Id of the request that the response names, if any.
        was_sent: Whether there was a connection to send it on.
        is_reused: Whether the connection had carried another request.
        is_direct: Whether it was sent without the proxy.
        is_half_closed: Whether the caller closed its sending direction.
        body: Received part of the response body.
        is_complete: Whether the body was received to its end.
        work_ms: Time that a server works on it.
        sent_body: Body of the request; empty for that of others.
        prompt: Description of the prompt's parts; empty for that of others.
        crash_order: What the request, or a part of its prompt, orders if it
            crashes servers; see ``crashes.CrashOrder``.
        connecting_s: Time from the start of a new connection until the request
            was written, in seconds; 0 on one in use.
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
    answered_request: str = ""
    was_sent: bool = False
    is_reused: bool = False
    is_direct: bool = False
    is_half_closed: bool = False
    body: bytes = b""
    is_complete: bool = False
    work_ms: int = 0
    sent_body: bytes = b""
    prompt: str = ""
    crash_order: bytes = b""
    connecting_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once, on a retry."""
        return self._kind not in ("book", "chat")

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self._kind in ("chat", "ask")

    @property
    def is_long(self) -> bool:
        """Whether the route has a longer timeout than others."""
        return self.path in LONG_PATHS

    @property
    def deadline_ms(self) -> int:
        """Time within which the caller wants the response."""
        return LONG_DEADLINE_MS if self.is_long else DEADLINE_MS

    @property
    def method(self) -> str:
        """HTTP method."""
        is_look = self._kind == "look" and not self.sent_body
        return "GET" if is_look else "POST"

    @property
    def _kind(self) -> str:
        return self.path.strip("/").removesuffix(_LONG_SUFFIX)

    def record_response(self, connection: connections.CallerConnection) -> None:
        """Records what a connection received since the request was sent."""
        headers = connection.headers
        self.status = connection.status
        self.stamp = headers.get("x-sardinewharf-server-stamp", "")
        self.answered_request = headers.get("x-sardinewharf-request-id", "")
        self.body = connection.body
        self.is_complete = connection.is_complete


class CallerPool:
    """Callers that send requests one after the other on kept connections.

    Args:
        deployment: Deployment with the gateways.
        operator: Knows the added routes and the valid and revoked keys.
        seed: Seed of the random choice of requests.

    Attributes:
        seed: The same seed.
        attempts: All requests that were sent, oldest first.
        strays: Bytes that gateways sent while no request was waiting.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        operator: operators.Operator,
        seed: int,
    ):
        self._deployment = deployment
        self._operator = operator
        self.seed = seed
        self._rng = random.Random(seed)
        self._ids = itertools.count(1)
        self.attempts: list[Attempt] = []
        self.strays: list[str] = []

    def write_attempts(self, path: pathlib.Path) -> None:
        """Writes all attempts to a file, one a line."""
        path.write_bytes(msgspec.json.Encoder().encode_lines(self.attempts))

    async def run(self) -> None:
        """Sends requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for gateway in self._deployment.gateways:
                for number in range(CALLERS_PER_GATEWAY):
                    is_direct = number == _DIRECT_CALLER
                    group.create_task(self._run_caller(gateway, is_direct))

    async def _run_caller(self, gateway: str, is_direct: bool) -> None:
        connection = None
        try:
            while True:
                attempt = self.make_attempt(gateway)
                attempt.is_direct = is_direct
                connection = await self._send_random(connection, attempt)
                await asyncio.sleep(self._rng.uniform(*_PAUSE_RANGE_S))
                if connection is not None and not connection.is_open:
                    self._record_stray(attempt, connection)
                    connection = None
        finally:
            if connection is not None:
                connection.close()

    def _record_stray(
        self, attempt: Attempt, connection: connections.CallerConnection
    ) -> None:
        """Records what came on a connection that ended after a response."""
        if connection.stray:
            self.strays.append(
                f"{attempt.gateway} sent {connection.stray!r} after"
                f" {attempt.request}"
            )

    def make_attempt(self, gateway: str, path: str = "") -> Attempt:
        """Returns a new attempt, which is recorded.

        Args:
            gateway: Name of the gateway.
            path: Path prefix of the route; empty for a random one.
        """
        attempt = Attempt(
            request=f"r{next(self._ids)}",
            gateway=gateway,
            path=path or self._choose_path(),
            key=self._choose_key(),
            sent_at=clocks.read_monotonic(),
        )
        if attempt.is_stream:
            attempt.prompt = (
                f"aa:1000,d{len(self.attempts) % _DOCUMENTS}:300,"
                f"{attempt.request}:200"
            )
        self.attempts.append(attempt)
        return attempt

    def _choose_path(self) -> str:
        """Returns the path of a random route, now and then a new one."""
        path = self._rng.choice(_PATHS)
        routes = self._operator.routes
        if routes and self._rng.random() < _NEW_ROUTE_SHARE:
            path = self._rng.choice(routes).name
        return path

    def _choose_key(self) -> str:
        """Returns a random key, with a higher share of revoked ones."""
        revoked = list(self._operator.revoked)
        if revoked and self._rng.random() < _REVOKED_SHARE:
            return self._rng.choice(revoked)
        return self._rng.choice(self._operator.keys)

    async def _send_random(
        self,
        connection: connections.CallerConnection | None,
        attempt: Attempt,
    ) -> connections.CallerConnection | None:
        """Sends a request as a random caller does; see ``send``."""
        disconnects = self._rng.random() < _DISCONNECT_SHARE
        attempt.is_half_closed = (
            attempt.is_direct and self._rng.random() < _HALF_CLOSE_SHARE
        )
        attempt.work_ms = 900 if disconnects else self._rng.choice(_WORK_MS)
        limit_s = _DISCONNECT_AFTER_S if disconnects else None
        return await self.send(connection, attempt, limit_s)

    async def send(
        self,
        connection: connections.CallerConnection | None,
        attempt: Attempt,
        limit_s: float | None = None,
    ) -> connections.CallerConnection | None:
        """Sends a request and records its outcome.

        Args:
            connection: Connection in use; None to open one.
            attempt: The request.
            limit_s: The caller gives up after this time; by default only when
                its deadline has passed.

        Returns:
            The connection if it can be used again.
        """
        if limit_s is None:
            limit_s = attempt.deadline_ms / 1000 + _DEADLINE_MARGIN_S
        attempt.is_reused = connection is not None
        began = clocks.read_monotonic()
        try:
            async with asyncio.timeout(limit_s):
                if connection is None:
                    connection = await connections.CallerConnection.open(
                        self._find_address(attempt)
                    )
                attempt.sent_at = clocks.read_monotonic()
                attempt.was_sent = True
                if not attempt.is_reused:
                    attempt.connecting_s = attempt.sent_at - began
                await connection.exchange(
                    _make_request(attempt),
                    closes_sending=attempt.is_half_closed,
                )
        except TimeoutError:
            attempt.disconnected_at = clocks.read_monotonic()
            if connection is not None:
                connection.close()
        except OSError:
            connection = None
        attempt.ended_at = clocks.read_monotonic()
        if connection is None:
            return None
        attempt.record_response(connection)
        can_reuse = connection.is_open and not attempt.disconnected_at
        if can_reuse and not attempt.is_half_closed:
            return connection
        connection.close()
        return None

    def _find_address(self, attempt: Attempt) -> str:
        if attempt.is_direct:
            return self._deployment.find_direct_address(attempt.gateway)
        return self._deployment.find_front_address(attempt.gateway)


def _make_request(attempt: Attempt) -> bytes:
    """Returns the bytes of a request."""
    body = b"a body" if attempt.method == "POST" else b""
    body = attempt.sent_body or body
    headers = gateway_harness.make_headers(
        attempt.request, attempt.path, attempt.key, attempt.deadline_ms
    )
    headers["content-length"] = str(len(body))
    if attempt.prompt:
        headers["x-sardinewharf-prompt-prefix"] = attempt.prompt
    lines = [f"{attempt.method} {attempt.path}1?ms={attempt.work_ms} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
