"""Speaks to model engines over HTTP with server-sent events."""

from collections.abc import Mapping
import contextlib

import aiohttp
import msgspec

from sardinewharf import clients
from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf.endpoints import engines
from sardinewharf.endpoints import failures
from sardinewharf.endpoints import frames
from sardinewharf.endpoints import openings
from sardinewharf.endpoints import reports

_READ_LIMIT_BYTES = 1 << 17
_CANCEL_S = 1.0
_CONNECT_S = 1.0


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
        response = await _ask_again(
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


class _HttpOpening(openings.Opening):
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
        try:
            response = await self._session.post(
                f"http://{self._address}{request.path}",
                data=request.encode(),
                headers=headers,
                timeout=_make_timeout(self._deadline, self._deadline),
            )
        except failures.CLIENT_ERRORS as error:
            raise failures.convert_client_error(error) from error
        _check_answer(response, request.attempt)
        return response

    async def ask(self) -> aiohttp.ClientResponse:
        attempt = self._request.attempt
        return await _ask_again(
            self._session,
            f"http://{self._address}/v1/streams/{attempt}?after=0",
            attempt,
            _make_timeout(self._deadline, self._deadline),
        )


class HttpModelEngine(engines.ModelEngine):
    """Model engines that speak HTTP, as in docs/PROTOCOLS.md.

    Args:
        source_address: Local IP of its connections; empty for any.
    """

    def __init__(self, source_address: str = "") -> None:
        self._source = source_address
        # Streams, and short calls.
        self._session: aiohttp.ClientSession | None = None
        self._calls: aiohttp.ClientSession | None = None
        self._reports = msgspec.json.Decoder(reports.LoadReport)
        self._events = msgspec.json.Decoder(reports.CacheEvents)

    async def open(
        self,
        address: str,
        request: engines.EngineRequest,
        deadline: clocks.Deadline,
    ) -> engines.EngineStream:
        """Sends a request and returns its stream once it has begun."""
        session = self._get_session()
        opening = _HttpOpening(session, address, request, deadline)
        response = await opening.run()
        return _HttpEngineStream(
            session, address, request.attempt, response, deadline
        )

    async def cancel(self, address: str, attempt: ids.AttemptId) -> None:
        """Tells an engine to stop an attempt, if it can be reached."""
        await _cancel(self._get_session(), address, attempt)

    async def report(
        self, address: str, deadline: clocks.Deadline
    ) -> reports.LoadReport:
        """Returns an endpoint's load."""
        body = await self._get(f"http://{address}/v1/load", deadline)
        return await self._decode(self._reports, body)

    async def list_events(
        self, address: str, after: int, deadline: clocks.Deadline
    ) -> reports.CacheEvents:
        """Returns the cache events after a sequence number."""
        url = f"http://{address}/v1/events?after={after}"
        return await self._decode(self._events, await self._get(url, deadline))

    async def order(
        self, address: str, order: reports.Order, deadline: clocks.Deadline
    ) -> reports.LoadReport:
        """Sends an order and returns the engine's state after it."""
        timeout = _make_timeout(deadline, deadline)
        url = f"http://{address}/v1/orders"
        body = msgspec.json.encode(order)
        try:
            async with self._get_calls().post(
                url, data=body, timeout=timeout
            ) as response:
                if response.status == 409:
                    raise failures.EndpointError(
                        failures.FailureKind.NOT_RUN, "fence is old"
                    )
                response.raise_for_status()
                answer = await response.read()
        except failures.CLIENT_ERRORS as error:
            raise failures.convert_client_error(error) from error
        return await self._decode(self._reports, answer)

    async def close(self) -> None:
        """Closes all connections."""
        for session in (self._session, self._calls):
            if session is not None:
                await session.close()

    async def _get(self, url: str, deadline: clocks.Deadline) -> bytes:
        timeout = _make_timeout(deadline, deadline)
        try:
            async with self._get_calls().get(url, timeout=timeout) as response:
                response.raise_for_status()
                return await response.read()
        except failures.CLIENT_ERRORS as error:
            raise failures.convert_client_error(error) from error

    async def _decode(self, decoder: msgspec.json.Decoder, body: bytes):
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as error:
            # The answer belongs to another call. Its connection would go on
            # giving each call the answer to the one before.
            stale, self._calls = self._calls, None
            if stale is not None:
                await stale.close()
            raise failures.EndpointError(
                failures.FailureKind.MISMATCH, str(error)
            ) from error

    def _get_calls(self) -> aiohttp.ClientSession:
        if self._calls is None:
            self._calls = clients.make_session(self._source)
        return self._calls

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = clients.make_session(
                self._source, read_bufsize=_READ_LIMIT_BYTES
            )
        return self._session


def _make_timeout(
    deadline: clocks.Deadline, whole: clocks.Deadline
) -> aiohttp.ClientTimeout:
    connect = max(0.001, min(_CONNECT_S, deadline.remaining()))
    total = max(0.001, whole.remaining())
    return aiohttp.ClientTimeout(total=total, sock_connect=connect)


async def _ask_again(
    session: aiohttp.ClientSession,
    url: str,
    attempt: ids.AttemptId,
    timeout: aiohttp.ClientTimeout,
) -> aiohttp.ClientResponse:
    """Asks for a stream that was begun, over another connection."""
    try:
        response = await session.get(url, timeout=timeout)
    except failures.CLIENT_ERRORS as error:
        raise failures.convert_client_error(error) from error
    answered = response.headers.get("X-Attempt-Id")
    if response.status != 200 or answered != attempt:
        response.close()
        raise failures.EndpointError(
            failures.FailureKind.NOT_RUN, f"status {response.status}"
        )
    return response


async def _cancel(
    session: aiohttp.ClientSession, address: str, attempt: ids.AttemptId
) -> None:
    timeout = aiohttp.ClientTimeout(total=_CANCEL_S)
    url = f"http://{address}/v1/streams/{attempt}"
    with contextlib.suppress(*failures.CLIENT_ERRORS):
        async with session.delete(url, timeout=timeout):
            pass


def _check_answer(
    response: aiohttp.ClientResponse, attempt: ids.AttemptId
) -> None:
    if response.status == 503 and response.headers.get("Not-Run") == "1":
        response.release()
        raise failures.EndpointError(
            failures.FailureKind.NOT_RUN, "refused by the engine"
        )
    if response.status != 200:
        response.close()
        raise failures.EndpointError(
            failures.FailureKind.LOST, f"status {response.status}"
        )
    if response.headers.get("X-Attempt-Id") != attempt:
        response.close()
        raise failures.EndpointError(
            failures.FailureKind.MISMATCH, "answer to another attempt"
        )


def _read_head(headers: Mapping[str, str]) -> engines.StreamHead:
    running, _, queued = headers.get("X-Load", "0 0").partition(" ")
    return engines.StreamHead(
        incarnation=ids.Incarnation(headers.get("X-Incarnation", "")),
        weights=ids.WeightsVersion(headers.get("X-Weights-Version", "")),
        cached_tokens=int(headers.get("X-Cached-Tokens", 0)),
        computed_tokens=int(headers.get("X-Computed-Tokens", 0)),
        running=int(running),
        queued_tokens=int(queued),
    )
