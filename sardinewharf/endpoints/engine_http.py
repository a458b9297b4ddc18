"""Sends requests to model engines over HTTP with server-sent events."""

from collections.abc import Mapping
import contextlib
from typing import TypeVar

import aiohttp
import msgspec

from sardinewharf import clients
from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import ids
from sardinewharf.endpoints import engines
from sardinewharf.endpoints import failures
from sardinewharf.endpoints import frames
from sardinewharf.endpoints import pending_responses
from sardinewharf.endpoints import reports

_Message = TypeVar("_Message")
_READ_BUFFER_BYTES = 1 << 17
_CANCEL_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0


class _HttpEngineStream(engines.EngineStream):
    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        attempt: ids.AttemptId,
        response: aiohttp.ClientResponse,
        deadline: clocks.Deadline,
    ):
        self._session = session
        self._address = address
        self._url = f"http://{address}/v1/streams/{attempt}"
        self._attempt = attempt
        self._response = response
        self._content = response.content
        self._checker = frames.FrameChecker(attempt)
        self._deadline = deadline
        self.head = _read_head(response.headers)

    @property
    def chunks(self) -> int:
        return self._checker.sequence

    async def read(self) -> bytes:
        checker = self._checker
        try:
            while not checker.is_done:
                data = await self._content.readany()
                if not data:
                    raise failures.EndpointError(
                        failures.FailureKind.LOST, "stream ended early"
                    )
                events = checker.feed(data)
                if events:
                    return events
        except frames.SequenceError as error:
            self._response.close()
            raise failures.EndpointError(
                failures.FailureKind.MISMATCH, str(error)
            ) from error
        except failures.CLIENT_ERRORS as error:
            raise failures.EndpointError(
                failures.FailureKind.LOST, type(error).__name__
            ) from error
        self._response.release()
        return b""

    async def resume(self, deadline: clocks.Deadline) -> None:
        self._response.close()
        response = await _fetch_stream(
            self._session,
            f"{self._url}?after={self._checker.sequence}",
            self._attempt,
            _make_timeout(deadline, self._deadline),
        )
        incarnation = response.headers.get("X-Incarnation", "")
        if incarnation != self.head.incarnation:
            response.close()
            raise failures.EndpointError(
                failures.FailureKind.MISMATCH, "another incarnation"
            )
        self._response = response
        self._content = response.content
        self._checker = frames.FrameChecker(
            self._attempt, self._checker.sequence
        )

    async def cancel(self) -> None:
        self._response.close()
        await _cancel(self._session, self._address, self._attempt)

    def close(self) -> None:
        self._response.close()


class _HttpPendingResponse(pending_responses.PendingResponse):
    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        request: engines.EngineRequest,
        deadline: clocks.Deadline,
    ):
        super().__init__()
        self._session = session
        self._address = address
        self._request = request
        self._deadline = deadline

    async def send(self) -> aiohttp.ClientResponse:
        request = self._request
        headers = {
            "X-Request-Id": request.request,
            "X-Attempt-Id": request.attempt,
            "Content-Type": "application/json",
        }
        trace = clients.SendTrace()
        try:
            response = await self._session.post(
                f"http://{self._address}{request.path}",
                data=request.encode(),
                headers=headers,
                timeout=_make_timeout(self._deadline, self._deadline),
                allow_redirects=False,
                trace_request_ctx=trace,
            )
        except failures.CLIENT_ERRORS as error:
            raise failures.convert_client_error(error, trace) from error
        _check_response(response, request.attempt, trace)
        return response

    async def fetch_again(self) -> aiohttp.ClientResponse:
        attempt = self._request.attempt
        return await _fetch_stream(
            self._session,
            f"http://{self._address}/v1/streams/{attempt}?after=0",
            attempt,
            _make_timeout(self._deadline, self._deadline),
        )


class HttpModelEngine(engines.ModelEngine):
    """A client of model engines over HTTP, as in docs/PROTOCOLS.md.

    Args:
        source_address: Local IP address of its connections; empty for any.
    """

    def __init__(self, source_address: str = "") -> None:
        self._source_address = source_address
        # Streams and short calls use separate sessions. Only the session of the
        # calls is closed when a connection returns wrong responses.
        self._stream_session: aiohttp.ClientSession | None = None
        self._call_session: aiohttp.ClientSession | None = None

    async def open(
        self,
        address: str,
        request: engines.EngineRequest,
        deadline: clocks.Deadline,
    ) -> engines.EngineStream:
        """Sends a request and returns its stream once it has begun."""
        session = self._get_stream_session()
        pending = _HttpPendingResponse(session, address, request, deadline)
        response = await pending.run()
        try:
            return _HttpEngineStream(
                session, address, request.attempt, response, deadline
            )
        except decoding.DecodeError as error:
            response.close()
            raise failures.EndpointError(
                failures.FailureKind.LOST, f"unreadable headers: {error}"
            ) from error

    async def cancel(self, address: str, attempt: ids.AttemptId) -> None:
        """Cancels an attempt at an engine; ignores connection errors."""
        await _cancel(self._get_stream_session(), address, attempt)

    async def report(
        self, address: str, deadline: clocks.Deadline
    ) -> reports.LoadReport:
        """Returns the load report of an endpoint."""
        body = await self._get(f"http://{address}/v1/load", deadline)
        return await self._decode(reports.LoadReport, body)

    async def list_events(
        self, address: str, after: int, deadline: clocks.Deadline
    ) -> reports.CacheEvents:
        """Returns the cache events after a sequence number."""
        url = f"http://{address}/v1/events?after={after}"
        return await self._decode(
            reports.CacheEvents, await self._get(url, deadline)
        )

    async def order(
        self, address: str, order: reports.Order, deadline: clocks.Deadline
    ) -> reports.LoadReport:
        """Sends an order and returns the engine's state after it."""
        timeout = _make_timeout(deadline, deadline)
        url = f"http://{address}/v1/orders"
        body = msgspec.json.encode(order)
        trace = clients.SendTrace()
        try:
            async with self._get_call_session().post(
                url,
                data=body,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                if response.status == 409:
                    raise failures.EndpointError(
                        failures.FailureKind.NOT_RUN, "outdated fencing token"
                    )
                response.raise_for_status()
                response_body = await clients.read_body(response)
        except failures.CLIENT_ERRORS as error:
            raise failures.convert_client_error(error, trace) from error
        return await self._decode(reports.LoadReport, response_body)

    async def close(self) -> None:
        """Closes all connections."""
        for session in (self._stream_session, self._call_session):
            if session is not None:
                await session.close()

    async def _get(self, url: str, deadline: clocks.Deadline) -> bytes:
        timeout = _make_timeout(deadline, deadline)
        trace = clients.SendTrace()
        try:
            async with self._get_call_session().get(
                url, timeout=timeout, trace_request_ctx=trace
            ) as response:
                response.raise_for_status()
                return await clients.read_body(response)
        except failures.CLIENT_ERRORS as error:
            raise failures.convert_client_error(error, trace) from error

    async def _decode(self, kind: type[_Message], body: bytes) -> _Message:
        """Returns the message that a response holds.

        Raises:
            EndpointError: If it holds no such message.
        """
        try:
            return decoding.decode_json(body, kind)
        except decoding.DecodeError as error:
            # The response belongs to another call. The connection would
            # continue to return the response to the preceding call, so that
            # the session is closed with all its connections.
            stale, self._call_session = self._call_session, None
            if stale is not None:
                await stale.close()
            raise failures.EndpointError(
                failures.FailureKind.MISMATCH, str(error)
            ) from error

    def _get_call_session(self) -> aiohttp.ClientSession:
        if self._call_session is None:
            self._call_session = clients.make_session(self._source_address)
        return self._call_session

    def _get_stream_session(self) -> aiohttp.ClientSession:
        if self._stream_session is None:
            self._stream_session = clients.make_session(
                self._source_address, read_bufsize=_READ_BUFFER_BYTES
            )
        return self._stream_session


def _make_timeout(
    connect_deadline: clocks.Deadline, total_deadline: clocks.Deadline
) -> aiohttp.ClientTimeout:
    connect = max(0.001, min(_CONNECT_TIMEOUT_S, connect_deadline.remaining()))
    total = max(0.001, total_deadline.remaining())
    return aiohttp.ClientTimeout(total=total, sock_connect=connect)


async def _fetch_stream(
    session: aiohttp.ClientSession,
    url: str,
    attempt: ids.AttemptId,
    timeout: aiohttp.ClientTimeout,
) -> aiohttp.ClientResponse:
    """Fetches a stream that has begun, over another connection."""
    trace = clients.SendTrace()
    try:
        response = await session.get(
            url, timeout=timeout, trace_request_ctx=trace
        )
    except failures.CLIENT_ERRORS as error:
        raise failures.convert_client_error(error, trace) from error
    response_attempt = response.headers.get("X-Attempt-Id")
    if response.status != 200 or response_attempt != attempt:
        response.close()
        raise failures.EndpointError(
            failures.FailureKind.NOT_RUN, f"status {response.status}"
        )
    return response


async def _cancel(
    session: aiohttp.ClientSession, address: str, attempt: ids.AttemptId
) -> None:
    timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S)
    url = f"http://{address}/v1/streams/{attempt}"
    with contextlib.suppress(*failures.CLIENT_ERRORS):
        async with session.delete(url, timeout=timeout):
            pass


def _check_response(
    response: aiohttp.ClientResponse,
    attempt: ids.AttemptId,
    trace: clients.SendTrace,
) -> None:
    """Raises an error unless the response begins the stream of an attempt.

    A response that names another attempt is an earlier one's, and a refusal
    that names none may be if its connection had carried another attempt.
    """
    answered = response.headers.get("X-Attempt-Id")
    is_refusal = response.status == 503 and (
        response.headers.get("Not-Run") == "1"
    )
    is_doubtful = is_refusal and answered is None and trace.is_reused
    if answered not in (None, attempt) or is_doubtful:
        response.close()
        raise failures.EndpointError(
            failures.FailureKind.MISMATCH, "answer to another attempt"
        )
    if is_refusal:
        response.release()
        raise failures.EndpointError(
            failures.FailureKind.NOT_RUN, "refused by the engine"
        )
    if response.status != 200:
        response.close()
        raise failures.EndpointError(
            failures.FailureKind.LOST, f"status {response.status}"
        )
    if answered is None:
        response.close()
        raise failures.EndpointError(
            failures.FailureKind.MISMATCH, "answer without an attempt"
        )


def _read_head(headers: Mapping[str, str]) -> engines.StreamHead:
    """Returns what the headers of a stream state.

    Raises:
        DecodeError: If a number in them cannot be read.
    """
    running, _, queued = headers.get("X-Load", "0 0").partition(" ")
    with decoding.convert_errors():
        return engines.StreamHead(
            incarnation=ids.Incarnation(headers.get("X-Incarnation", "")),
            weights=ids.WeightsVersion(headers.get("X-Weights-Version", "")),
            cached_tokens=int(headers.get("X-Cached-Tokens", 0)),
            computed_tokens=int(headers.get("X-Computed-Tokens", 0)),
            running=int(running),
            queued_tokens=int(queued),
        )
