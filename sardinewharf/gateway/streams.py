r"""Splits a stream of server-sent events at the ends of events.

Only complete events are forwarded, so that a stream that breaks can be resumed
at another endpoint without a gap or a repetition.

Examples:
    >>> framer = EventFramer()
    >>> framer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> framer.last_id
    1
    >>> framer.feed(b"ta: b\n\n")
    b'id: 2\ndata: b\n\n'
    >>> framer.is_at_event_end
    True

References:
    WHATWG, "HTML Living Standard", section 9.2, Server-sent events.
"""

import re

from sardinewharf import http1

# Longer numbers are no ids.
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d{1,18})(?=[\r\n])")
# Ends of a line and of the blank line after it. CRLF and a blank line of CRLF
# end with the second.
_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_LINE_ENDS = b"\r\n"
_MAX_END_BYTES = 3
_FIRST_END = re.compile(rb"\n\n|\n\r\n|\r\r")
_DATA = re.compile(rb"(?:^|[\r\n])data[:\r\n]")

# Largest event that is buffered until it is complete.
_MAX_EVENT_BYTES = 1_048_576


class EventTooLargeError(Exception):
    """Raised if an event does not end within the largest size."""


class RepeatedEventError(http1.ResponseLostError):
    """Raised if a resumed stream begins with events that came before."""


class UnknownPositionError(http1.ResponseLostError):
    """Raised if a stream was resumed though it is not resumable."""


class EventFramer:
    """Extracts complete events from the chunks of a stream.

    Attributes:
        last_id: Id of the last complete event that has one; None before it.
    """

    def __init__(self) -> None:
        # Joined only when the event ends: a copy for each chunk would take time
        # that grows with the square of the event's size.
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        # Whether the next id is the first one of a resumed stream.
        self._is_resumed = False
        # Whether each stream so far was resumable when it broke off.
        self._has_position = True
        self._is_ordered = True
        self._ends_without_id = False
        self.last_id: int | None = None

    @property
    def is_at_event_end(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._pending

    @property
    def pending_bytes(self) -> int:
        """Bytes that are buffered of an incomplete event."""
        return self._pending_bytes

    @property
    def is_resumable(self) -> bool:
        """Whether ``last_id`` is the position of the last complete event.

        It is not if that event has data but no id, or if ids did not increase.
        """
        return self._is_ordered and not self._ends_without_id

    def feed(self, chunk: bytes) -> bytes:
        """Returns the events that are complete, and buffers the rest.

        Raises:
            EventTooLargeError: If an event is too large to be buffered.
            RepeatedEventError: If a resumed stream doesn't go on after the last
                event of the one before; no event is returned.
            UnknownPositionError: If a stream that is not resumable was resumed.
        """
        if not self._has_position:
            raise UnknownPositionError("the last event's id is not known")
        complete_events = self._take_complete_events(chunk)
        if self._pending_bytes > _MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"an event exceeds {_MAX_EVENT_BYTES} bytes"
            )
        if complete_events:
            self._record_ids(complete_events)
        return complete_events

    def _take_complete_events(self, chunk: bytes) -> bytes:
        """Returns the events that a chunk completes, and buffers the rest."""
        before = self._find_bytes_before()
        end = _find_last_end(before + chunk, len(before)) - len(before)
        if end <= 0:
            self._buffer(chunk)
            return b""
        complete_events = b"".join([*self._pending, chunk[:end]])
        self._drop_pending()
        self._buffer(chunk[end:])
        return complete_events

    def _find_bytes_before(self) -> bytes:
        """Returns what was buffered last, as far as an end may begin there."""
        before = b""
        for chunk in reversed(self._pending):
            before = chunk[1 - _MAX_END_BYTES :] + before
            if len(before) >= _MAX_END_BYTES - 1:
                break
        return before[1 - _MAX_END_BYTES :]

    def _buffer(self, chunk: bytes) -> None:
        if chunk:
            self._pending.append(chunk)
            self._pending_bytes += len(chunk)

    def _drop_pending(self) -> None:
        self._pending.clear()
        self._pending_bytes = 0

    def drop_partial_event(self) -> None:
        """Prepares for a resumed stream: drops a buffered event."""
        self._drop_pending()
        self._is_resumed = True
        self._has_position = self._has_position and self.is_resumable

    def _record_ids(self, complete_events: bytes) -> None:
        """Stores the ids of events, and whether the last event has one.

        Raises:
            RepeatedEventError: If a resumed stream repeats events.
        """
        match = None
        for match in _ID.finditer(complete_events):
            self._record_id(int(match.group(1)))
        if match is None:
            if _DATA.search(complete_events):
                self._ends_without_id = True
            return
        end = _FIRST_END.search(complete_events, match.end()).end()
        # A line begins at ``end``, so the byte before it ends one.
        self._ends_without_id = (
            end < len(complete_events)
            and _DATA.search(complete_events, end - 1) is not None
        )

    def _record_id(self, event_id: int) -> None:
        """Stores an event's id, and checks the first one after a break.

        Raises:
            RepeatedEventError: If a resumed stream repeats events.
        """
        is_repeated = self.last_id is not None and event_id <= self.last_id
        if self._is_resumed and is_repeated:
            raise RepeatedEventError(
                f"resumed at event {event_id}, not after {self.last_id}"
            )
        if is_repeated:
            self._is_ordered = False
        self._is_resumed = False
        self.last_id = event_id


def _find_last_end(data: bytes, start: int) -> int:
    """Returns the position after the last complete event, or 0.

    The first ``start`` bytes belong to an incomplete event.

    Blank lines after it belong to no event, and are not held back.
    """
    end = max(_find_end(data, mark) for mark in _EVENT_ENDS)
    if not end and start:
        return 0
    while end < len(data) and data[end] in _LINE_ENDS:
        end += 1
    return end


def _find_end(data: bytes, end: bytes) -> int:
    """Returns the position after the last occurrence of ``end``, or 0."""
    position = data.rfind(end)
    return 0 if position < 0 else position + len(end)
