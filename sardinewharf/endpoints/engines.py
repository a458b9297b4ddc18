"""Defines the interface to model engines.

See Also:
    ``engine_http``, which implements it.
"""

import abc
from collections.abc import Mapping
import dataclasses

import msgspec

from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf.endpoints import reports
from sardinewharf.routing import prefixes


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """One attempt at a model request.

    Attributes:
        request: Id of the caller's request, the same for all attempts.
        attempt: Unique id of this attempt.
        path: The URL path that the caller used.
        body: The fields of the caller's body.
        cache_salt: Separates the prefix caches of organisations and weights
            versions.
        blocks: The prefix blocks of the prompt.
        continued_text: Text that earlier attempts have already generated.
        continued_chunks: Number of chunks of that text.
    """

    request: ids.RequestId
    attempt: ids.AttemptId
    path: str
    body: Mapping[str, object]
    cache_salt: str
    blocks: tuple[prefixes.PrefixBlock, ...]
    continued_text: str = ""
    continued_chunks: int = 0

    def encode(self) -> bytes:
        """Returns the JSON body for the engine."""
        body = dict(self.body)
        body["stream"] = True
        body["cache_salt"] = self.cache_salt
        body["cache_pieces"] = [
            (block.id.hex(), block.tokens) for block in self.blocks
        ]
        if self.continued_chunks:
            body["continuation"] = {
                "text": self.continued_text,
                "tokens": self.continued_chunks,
            }
        return msgspec.json.encode(body)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamHead:
    """The metadata that an engine sends before the first chunk.

    Attributes:
        incarnation: The engine's incarnation.
        weights: The weights version that generates the response.
        cached_tokens: Prompt tokens found in the prefix cache.
        computed_tokens: Prompt tokens computed.
        running: Number of streams that run at the engine.
        queued_tokens: Prompt tokens in the engine's queue.
    """

    incarnation: ids.Incarnation
    weights: ids.WeightsVersion
    cached_tokens: int
    computed_tokens: int
    running: int
    queued_tokens: int


class EngineStream(abc.ABC):
    """A response that an engine streams.

    Attributes:
        head: The metadata sent before the first chunk.
    """

    head: StreamHead

    @property
    @abc.abstractmethod
    def chunks(self) -> int:
        """Number of chunks received so far, including the closing one."""

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Returns the next events, or empty bytes at the end.

        Raises:
            EndpointError: If the stream broke before its closing event.
        """

    @abc.abstractmethod
    async def resume(self, deadline: clocks.Deadline) -> None:
        """Resumes after the last chunk received, at the same engine.

        Raises:
            EndpointError: If the engine does not have the stream any more.
        """

    @abc.abstractmethod
    async def cancel(self) -> None:
        """Cancels the attempt at the engine and closes the connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection."""


class ModelEngine(abc.ABC):
    """The interface to model engines."""

    @abc.abstractmethod
    async def open(
        self,
        address: str,
        request: EngineRequest,
        deadline: clocks.Deadline,
    ) -> EngineStream:
        """Sends a request and returns its stream once it has begun.

        Raises:
            EndpointError: If the engine did not begin to respond.
        """

    @abc.abstractmethod
    async def cancel(self, address: str, attempt: ids.AttemptId) -> None:
        """Cancels an attempt at an engine; ignores connection errors."""

    @abc.abstractmethod
    async def report(
        self, address: str, deadline: clocks.Deadline
    ) -> reports.LoadReport:
        """Returns the load report of an endpoint.

        Raises:
            EndpointError: If there was no usable response.
        """

    @abc.abstractmethod
    async def list_events(
        self, address: str, after: int, deadline: clocks.Deadline
    ) -> reports.CacheEvents:
        """Returns the cache events after a sequence number.

        Raises:
            EndpointError: If there was no usable response.
        """

    @abc.abstractmethod
    async def order(
        self, address: str, order: reports.Order, deadline: clocks.Deadline
    ) -> reports.LoadReport:
        """Sends an order and returns the engine's state after it.

        Raises:
            EndpointError: If the order was refused or its response lost.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
