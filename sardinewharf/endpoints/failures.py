"""Classifies how a request to an endpoint can fail."""

import asyncio
import enum

import aiohttp

from sardinewharf import clients

CLIENT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class FailureKind(enum.Enum):
    """Classifies failed requests by whether they may have run.

    ``NOT_SENT``: no byte left this daemon. ``NOT_RUN``: the endpoint responded
    that it ran nothing. ``LOST``: the request may have run. ``MISMATCH``: the
    response belongs to another request, incarnation or weights version.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    LOST = "lost"
    MISMATCH = "mismatch"


class EndpointError(Exception):
    """An endpoint gave no usable response.

    Args:
        kind: Whether the request may have run.
        detail: What was observed.

    Attributes:
        kind: Whether the request may have run.
        detail: What was observed.
    """

    def __init__(self, kind: FailureKind, detail: str):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail

    @property
    def proves_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.kind in (FailureKind.NOT_SENT, FailureKind.NOT_RUN)


def convert_client_error(
    error: Exception, trace: clients.SendTrace
) -> EndpointError:
    """Converts an error of the HTTP client to an endpoint error.

    Args:
        error: The error.
        trace: How the request was sent.
    """
    is_unconnected = isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    )
    kind = FailureKind.LOST
    if is_unconnected and not trace.sends:
        kind = FailureKind.NOT_SENT
    return EndpointError(kind, type(error).__name__)
