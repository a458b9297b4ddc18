r"""Passes on whole events only, so that a broken stream can go on elsewhere.

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

_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d+)\r?\n")
_EVENT_END = b"\n\n"
_CRLF_EVENT_END = b"\r\n\r\n"


class EventFramer:
    """Cuts a stream of bytes between events.

    Attributes:
        last_id: Id of the last whole event; None before the first.
    """

    def __init__(self) -> None:
        self._pending = b""
        self.last_id: int | None = None

    @property
    def is_at_event_end(self) -> bool:
        """Whether no event is begun."""
        return not self._pending

    def feed(self, chunk: bytes) -> bytes:
        """Returns the whole events, and keeps what follows them."""
        data = self._pending + chunk
        end = max(
            _find_end(data, _EVENT_END),
            _find_end(data, _CRLF_EVENT_END),
        )
        complete_events, self._pending = data[:end], data[end:]
        for match in _ID.finditer(complete_events):
            self.last_id = int(match.group(1))
        return complete_events

    def drop_partial_event(self) -> None:
        """Forgets an event that was cut."""
        self._pending = b""


def _find_end(data: bytes, end: bytes) -> int:
    position = data.rfind(end)
    return 0 if position < 0 else position + len(end)
