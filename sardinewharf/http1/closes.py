"""Limits of a server's connections, and the reasons why it closes them."""

import dataclasses
import enum

from sardinewharf.http1 import client

_HEADERS_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_MALFORMED_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_OUT_OF_MEMORY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


# Far above the pauses of a caller that reads slowly: a receiver tells of room
# as soon as a segment fits, which on loopback is 64 KB.
DEFAULT_UNREAD_S = 60.0
# Maximum size of a body where no configuration states one.
DEFAULT_BODY_BYTES = 16_777_216


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a connection.

    Attributes:
        header_bytes: Maximum size of all headers of a request, and of its head
            and its trailers together.
        header_s: Time in which the headers must arrive, in seconds.
        idle_s: Time for which a connection may stay idle, in seconds.
        unread_s: Time in which a caller must take something of a response that
            waits to be sent, in seconds.
        body_bytes: Maximum size of what comes of a body after its response.
    """

    header_bytes: int
    header_s: float
    idle_s: float
    unread_s: float = DEFAULT_UNREAD_S
    body_bytes: int = DEFAULT_BODY_BYTES


class CloseReason(enum.Enum):
    """Reason why the server closed a connection with a request on it.

    Attributes:
        SLOW_HEAD: The head did not arrive in time.
        HEAD_TOO_LARGE: The head exceeds its limit.
        TRAILERS_TOO_LARGE: The head and the trailers exceed its limit, or so
            many bytes came in a chunked body without any data.
        MALFORMED: The request cannot be parsed.
        EARLIER_RESPONSE: An earlier response closed the connection.
        UNREAD_RESPONSE: The caller has not taken anything of a response for
            long.
        OUT_OF_MEMORY: The memory for what callers send is used up.
        BODY_AFTER_RESPONSE: More came of a body after its response than a whole
            body may have.
    """

    SLOW_HEAD = "slow_head"
    HEAD_TOO_LARGE = "head_too_large"
    TRAILERS_TOO_LARGE = "trailers_too_large"
    MALFORMED = "malformed"
    EARLIER_RESPONSE = "earlier_response"
    UNREAD_RESPONSE = "unread_response"
    OUT_OF_MEMORY = "out_of_memory"
    BODY_AFTER_RESPONSE = "body_after_response"


# What a caller gets before its connection is closed.
REJECTIONS = {
    CloseReason.SLOW_HEAD: _TIMEOUT_RESPONSE,
    CloseReason.HEAD_TOO_LARGE: _HEADERS_TOO_LARGE_RESPONSE,
    CloseReason.TRAILERS_TOO_LARGE: _HEADERS_TOO_LARGE_RESPONSE,
    CloseReason.MALFORMED: _MALFORMED_RESPONSE,
    CloseReason.OUT_OF_MEMORY: _OUT_OF_MEMORY_RESPONSE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class CloseReport:
    """Describes a connection that the server closed with a request on it.

    Attributes:
        reason: Why it was closed.
        headers: The headers of the first such request, as far as they were
            read.
        head_bytes: What was read of the head of the last one.
        queued: Number of requests that were read whole and not begun.
        has_responded: Whether a response was begun on the connection before.
    """

    reason: CloseReason
    headers: client.Headers
    head_bytes: int
    queued: int
    has_responded: bool
