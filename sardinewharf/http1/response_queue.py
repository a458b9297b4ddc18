"""Responses that are due on a connection, in the order of their requests."""

import collections
from collections.abc import Callable

from uvicorn.protocols.http import httptools_impl

from sardinewharf.http1 import callers

_Cycle = httptools_impl.RequestResponseCycle


class ResponseQueue:
    """The response that is due next, and those of the requests behind it.

    Args:
        pipeline: The requests that were parsed behind the one that is being
            answered, with their applications. The newest comes first.

    Attributes:
        caller: The caller's side of the connection.
        current: The request whose response is due next, or was sent last.
        is_delivering: Whether all of a response was sent by the application,
            and not all of it was taken by the socket.
        queued: The pipeline.
    """

    __slots__ = ("caller", "current", "is_delivering", "queued")

    def __init__(
        self,
        pipeline: collections.deque[tuple[_Cycle, Callable[..., object]]],
    ):
        self.queued = pipeline
        self.caller = callers.CallerSide()
        self.current: _Cycle | None = None
        self.is_delivering = False

    def is_outstanding(self) -> bool:
        """Returns whether a response is not complete, or not delivered."""
        current = self.current
        return self.is_delivering or (
            current is not None and not current.response_complete
        )

    def has_responded(self) -> bool:
        """Returns whether the response that is due was begun, or sent."""
        return self.current is not None and self.current.response_started

    def count_queued(self) -> None:
        """Tells the application how many requests are queued."""
        self.caller.queued_requests = len(self.queued)

    def count_held_bytes(self) -> int:
        """Returns the size of the bodies of the queued requests."""
        return sum(len(cycle.body) for cycle, _ in self.queued)

    def mark_last(self) -> None:
        """Makes the response to the newest request close the connection."""
        last = self.queued[0][0] if self.queued else self.current
        last.keep_alive = False

    def drop_last(self) -> None:
        """Drops the newest of the queued requests."""
        self.queued.popleft()
        self.count_queued()

    def clear(self) -> None:
        """Drops all queued requests."""
        self.queued.clear()
        self.count_queued()

    def notify_half_closed(self) -> None:
        """Tells the application that the caller closed its sending side."""
        self.caller.is_half_closed = True
        self.current.message_event.set()

    def disconnect(self) -> None:
        """Tells the application that the caller is gone."""
        self.current.disconnected = True
        self.current.message_event.set()
