"""Sends a gateway's responses to callers as ASGI events."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from sardinewharf import http1
from sardinewharf.gateway import messages
from sardinewharf.gateway import refusals

# Statuses that the server can send; HTTP defines no others.
_STATUSES = range(100, 600)

Send = Callable[[Mapping[str, object]], Awaitable[None]]


class Responder:
    """Sends the response to one request.

    While the gateway is shutting down, the last response on a connection tells
    the caller to close it.

    Args:
        send: The ASGI send callable of the request.
        method: HTTP method of the request.
        closes_connection: Returns whether this is the last response on its
            connection.

    Attributes:
        has_started: Whether status and headers were sent.
        is_finished: Whether the last part of the body was sent.
    """

    def __init__(
        self, send: Send, method: str, closes_connection: Callable[[], bool]
    ):
        self._send = send
        self._method = method
        self._closes_connection = closes_connection
        self.has_started = False
        self.is_finished = False

    async def refuse(
        self,
        refusal: refusals.Refusal,
        headers: http1.Headers,
    ) -> None:
        """Sends a refusal as the complete response."""
        body = f"{refusal.reason.value}: {refusal.detail}\n".encode()
        await self._start(
            refusal.status,
            [
                *headers,
                (b"content-type", b"text/plain; charset=utf-8"),
                (b"content-length", b"%d" % len(body)),
            ],
        )
        await self.finish(body)

    async def send_response(
        self, head: messages.ResponseHead, body: bytes
    ) -> None:
        """Sends a complete response of an endpoint.

        Raises:
            RefusedError: If it cannot be forwarded; nothing was sent then.
        """
        _check_status(head)
        headers = list(head.forwarded_headers)
        # In response to HEAD, the length would be that of the body left out.
        if head.status not in (204, 304) and self._method != "HEAD":
            headers.append((b"content-length", b"%d" % len(body)))
        await self._start(head.status, headers)
        # What cannot be sent at once is copied, of a view only once.
        await self.finish(memoryview(body))

    async def start(self, head: messages.ResponseHead) -> None:
        """Sends status and headers of a response of unknown length.

        Raises:
            RefusedError: If it cannot be forwarded; nothing was sent then.
        """
        _check_status(head)
        await self._start(head.status, head.forwarded_headers)

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self, chunk: bytes | memoryview = b"") -> None:
        """Sends the last part of the body."""
        self.is_finished = True
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": False}
        )

    async def _start(self, status: int, headers: http1.Headers) -> None:
        self.has_started = True
        sent_headers = list(headers)
        if self._closes_connection():
            sent_headers.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": sent_headers,
            }
        )


def _check_status(head: messages.ResponseHead) -> None:
    """Checks that the server can send a status.

    Header names and values need no check, since the client's parser admits no
    others than the server does.

    Raises:
        RefusedError: If it cannot.
    """
    if head.status not in _STATUSES:
        raise refusals.refuse(
            refusals.Reason.LOST,
            f"the endpoint answered with status {head.status}; it must be"
            f" {_STATUSES[0]} to {_STATUSES[-1]}",
        )
