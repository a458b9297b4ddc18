"""Serves callers as an ASGI application."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib

from sardinewharf import clocks
from sardinewharf import logs
from sardinewharf.gateway import admission
from sardinewharf.gateway import messages
from sardinewharf.gateway import refusals
from sardinewharf.gateway import relay as relay_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import responder as responder_lib
from sardinewharf.gateway import selection

_log = logs.get_logger("callers")

Receive = Callable[[], Awaitable[Mapping[str, object]]]


class _CallerLeftError(Exception):
    """The caller closed its connection before its request was whole."""


class GatewayApp:
    """The ASGI application for callers.

    Args:
        dialect: Translates headers.
        replica: What the gateway believes.
        gatekeeper: Admits requests.
        selector: Chooses services.
        relay: Answers requests.

    Attributes:
        is_leaving: Whether the process is shutting down.
        running: Number of requests being handled.
    """

    def __init__(
        self,
        dialect: messages.Dialect,
        replica: replica_lib.Replica,
        gatekeeper: admission.Gatekeeper,
        selector: selection.Selector,
        relay: relay_lib.Relay,
    ):
        self._dialect = dialect
        self._replica = replica
        self._gatekeeper = gatekeeper
        self._selector = selector
        self._relay = relay
        self.is_leaving = False
        self.running = 0
        self._is_idle = asyncio.Event()

    async def __call__(
        self,
        scope: Mapping[str, object],
        receive: Receive,
        send: responder_lib.Send,
    ) -> None:
        """Handles one request."""
        self.running += 1
        responder = responder_lib.Responder(send, lambda: self.is_leaving)
        try:
            await self._handle(scope, receive, responder)
        finally:
            self.running -= 1
            if not self.running:
                self._is_idle.set()

    async def wait_until_idle(self, deadline: clocks.Deadline) -> None:
        """Returns once no request runs, or at the deadline."""
        while self.running and not deadline.is_past():
            self._is_idle.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline.at):
                    await self._is_idle.wait()

    async def _handle(
        self,
        scope: Mapping[str, object],
        receive: Receive,
        responder: responder_lib.Responder,
    ) -> None:
        request_id = ""
        try:
            arrived = scope["state"]["arrived"]
            headers = self._read_headers(scope, arrived)
            request_id = headers.request_id
            body = await self._read_body(receive)
            request = _make_request(scope, headers, body, arrived)
            await self._answer(request, receive, responder)
        except refusals.RefusedError as error:
            if not responder.has_started:
                await responder.refuse(
                    error.refusal,
                    self._dialect.write_refusal(
                        request_id, error.refusal.retry_after_s
                    ),
                )
        except _CallerLeftError:
            _log.debug("A caller left before its request was whole.")
        except Exception:
            _log.exception("Request {} met a fault of the gateway.", request_id)
            raise

    def _read_headers(
        self, scope: Mapping[str, object], arrived: float
    ) -> messages.CallerHeaders:
        limit = self._replica.configuration.limits.header_bytes
        headers = scope["headers"]
        if sum(len(n) + len(v) + 4 for n, v in headers) > limit:
            raise _refuse(
                refusals.Reason.HEADERS_TOO_LARGE, f"send at most {limit} bytes"
            )
        try:
            return self._dialect.read_request(headers, arrived)
        except (messages.MalformedError, UnicodeDecodeError) as error:
            raise _refuse(refusals.Reason.MALFORMED, str(error)) from error

    async def _read_body(self, receive: Receive) -> bytes:
        limit = self._replica.configuration.limits.body_bytes
        chunks: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerLeftError
            chunks.append(message["body"])
            size += len(message["body"])
            if size > limit:
                raise _refuse(
                    refusals.Reason.TOO_LARGE, f"send at most {limit} bytes"
                )
            if not message["more_body"]:
                return b"".join(chunks)

    async def _answer(
        self,
        request: requests.Request,
        receive: Receive,
        responder: responder_lib.Responder,
    ) -> None:
        admitted = self._gatekeeper.admit(request.headers, request.path)
        route = admitted.route
        timeout = clocks.Deadline(request.arrived + route.timeout_ms / 1000)
        call = requests.Call(
            request,
            admitted,
            self._selector.choose_service(route),
            request.headers.deadline.earlier(timeout),
        )
        answering = asyncio.ensure_future(self._relay.answer(call, responder))
        leaving = asyncio.ensure_future(_wait_for_leaving(receive))
        try:
            await asyncio.wait(
                {answering, leaving}, return_when=asyncio.FIRST_COMPLETED
            )
            if answering.done():
                answering.result()
        finally:
            answering.cancel()
            leaving.cancel()


async def _wait_for_leaving(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _make_request(
    scope: Mapping[str, object],
    headers: messages.CallerHeaders,
    body: bytes,
    arrived: float,
) -> requests.Request:
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return requests.Request(
        method=scope["method"].encode(),
        target=target,
        path=scope["raw_path"].decode("latin-1"),
        headers=headers,
        body=body,
        arrived=arrived,
    )


def _refuse(reason: refusals.Reason, detail: str) -> refusals.RefusedError:
    return refusals.RefusedError(refusals.Refusal(reason, detail))
