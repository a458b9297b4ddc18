"""Types of what a gateway reads from callers and exchanges with endpoints."""

import abc
import dataclasses

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf import ids


class MalformedError(Exception):
    """A request's headers cannot be understood; the message names which."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        id: Its id.
        tokens: Its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a caller says of its prompt.

    Attributes:
        model: Name of the model.
        tokens: Tokens of the whole prompt.
        answer_tokens: Most tokens of the answer.
        parts: The parts in order; the last is the request's own.
    """

    model: str
    tokens: int
    answer_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have too."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What a caller's headers say.

    Attributes:
        request_id: The caller's id of this request.
        host: The host asked for, without port.
        key: The caller's key; empty if none was given.
        deadline: Until when the caller waits.
        prompt: The prompt's description; None if it has none.
        resume_after: Last event that the caller has of a broken stream.
        passed_on: The headers that endpoints get.
    """

    request_id: ids.RequestId
    host: str
    key: str
    deadline: clocks.Deadline
    prompt: Prompt | None
    resume_after: int | None
    forwarded_headers: http1.Headers


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What one endpoint is told of a request.

    Attributes:
        headers: The caller's headers.
        endpoint: The endpoint that must run it.
        deadline: When the endpoint stops work.
        organisation: Name of the caller's organisation; empty for none.
        weights: Version of the weights that must run it; 0 for any.
        cache_scope: Who may share its cached prompt; empty for all.
        priority: Urgency from 0 to 9, 0 first; None for the default.
        fetch_from: ``IP:PORT`` that holds cached parts; empty for none.
        save_to: ``IP:PORT`` that is to keep them; empty for none.
        resume_after: Last event that the caller has; None to start anew.
    """

    headers: CallerHeaders
    endpoint: ids.EndpointId
    deadline: clocks.Deadline
    organisation: str = ""
    weights: int = 0
    cache_scope: str = ""
    priority: int | None = None
    fetch_from: str = ""
    save_to: str = ""
    resume_after: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How busy an endpoint said it was.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait.
        slots: Requests that may run.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """What an endpoint's headers say.

    Attributes:
        status: HTTP status.
        request_id: The request that it answers.
        is_stamped: Whether it bears the endpoint's signature.
        is_not_run: Whether the endpoint says that it did not run it.
        is_event_stream: Whether events follow.
        is_encoded: Whether the body is not as the endpoint made it.
        weights: Version of the weights; 0 if it does not say.
        load: The endpoint's load; None if it does not say.
        passed_on: The headers that the caller gets.
    """

    status: int
    request_id: str
    is_stamped: bool
    is_not_run: bool
    is_event_stream: bool
    is_encoded: bool
    weights: int
    load: Load | None
    forwarded_headers: http1.Headers

    @property
    def is_success(self) -> bool:
        """Whether the request succeeded."""
        return 200 <= self.status < 300


class HeaderCodec(abc.ABC):
    """Translates between headers and what they say."""

    @abc.abstractmethod
    def read_request(
        self, headers: http1.Headers, arrived: float
    ) -> CallerHeaders:
        """Returns what a caller's headers say."""

    @abc.abstractmethod
    def write_request(self, dispatch: Dispatch) -> http1.Headers:
        """Returns the headers of a request to an endpoint."""

    @abc.abstractmethod
    def read_response(self, head: http1.Head) -> ResponseHead:
        """Returns what an endpoint's headers say."""

    @abc.abstractmethod
    def write_refusal(
        self, request_id: str, retry_after_s: float | None
    ) -> http1.Headers:
        """Returns the headers of an answer of the gateway's own."""
