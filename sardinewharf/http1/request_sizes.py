"""Sizes of the parts of a request while a server reads it."""

from sardinewharf.http1 import client

# Memory that a header takes as objects, beside its bytes.
_FIELD_OVERHEAD_BYTES = 200
# Up to this number headers are not counted as objects: they take no more than
# their connection.
_UNCOUNTED_FIELDS = 64


class TrailersTooLargeError(Exception):
    """The trailers of a request exceed their limit."""


class RequestProgress:
    """How far the request that is being read has come, and its sizes.

    Attributes:
        is_in_head: Whether a head has begun and is not complete.
        is_in_message: Whether a request has begun and is not complete.
        head_bytes: What was read of the latest head.
        body_bytes_left: What is still to come of a body whose length was
            stated.
        framing_bytes: Received of a chunked body since its latest data.
        drained_bytes: Data of a body that came after its response.
    """

    __slots__ = (
        "_field_bytes",
        "_messages_in_piece",
        "body_bytes_left",
        "drained_bytes",
        "framing_bytes",
        "head_bytes",
        "is_in_head",
        "is_in_message",
    )

    def __init__(self) -> None:
        self.is_in_head = False
        self.is_in_message = False
        self.head_bytes = 0
        self.body_bytes_left = 0
        self.framing_bytes = 0
        self.drained_bytes = 0
        # Size of the whole fields of a request's head and trailers.
        self._field_bytes = 0
        # Messages of which a part lies in the latest parsed piece.
        self._messages_in_piece = 0

    @property
    def is_in_body(self) -> bool:
        """Whether a head is complete and its body is not."""
        return self.is_in_message and not self.is_in_head

    def begin_piece(self, size: int) -> None:
        """Counts received bytes that are parsed next."""
        if self.is_in_head:
            self.head_bytes += size
        self._messages_in_piece = int(self.is_in_message)
        self.framing_bytes += size

    def begin_message(self) -> None:
        """Begins a head."""
        self.is_in_message = True
        self.is_in_head = True
        self.head_bytes = 0
        self._field_bytes = 0
        self._messages_in_piece += 1

    def end_head(self, url: bytes, headers: client.Headers) -> None:
        """Begins the body behind a complete head."""
        self.is_in_head = False
        self._field_bytes = _count_head_bytes(url, headers)
        self.framing_bytes = 0
        self.body_bytes_left = _find_body_length(headers)

    def end_response(self) -> None:
        """Begins to count what comes after a response."""
        self.drained_bytes = 0

    def add_body(self, size: int) -> None:
        """Counts data of a body."""
        self.framing_bytes = 0
        self.drained_bytes += size
        if self.body_bytes_left:
            self.body_bytes_left -= size

    def add_trailer(self, name: bytes, value: bytes, limit: int) -> None:
        """Counts a trailer.

        Args:
            name: Its name.
            value: Its value.
            limit: Maximum size of the head and the trailers together.

        Raises:
            TrailersTooLargeError: If they exceed the limit.
        """
        self._field_bytes += len(name) + len(value) + 4
        if self._field_bytes > limit:
            raise TrailersTooLargeError

    def end_message(self) -> None:
        """Ends a request that is complete."""
        self.is_in_message = False
        self.body_bytes_left = 0

    def drop_message(self) -> None:
        """Forgets a request whose rest will not come."""
        self.is_in_message = self.is_in_head = False

    def measure_head(
        self, piece_bytes: int, url: bytes, headers: client.Headers
    ) -> int:
        """Returns the size of a head that is not complete.

        Args:
            piece_bytes: Size of the piece that was parsed last.
            url: What was parsed of the target.
            headers: The headers that were parsed.
        """
        if not self.head_bytes:
            self.head_bytes = (
                piece_bytes
                if self._messages_in_piece == 1
                else _count_head_bytes(url, headers)
            )
        return self.head_bytes

    def count_held_bytes(self, headers: client.Headers) -> int:
        """Returns the memory that the head takes until the request is whole.

        Many headers are counted until then, for which a caller may take long.
        """
        size = self.head_bytes if self.is_in_head else 0
        if self.is_in_message and len(headers) > _UNCOUNTED_FIELDS:
            size += self._field_bytes
            size += len(headers) * _FIELD_OVERHEAD_BYTES
        return size


def _find_body_length(headers: client.Headers) -> int:
    """Returns the stated length of a body; the parser has checked it."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return 0


def _count_head_bytes(url: bytes, headers: client.Headers) -> int:
    r"""Returns the size of an incomplete head, as far as it was parsed.

    Examples:
        >>> _count_head_bytes(b"/a", [(b"host", b"h")])
        11
    """
    return len(url) + sum(len(n) + len(v) + 4 for n, v in headers)
