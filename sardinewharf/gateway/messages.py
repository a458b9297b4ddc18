"""Defines the header contents that a gateway exchanges, and their codec.

Headers are decoded from callers' requests and endpoints' responses, and
encoded for requests to endpoints and for refusals.
"""

import abc
import dataclasses

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf import ids


class MalformedError(Exception):
    """Raised if a header cannot be decoded; the message names which."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """Describes a part of a prompt that other requests may share.

    Attributes:
        id: Id of its content; equal ids mean equal content.
        tokens: Its length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Describes a request's prompt, as its caller states it.

    Attributes:
        model: Name of the model.
        tokens: Tokens of the whole prompt.
        answer_tokens: Limit of the tokens that are generated.
        parts: The parts in order; only this request has the last one.
    """

    model: str
    tokens: int
    answer_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def shared_ids(self) -> tuple[str, ...]:
        """Ids of the shared parts."""
        return tuple(part.id for part in self.shared)

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Holds the decoded headers of a caller's request.

    Attributes:
        request_id: The caller's id of this request.
        host: The requested host, without port.
        key: The caller's API key; empty if none was given.
        deadline: Until when the caller waits.
        prompt: Description of the prompt; None if it has none.
        resume_after: Id of the last event that the caller received of a broken
            stream; None for a new stream.
        forwarded_headers: The headers that are forwarded to endpoints.
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
    """Holds what the headers of a request to an endpoint are encoded from.

    Attributes:
        headers: The caller's headers.
        endpoint: The endpoint that must run it.
        deadline: When the endpoint stops working on it.
        organisation: Name of the caller's organisation; empty for none.
        weights: Version of the weights that must run it; 0 for any.
        cache_scope: Requests with the same scope may share cached prompts;
            empty if all may.
        priority: Priority from 0, the highest, to 9; None for the default.
        fetch_from: ``IP:PORT`` to fetch cached parts of the prompt from; empty
            for none.
        save_to: ``IP:PORT`` of the cache store to save them to; empty for none.
        resume_after: Id of the last event that the caller has received; None to
            start the stream from the beginning.
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
    """Holds the load that an endpoint reports of itself.

    Attributes:
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Number of requests that can run at a time.
        slowness: How long work takes there at the moment; 1.0 is usual. None
            if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Holds the decoded status and headers of an endpoint's response.

    Attributes:
        status: HTTP status.
        request_id: Id of the request that it responds to.
        is_stamped: Whether it carries the stamp header by which an endpoint
            marks its own responses.
        is_not_run: Whether the endpoint states that it did not run the request.
        is_event_stream: Whether the body is a stream of server-sent events.
        is_encoded: Whether the body has a content encoding, and so is not as
            the endpoint made it.
        weights: Version of the weights; 0 if not stated.
        load: The endpoint's load; None if not stated.
        is_leaving: Whether the endpoint states that it is leaving.
        retry_after_s: For how long the endpoint states to be unavailable, in
            seconds; None if not stated.
        forwarded_headers: The headers that are forwarded to the caller.
    """

    status: int
    request_id: str
    is_stamped: bool
    is_not_run: bool
    is_event_stream: bool
    is_encoded: bool
    weights: int
    load: Load | None
    is_leaving: bool
    retry_after_s: float | None
    forwarded_headers: http1.Headers

    @property
    def is_success(self) -> bool:
        """Whether the request succeeded."""
        return 200 <= self.status < 300


class HeaderCodec(abc.ABC):
    """Encodes and decodes the headers of requests and responses."""

    @abc.abstractmethod
    def read_request(
        self, headers: http1.Headers, arrived: float
    ) -> CallerHeaders:
        """Returns the decoded headers of a caller's request.

        Raises:
            MalformedError: If a header cannot be decoded.
        """

    @abc.abstractmethod
    def write_request(self, dispatch: Dispatch) -> http1.Headers:
        """Returns the headers of a request to an endpoint."""

    @abc.abstractmethod
    def read_response(self, head: http1.Head) -> ResponseHead:
        """Returns the decoded status and headers of an endpoint's response."""

    @abc.abstractmethod
    def write_refusal(
        self, request_id: str, retry_after_s: float | None
    ) -> http1.Headers:
        """Returns the headers of a refusal by the gateway itself."""
