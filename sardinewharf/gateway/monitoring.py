"""ASGI applications of the addresses for readiness probes and metrics."""

from collections.abc import Callable
from collections.abc import Mapping

from sardinewharf import http1
from sardinewharf.gateway import endings
from sardinewharf.gateway import responder as responder_lib


def make_text_app(render: Callable[[], bytes]) -> Callable[..., object]:
    """Returns an ASGI application that responds with a text."""
    content_type = (
        b"content-type",
        b"text/plain; version=0.0.4; charset=utf-8",
    )

    async def page(
        scope: Mapping[str, object],
        receive: endings.Receive,
        send: responder_lib.Send,
    ) -> None:
        await _respond(send, 200, render(), (content_type,))

    return page


def make_probe_app(is_ready: Callable[[], bool]) -> Callable[..., object]:
    """Returns an ASGI application that responds 200 if ready, else 503."""

    async def probe(
        scope: Mapping[str, object],
        receive: endings.Receive,
        send: responder_lib.Send,
    ) -> None:
        await _respond(send, 200 if is_ready() else 503)

    return probe


async def _respond(
    send: responder_lib.Send,
    status: int,
    body: bytes = b"",
    headers: http1.Headers = (),
) -> None:
    length = (b"content-length", b"%d" % len(body))
    sent_headers = [*headers, length]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": sent_headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
