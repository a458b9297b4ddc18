"""Reads the bodies of callers' requests into the memory that is left for them.

A body is counted before it is read if its length is stated, so that a request
for which there is no room is refused at once. If the memory is used up later,
the largest buffer is evicted, which may be the body of a request that is
being read, or of one that is running.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf import memory
from sardinewharf.gateway import endings
from sardinewharf.gateway import refusals
from sardinewharf.gateway import retry_times

_OUT_OF_MEMORY_DETAIL = "the memory for requests is used up"
_NO_TIME_DETAIL = "the deadline passed before the body had arrived"


class RequestBody:
    """The body of one request, from its first byte until it is answered.

    Args:
        account: Counts its bytes.
        unread: Ends the reading when the gateway exits.
    """

    def __init__(
        self, account: memory.MemoryAccount, unread: endings.UnreadBodies
    ):
        self._unread = unread
        self._reservation = account.open(memory.Use.REQUEST, self._evict)
        self._timeout: asyncio.Timeout | None = None
        self._on_eviction: Callable[[], None] | None = None

    @property
    def is_evicted(self) -> bool:
        """Whether it was evicted, as the memory is used up."""
        return self._reservation.is_evicted

    async def read(
        self,
        receive: endings.Receive,
        headers: http1.Headers,
        limit: int,
        deadline: clocks.Deadline,
    ) -> bytes | bytearray | None:
        """Returns the complete body; None if the caller disconnects before.

        Args:
            receive: The ASGI receive callable of the request.
            headers: Headers of the request.
            limit: Most bytes that it may have.
            deadline: When the request cannot be answered in time any more.

        Raises:
            RefusedError: If it is too large, comes too late or has no room.
            EndedError: If the gateway exits first.
        """
        stated_size = _read_stated_size(headers)
        if stated_size > limit:
            raise _refuse_as_too_large(limit)
        self._count(stated_size)
        # One block, since many small ones would leave gaps between them when
        # they are freed.
        body = bytearray(stated_size)
        size = 0
        while True:
            message = await self._receive(receive, deadline)
            if message["type"] == "http.disconnect":
                return None
            chunk = message["body"]
            begin, size = size, size + len(chunk)
            if size > limit:
                raise _refuse_as_too_large(limit)
            if size > stated_size:
                self._count(size)
            body[begin:size] = chunk
            if not message["more_body"]:
                return body

    def call_when_evicted(self, on_eviction: Callable[[], None]) -> None:
        """Sets what ends the running request if its body is evicted."""
        self._on_eviction = on_eviction

    def close(self) -> None:
        """Ends the count; called when the request was answered."""
        self._reservation.close()

    async def _receive(
        self, receive: endings.Receive, deadline: clocks.Deadline
    ) -> Mapping[str, object]:
        """Returns the next message of the caller.

        Raises:
            RefusedError: If the body is evicted, or the deadline passes.
            EndedError: If the gateway exits first.
        """
        timeout = asyncio.timeout_at(deadline.at)
        self._timeout = timeout
        try:
            return await self._unread.wait_for(receive, timeout)
        except TimeoutError as error:
            raise self._refuse_as_late() from error
        finally:
            self._timeout = None

    def _refuse_as_late(self) -> refusals.RefusedError:
        if self.is_evicted:
            return refuse_for_memory()
        return refusals.refuse(
            refusals.Reason.NO_TIME, _NO_TIME_DETAIL, retry_times.choose_soon()
        )

    def _count(self, size: int) -> None:
        if not self._reservation.resize(size):
            raise refuse_for_memory()

    def _evict(self) -> None:
        if self._timeout is not None:
            self._timeout.reschedule(clocks.read_monotonic())
        elif self._on_eviction is not None:
            self._on_eviction()


def refuse_for_memory() -> refusals.RefusedError:
    """Returns the exception that refuses a request for which there is no room.

    It has not run.
    """
    return refusals.refuse(
        refusals.Reason.OUT_OF_MEMORY,
        _OUT_OF_MEMORY_DETAIL,
        retry_times.choose_soon(),
    )


def _refuse_as_too_large(limit: int) -> refusals.RefusedError:
    return refusals.refuse(
        refusals.Reason.TOO_LARGE, f"send at most {limit} bytes"
    )


def _read_stated_size(headers: http1.Headers) -> int:
    """Returns the stated size of a body; 0 if it comes in chunks.

    Examples:
        >>> _read_stated_size([(b"host", b"h"), (b"content-length", b"12")])
        12
        >>> _read_stated_size([(b"transfer-encoding", b"chunked")])
        0
    """
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return 0
