"""Makes the gateway's own calls to the platform's store and servers."""

import asyncio
import dataclasses
from typing import TypeVar

import msgspec

from sardinewharf import clocks
from sardinewharf import http1

_JSON = (b"content-type", b"application/json")
_Body = TypeVar("_Body")


class CallError(Exception):
    """A call gave no usable answer.

    Attributes:
        was_sent: Whether the store may have received it.
    """

    def __init__(self, reason: str, was_sent: bool):
        super().__init__(reason)
        self.was_sent = was_sent


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer.

    Attributes:
        status: HTTP status.
        body: The body.
    """

    status: int
    body: bytes


async def call(
    pool: http1.Pool,
    method: bytes,
    path: str,
    body: bytes,
    deadline: clocks.Deadline,
    headers: http1.Headers = (),
) -> Reply:
    """Makes one call of the platform's own and returns its answer.

    Raises:
        CallError: If no whole answer came by the deadline.
    """
    try:
        connection = await pool.acquire(deadline)
    except http1.ConnectError as error:
        raise CallError(str(error), was_sent=False) from error
    sent = [(b"host", pool.address.encode()), *headers]
    if body:
        sent.append(_JSON)
    exchange = connection.start(
        method, http1.encode_request(method, path.encode(), sent, body)
    )
    try:
        async with asyncio.timeout(deadline.remaining()):
            head = await exchange.read_head()
            chunks = []
            while chunk := await exchange.read():
                chunks.append(chunk)
        return Reply(head.status, b"".join(chunks))
    except http1.ResponseLostError as error:
        raise CallError(str(error), was_sent=True) from error
    except TimeoutError as error:
        raise CallError("no answer in time", was_sent=True) from error
    finally:
        exchange.close()
        pool.release(connection)


def decode(body: bytes, kind: type[_Body]) -> _Body:
    """Returns a body's message.

    Raises:
        CallError: If it cannot be read.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise CallError(f"unreadable: {error}", was_sent=True) from error
