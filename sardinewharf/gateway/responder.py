"""Writes a gateway's answers to callers."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from sardinewharf import http1
from sardinewharf.gateway import messages
from sardinewharf.gateway import refusals

Send = Callable[[Mapping[str, object]], Awaitable[None]]


class Responder:
    """The answer to one request.

    Args:
        send: Takes ASGI events.
        is_leaving: Returns whether the process is shutting down.
    """

    def __init__(self, send: Send, is_shutting_down: Callable[[], bool]):
        self._send = send
        self._is_shutting_down = is_shutting_down
        self.has_started = False
        self.is_finished = False

    async def refuse(
        self,
        refusal: refusals.Refusal,
        headers: http1.Headers,
    ) -> None:
        """Answers with a refusal."""
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
        """Passes on a whole answer."""
        length = (b"content-length", b"%d" % len(body))
        if head.status in (204, 304):
            await self._start(head.status, head.forwarded_headers)
        else:
            await self._start(head.status, [*head.forwarded_headers, length])
        await self.finish(body)

    async def start(self, head: messages.ResponseHead) -> None:
        """Begins an answer whose length is not known."""
        await self._start(head.status, head.forwarded_headers)

    async def write(self, chunk: bytes) -> None:
        """Passes on a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self, chunk: bytes = b"") -> None:
        """Passes on the last part of the body."""
        self.is_finished = True
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": False}
        )

    async def _start(self, status: int, headers: http1.Headers) -> None:
        self.has_started = True
        sent_headers = list(headers)
        if self._is_shutting_down():
            sent_headers.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": sent_headers,
            }
        )
