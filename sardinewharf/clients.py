"""Creates HTTP clients of the daemon, and reads their responses."""

import dataclasses

import aiohttp

# Largest body of a response to a call of the daemon's own.
_MAX_BODY_BYTES = 8_388_608


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """Raised if the body of a response does not end within the limit."""


async def read_body(
    response: aiohttp.ClientResponse, max_bytes: int = _MAX_BODY_BYTES
) -> bytes:
    """Returns the body of a response, unless it is too large.

    Raises:
        BodyTooLargeError: If it is. The connection is closed then.
        aiohttp.ClientError: If it does not arrive completely.
    """
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            response.close()
            raise BodyTooLargeError(f"a body of over {max_bytes} bytes")
    return b"".join(chunks)


@dataclasses.dataclass(slots=True)
class SendTrace:
    """What is known of how a request was sent.

    It is passed to the session with the request, as ``trace_request_ctx``.

    Attributes:
        sends: How often a byte of the request may have left. A session repeats
            requests of idempotent methods, PUT too, whose connection was lost.
        is_reused: Whether the last connection had carried another request, so
            that a response may be that request's.
    """

    sends: int = 0
    is_reused: bool = False


def make_session(
    source_address: str = "", reuse: bool = True, **options
) -> aiohttp.ClientSession:
    """Returns a client session without a limit on connections.

    Args:
        source_address: Local IP address of its connections; empty for any.
        reuse: Whether a connection may serve more than one request.
        **options: Passed to ``aiohttp.ClientSession``.
    """
    source = (source_address, 0) if source_address else None
    connector = aiohttp.TCPConnector(
        limit=0, force_close=not reuse, local_addr=source
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        trace_configs=[_make_trace_config()],
        **options,
    )


def _make_trace_config() -> aiohttp.TraceConfig:
    """Returns what fills the ``SendTrace`` of each request that has one."""
    config = aiohttp.TraceConfig()
    config.on_request_headers_sent.append(_record_sent)
    config.on_connection_reuseconn.append(_record_reused)
    config.on_connection_create_end.append(_record_created)
    return config


async def _record_sent(session, context, params) -> None:
    if isinstance(context.trace_request_ctx, SendTrace):
        context.trace_request_ctx.sends += 1


async def _record_reused(session, context, params) -> None:
    if isinstance(context.trace_request_ctx, SendTrace):
        context.trace_request_ctx.is_reused = True


async def _record_created(session, context, params) -> None:
    if isinstance(context.trace_request_ctx, SendTrace):
        context.trace_request_ctx.is_reused = False
