"""Sends calls to application servers over HTTP."""

import abc
import dataclasses

import aiohttp

from sardinewharf import clients
from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf.endpoints import failures

_CONNECT_TIMEOUT_S = 1.0
_MAX_RESPONSE_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class ApplicationCall:
    """A call to an application.

    Attributes:
        request: Id of the caller's request.
        name: The URL path of the call.
        body: The caller's body.
        content_type: Media type of the body.
        idempotency_key: The caller's idempotency key, or empty.
        is_repeatable: Whether the call may run more than once.
    """

    request: ids.RequestId
    name: str
    body: bytes
    content_type: str
    idempotency_key: str
    is_repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ApplicationResponse:
    """A complete response of an application server.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: The body.
    """

    status: int
    content_type: str
    body: bytes


class ApplicationServer(abc.ABC):
    """The interface to application servers."""

    @abc.abstractmethod
    async def call(
        self, address: str, call: ApplicationCall, deadline: clocks.Deadline
    ) -> ApplicationResponse:
        """Sends a call and returns the complete response.

        Args:
            address: ``HOST:PORT`` of the server.
            call: The call.
            deadline: When to give up.

        Raises:
            EndpointError: If there was no complete response.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


class HttpApplicationServer(ApplicationServer):
    """A client of application servers over HTTP, as in docs/PROTOCOLS.md.

    Args:
        source_address: Local IP address of its connections; empty for any.
    """

    def __init__(self, source_address: str = "") -> None:
        self._source_address = source_address
        self._pooled_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None

    async def call(
        self, address: str, call: ApplicationCall, deadline: clocks.Deadline
    ) -> ApplicationResponse:
        """Sends a call and returns the complete response."""
        headers = {
            "X-Request-Id": call.request,
            "Content-Type": call.content_type,
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, deadline.remaining()),
            sock_connect=_CONNECT_TIMEOUT_S,
        )
        url = f"http://{address}/calls/{call.name}"
        trace = clients.SendTrace()
        try:
            # A redirect would send the call once more.
            async with self._get_session(call.is_repeatable).post(
                url,
                data=call.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                return await _read_response(response, call, trace)
        except failures.CLIENT_ERRORS as error:
            raise failures.convert_client_error(error, trace) from error

    async def close(self) -> None:
        """Closes all connections."""
        for session in (self._pooled_session, self._single_use_session):
            if session is not None:
                await session.close()

    def _get_session(self, is_repeatable: bool) -> aiohttp.ClientSession:
        if is_repeatable:
            if self._pooled_session is None:
                self._pooled_session = clients.make_session(
                    self._source_address
                )
            return self._pooled_session
        if self._single_use_session is None:
            # A reset of a reused connection may come before or after the server
            # has read the request. If a new connection is refused, nothing was
            # sent.
            self._single_use_session = clients.make_session(
                self._source_address, reuse=False
            )
        return self._single_use_session


async def _read_response(
    response: aiohttp.ClientResponse,
    call: ApplicationCall,
    trace: clients.SendTrace,
) -> ApplicationResponse:
    """Returns the complete response, once it is known to belong to the call.

    A refusal need not name the call on a connection that carried no other.

    Raises:
        EndpointError: If the server refused the call, or the response belongs
            to another call or is too large.
    """
    answered = response.headers.get("X-Request-Id")
    is_refusal = response.status == 503 and (
        response.headers.get("Not-Run") == "1"
    )
    is_own = answered == call.request or (
        answered is None and not trace.is_reused
    )
    if is_refusal and is_own:
        raise failures.EndpointError(
            failures.FailureKind.NOT_RUN, "refused by the server"
        )
    if answered != call.request:
        response.close()
        raise failures.EndpointError(
            failures.FailureKind.MISMATCH, "answer to another request"
        )
    body = await response.read()
    if len(body) > _MAX_RESPONSE_BYTES:
        raise failures.EndpointError(
            failures.FailureKind.LOST, "answer above one megabyte"
        )
    return ApplicationResponse(response.status, response.content_type, body)
