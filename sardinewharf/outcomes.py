"""Describes how a request ended, as a union of dataclasses.

Every request that enters a daemon ends in exactly one outcome. A refusal states
its kind, whether the request may have run, and what its caller can do.

Examples:
    >>> refusal = Refusal(RefusalKind.UNKNOWN_MODEL, "no model 'x'")
    >>> refusal.run_state
    <RunState.NOT_RUN: 'not_run'>
    >>> refusal.status
    404
"""

import dataclasses
import enum


class RunState(enum.Enum):
    """States whether the request may have run at an endpoint."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalKind(enum.Enum):
    """Enumerates why a request got no complete response.

    Each value consists of the error code in the response, the HTTP status and
    the remedy, which is the sentence that tells the caller what to do.
    """

    BAD_REQUEST = ("invalid_request_error", 400, "Correct the named field.")
    UNAUTHENTICATED = (
        "invalid_api_key",
        401,
        "Send 'Authorization: Bearer KEY' with a key of your organisation.",
    )
    UNKNOWN_ROUTE = ("unknown_route", 404, "See the list of routes.")
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405, "Use the other method.")
    UNKNOWN_MODEL = ("model_not_found", 404, "List models at /v1/models.")
    UNKNOWN_APPLICATION = (
        "application_not_found",
        404,
        "Ask an operator for the configured applications.",
    )
    KEY_IN_USE = (
        "idempotency_key_reused",
        422,
        "Use a new Idempotency-Key for a different body.",
    )
    TOO_LARGE = ("request_too_large", 413, "Send a smaller body.")
    RATE_LIMITED = ("rate_limited", 429, "Retry after the given time.")
    OVERLOADED = ("overloaded", 503, "Retry after the given time.")
    NO_ENDPOINT = ("no_endpoint", 503, "Retry after the given time.")
    DEADLINE = ("deadline_exceeded", 504, "Retry with a later deadline.")
    CLAIMS_UNAVAILABLE = (
        "claims_unavailable",
        503,
        "Retry with the same Idempotency-Key after the given time.",
    )
    QUARANTINED = (
        "request_quarantined",
        422,
        "Change the request: endpoints died while they ran it.",
    )
    DRAINING = ("draining", 503, "Retry at another daemon.")
    ENDPOINT_FAILED = (
        "endpoint_failed",
        502,
        "Check the effect first, or repeat with the same Idempotency-Key.",
    )
    OUTCOME_UNKNOWN = (
        "outcome_unknown",
        504,
        "Repeat with the same Idempotency-Key, or check the effect first.",
    )

    def __init__(self, code: str, status: int, remedy: str):
        self.code = code
        self.status = status
        self.remedy = remedy


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that got no complete response.

    Attributes:
        kind: Why the request was refused.
        detail: What was wrong, in one sentence without the remedy.
        run_state: Whether the request ran.
        retry_after: Seconds after which a retry can succeed, if known.
    """

    kind: RefusalKind
    detail: str
    run_state: RunState = RunState.NOT_RUN
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return self.kind.status

    @property
    def message(self) -> str:
        """The detail followed by the remedy."""
        return f"{self.detail} {self.kind.remedy}"


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """A request whose complete response was sent to its caller.

    Attributes:
        status: HTTP status of the response.
        chunks: Number of stream chunks; 0 for a response without streaming.
        attempts: Number of endpoints that were tried.
    """

    status: int
    chunks: int = 0
    attempts: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """A request whose caller closed its connection early.

    Attributes:
        chunks: Number of stream chunks sent before that.
    """

    chunks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenStream:
    """A stream that ended in an explicit error event.

    Attributes:
        refusal: The error that was sent to the caller.
        chunks: Number of chunks sent before the error.
    """

    refusal: Refusal
    chunks: int


Outcome = Completed | Refusal | CallerLeft | BrokenStream


class RequestError(Exception):
    """Carries a refusal to the code that sends the response."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


def refuse(
    kind: RefusalKind,
    detail: str,
    run_state: RunState = RunState.NOT_RUN,
    retry_after: float | None = None,
) -> RequestError:
    """Returns the exception that refuses a request.

    Examples:
        >>> error = refuse(RefusalKind.TOO_LARGE, "The body has 9 bytes.")
        >>> error.refusal.status
        413
    """
    return RequestError(Refusal(kind, detail, run_state, retry_after))
