r"""Relays one streamed response and recovers it when its engine fails.

A broken stream is first resumed at its engine. If that fails, it is continued
at another engine, from the text that was relayed so far.

Examples:
    >>> event = b'data: {"choices":[{"delta":{"content":"ink "}}]}\n\n'
    >>> read_text(event + event)
    ('ink ink ', 2)
"""

import abc

import msgspec

from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import endpoints
from sardinewharf import outcomes
from sardinewharf.relay import requests

_RESUME_TIMEOUT_S = 2.0
_DONE = b"[DONE]"
# A larger response cannot be continued at another engine.
_MAX_BUFFERED_BYTES = 1 << 22


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    text: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []


def read_text(events: bytes) -> tuple[str, int]:
    """Returns the text of consecutive events and the number of chunks.

    Raises:
        RequestError: If an event cannot be decoded.
    """
    texts = []
    for event in events.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if not data or data == _DONE:
            continue
        for choice in _decode_event(data).choices[:1]:
            texts.append(choice.delta.content or choice.text or "")
    return "".join(texts), len(texts)


def _decode_event(data: bytes) -> _Event:
    try:
        return decoding.decode_json(data, _Event)
    except decoding.DecodeError as error:
        raise outcomes.refuse(
            outcomes.RefusalKind.ENDPOINT_FAILED,
            f"An event of the answer cannot be decoded ({error}).",
            outcomes.RunState.RAN,
        ) from error


class StreamOpener(abc.ABC):
    """Opens the streams of one request and records how they end.

    When an engine fails, the next stream is opened at another engine.
    """

    @abc.abstractmethod
    async def open(
        self, continued_text: str, continued_chunks: int, weights: str | None
    ) -> endpoints.EngineStream:
        """Returns a stream that continues after the text so far.

        Args:
            continued_text: The text so far; empty for a new response.
            continued_chunks: Number of chunks of that text.
            weights: Weights version of the text so far, which alone may go on
                with it; None for a new response. During a rollout, that may
                begin under another version than the target version.

        Raises:
            RequestError: If no engine responds.
        """

    @abc.abstractmethod
    async def record_engine_failure(
        self, stream: endpoints.EngineStream, is_crash: bool
    ) -> None:
        """Records that a stream's engine failed, and whether it crashed."""

    @abc.abstractmethod
    def record_end(
        self, stream: endpoints.EngineStream, is_complete: bool
    ) -> None:
        """Records that a stream has ended, and whether it was complete."""

    @abc.abstractmethod
    def record_progress(self, chunks: int) -> bool:
        """Records how many chunks a stream has delivered.

        Returns:
            Whether further progress has to be recorded.
        """

    @abc.abstractmethod
    def may_continue(self) -> bool:
        """Returns whether the response may be continued at another engine."""


class RelayedStream:
    """A response that is being relayed to its caller.

    Args:
        request: The request.
        opener: Opens streams at other engines.
        stream: The stream, whose response has begun.

    Attributes:
        resume_count: How often the stream was resumed at its engine.
        continuation_count: How often it was continued at another engine.
    """

    def __init__(
        self,
        request: requests.ModelRequest,
        opener: StreamOpener,
        stream: endpoints.EngineStream,
    ):
        self._request = request
        self._opener = opener
        self._stream = stream
        self._buffered_events: list[bytes] = []
        self._buffered_bytes = 0
        self._earlier_chunks = 0
        self._is_over = False
        self._reports_progress = True
        self.resume_count = 0
        self.continuation_count = 0

    @property
    def chunks(self) -> int:
        """Number of relayed chunks, including the closing one."""
        return self._earlier_chunks + self._stream.chunks

    @property
    def head(self) -> endpoints.StreamHead:
        """The metadata that the current engine sent before the first chunk."""
        return self._stream.head

    async def read(self) -> bytes:
        """Returns the next events, or empty bytes at the end.

        Raises:
            RequestError: If the stream broke and could not be recovered.
        """
        while True:
            try:
                events = await self._stream.read()
            except endpoints.EndpointError as error:
                await self._recover(error)
                continue
            if self._reports_progress:
                chunks = self._stream.chunks
                self._reports_progress = self._opener.record_progress(chunks)
            if not events:
                self._finish(is_complete=True)
            elif self._buffered_bytes <= _MAX_BUFFERED_BYTES:
                self._buffered_events.append(events)
                self._buffered_bytes += len(events)
            return events

    async def close(self) -> None:
        """Cancels the response at its engine unless it has ended."""
        if not self._is_over:
            self._finish(is_complete=False)
            await self._stream.cancel()

    def _finish(self, is_complete: bool) -> None:
        if not self._is_over:
            self._is_over = True
            self._opener.record_end(self._stream, is_complete)

    async def _recover(self, error: endpoints.EndpointError) -> None:
        if self._request.deadline.is_past():
            await self.close()
            raise outcomes.refuse(
                outcomes.RefusalKind.DEADLINE,
                "The deadline passed in the middle of the answer.",
                outcomes.RunState.RAN,
            )
        if await self._resume():
            return
        await self._continue(error)

    async def _resume(self) -> bool:
        """Resumes the stream at its engine; returns whether it succeeded."""
        try:
            await self._stream.resume(
                self._request.deadline.earlier(
                    clocks.Deadline.after(_RESUME_TIMEOUT_S)
                )
            )
        except endpoints.EndpointError as error:
            # An engine that responds, but no longer has the stream, is alive.
            is_crash = error.kind is not endpoints.FailureKind.NOT_RUN
            await self._opener.record_engine_failure(self._stream, is_crash)
            return False
        self.resume_count += 1
        return True

    async def _continue(self, error: endpoints.EndpointError) -> None:
        """Opens a stream at another engine, from the text relayed so far.

        Raises:
            RequestError: If the response cannot be continued.
        """
        self._finish(is_complete=False)
        self._stream.close()
        is_buffered = self._buffered_bytes <= _MAX_BUFFERED_BYTES
        if not is_buffered or not self._opener.may_continue():
            raise _make_interrupted_error(str(error))
        text, chunks = read_text(b"".join(self._buffered_events))
        try:
            stream = await self._opener.open(
                text, chunks, self._stream.head.weights
            )
        except outcomes.RequestError as refused:
            raise _make_interrupted_error(refused.refusal.detail) from refused
        self._earlier_chunks = chunks
        self._stream = stream
        self._is_over = False
        self._reports_progress = True
        self.continuation_count += 1


def _make_interrupted_error(detail: str) -> outcomes.RequestError:
    return outcomes.refuse(
        outcomes.RefusalKind.ENDPOINT_FAILED,
        f"The answer broke off and could not be continued ({detail}).",
        outcomes.RunState.RAN,
    )
