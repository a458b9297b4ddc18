"""Sends the gateway's own HTTP calls to the platform's store and servers."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import TypeVar

from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import http1

# Largest body of a response, unless the call states another. A page of the
# store holds several values of up to a megabyte, in base64.
_MAX_BODY_BYTES = 8_388_608
_JSON = (b"content-type", b"application/json")
_Body = TypeVar("_Body")
_Result = TypeVar("_Result")


class CallError(Exception):
    """Raised if a call gave no usable response.

    Attributes:
        was_sent: Whether the server may have received the call.
    """

    def __init__(self, reason: str, was_sent: bool):
        super().__init__(reason)
        self.was_sent = was_sent


class TooLargeError(CallError):
    """Raised if the body of a response exceeds its limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        body: The body.
    """

    status: int
    body: bytes


def _return_reply(reply: Reply) -> Reply:
    return reply


async def call(
    pool: http1.Pool,
    method: bytes,
    path: str,
    body: bytes,
    deadline: clocks.Deadline,
    headers: http1.Headers = (),
    is_alone: bool = False,
    max_bytes: int = _MAX_BODY_BYTES,
    read: Callable[[Reply], _Result] = _return_reply,
) -> _Result:
    """Sends one call and returns what its response holds.

    A response does not name its call. On a connection that carried another
    call, the response to that one may arrive again, late.

    Args:
        pool: Connections to the server.
        method: HTTP method.
        path: Request target, with the query.
        body: JSON body; empty for none.
        deadline: When to stop waiting for the response.
        headers: Headers in addition to the host and the body's type and length.
        is_alone: Whether no other call may use the connection, so that the
            first response on it is surely the one to this call.
        max_bytes: Largest body that a response may have.
        read: Returns what a response holds. It raises ``CallError`` if that
            does not show that it is the response to this call; its connection
            is then closed.

    Raises:
        CallError: If no complete response to this call arrived by the deadline.
    """
    try:
        connection = await pool.acquire(deadline, must_be_new=is_alone)
    except http1.ConnectError as error:
        raise CallError(str(error), was_sent=False) from error
    request_headers = [(b"host", pool.address.encode()), *headers]
    if body:
        request_headers.append(_JSON)
    exchange = connection.start(
        method,
        http1.encode_request(method, path.encode(), request_headers, body),
    )
    try:
        async with asyncio.timeout(deadline.remaining()):
            head = await exchange.read_head()
            body = await _read_body(exchange, max_bytes)
        return read(Reply(head.status, body))
    except CallError:
        connection.abort()
        raise
    except http1.ResponseLostError as error:
        raise CallError(str(error), was_sent=True) from error
    except TimeoutError as error:
        raise CallError("no answer in time", was_sent=True) from error
    finally:
        exchange.close()
        if is_alone:
            connection.close()
        pool.release(connection)


async def _read_body(exchange: http1.Exchange, max_bytes: int) -> bytes:
    """Returns the complete body of a response.

    Raises:
        ResponseLostError: If it does not arrive completely.
        TooLargeError: If it exceeds the limit.
    """
    chunks: list[bytes] = []
    size = 0
    while chunk := await exchange.read():
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise TooLargeError(
                f"a body of over {max_bytes} bytes", was_sent=True
            )
        exchange.retain(size, chunks.clear)
    return b"".join(chunks)


def decode(body: bytes, kind: type[_Body]) -> _Body:
    """Returns the message that a JSON body holds.

    Raises:
        CallError: If the body cannot be decoded.
    """
    try:
        return decoding.decode_json(body, kind)
    except decoding.DecodeError as error:
        raise CallError(
            f"cannot decode the body: {error}", was_sent=True
        ) from error
