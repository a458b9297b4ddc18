"""Describes model engines, as the daemons use them.

See Also:
    ``engine_http``, which speaks to them.
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
        request: The caller's request; the same over all attempts.
        attempt: Unique name of this attempt.
        path: The path that the caller used.
        body: The caller's body.
        cache_salt: Parts the caches of organisations and weights versions.
        pieces: The prompt's prefix pieces.
        continued_text: Text that an earlier attempt has already given.
        continued_chunks: Number of chunks of that text.
    """

    request: ids.RequestId
    attempt: ids.AttemptId
    path: str
    body: Mapping[str, object]
    cache_salt: str
    pieces: tuple[prefixes.PrefixBlock, ...]
    continued_text: str = ""
    continued_chunks: int = 0

    def encode(self) -> bytes:
        """Returns the JSON body for the engine."""
        body = dict(self.body)
        body["stream"] = True
        body["cache_salt"] = self.cache_salt
        body["cache_pieces"] = [(p.id.hex(), p.tokens) for p in self.pieces]
        if self.continued_chunks:
            body["continuation"] = {
                "text": self.continued_text,
                "tokens": self.continued_chunks,
            }
        return msgspec.json.encode(body)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamHead:
    """What an engine says before the first chunk.

    Attributes:
        incarnation: The engine's incarnation.
        weights: The weights version that answers.
        cached_tokens: Prompt tokens found in the cache.
        computed_tokens: Prompt tokens computed.
        running: Streams that run at the engine.
        queued_tokens: Prompt tokens that wait at the engine.
    """

    incarnation: ids.Incarnation
    weights: ids.WeightsVersion
    cached_tokens: int
    computed_tokens: int
    running: int
    queued_tokens: int


class EngineStream(abc.ABC):
    """A running answer.

    Attributes:
        head: What the engine said first.
    """

    head: StreamHead

    @property
    @abc.abstractmethod
    def chunks(self) -> int:
        """Number of chunks received so far, the closing one included."""

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Returns events that have arrived, or nothing at the end.

        Raises:
            EndpointError: If the stream broke before its closing event.
        """

    @abc.abstractmethod
    async def resume(self, deadline: clocks.Deadline) -> None:
        """Goes on after the last chunk received, at the same engine.

        Raises:
            EndpointError: If the engine does not have the stream any more.
        """

    @abc.abstractmethod
    async def cancel(self) -> None:
        """Tells the engine to stop, and closes the connection."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connection."""


class ModelEngine(abc.ABC):
    """A model engine, as the daemons use it."""

    @abc.abstractmethod
    async def open(
        self,
        address: str,
        request: EngineRequest,
        deadline: clocks.Deadline,
    ) -> EngineStream:
        """Sends a request and returns its stream once it has begun.

        Raises:
            EndpointError: If the engine did not begin to answer.
        """

    @abc.abstractmethod
    async def cancel(self, address: str, attempt: ids.AttemptId) -> None:
        """Tells an engine to stop an attempt, if it can be reached."""

    @abc.abstractmethod
    async def report(
        self, address: str, deadline: clocks.Deadline
    ) -> reports.LoadReport:
        """Returns an endpoint's load.

        Raises:
            EndpointError: If there was no usable answer.
        """

    @abc.abstractmethod
    async def list_events(
        self, address: str, after: int, deadline: clocks.Deadline
    ) -> reports.CacheEvents:
        """Returns the cache events after a sequence number.

        Raises:
            EndpointError: If there was no usable answer.
        """

    @abc.abstractmethod
    async def order(
        self, address: str, order: reports.Order, deadline: clocks.Deadline
    ) -> reports.LoadReport:
        """Sends an order and returns the engine's state after it.

        Raises:
            EndpointError: If the order was refused or its answer lost.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
