r"""Checks that the events of a stream belong to one attempt and are in order.

Each server-sent event of an engine begins with a line ``id: ATTEMPT/SEQUENCE``.
The checker removes that line and returns the rest for the caller.

Examples:
    >>> checker = FrameChecker("a")
    >>> checker.feed(b"id: a/0\ndata: x\n\nid: a/1\nda")
    b'data: x\n\n'
    >>> checker.feed(b"ta: [DONE]\n\n")
    b'data: [DONE]\n\n'
    >>> checker.is_done
    True
    >>> FrameChecker("a").feed(b"id: a/1\ndata: y\n\n")
    Traceback (most recent call last):
        ...
    sardinewharf.endpoints.frames.SequenceError: expected a/0, got 'id: a/1'
"""

# Longest sequence number.
_MAX_DIGITS = 18
_MAX_QUOTED_BYTES = 80
_SEPARATOR = b"\n\n"
_DONE = b"data: [DONE]"
_DONE_EVENT = _DONE + _SEPARATOR


class SequenceError(Exception):
    """An event is missing, or belongs to another stream."""


class FrameChecker:
    """Checks the events of one stream.

    Args:
        attempt: Id of the attempt that every event must have.
        sequence: Sequence number of the first event.

    Attributes:
        sequence: Sequence number of the next event.
        is_done: Whether the closing event was received.
    """

    def __init__(self, attempt: str, sequence: int = 0):
        self._id_prefix = b"id: %s/" % attempt.encode()
        self._attempt = attempt
        self._buffer = b""
        self.sequence = sequence
        self.is_done = False

    def feed(self, data: bytes) -> bytes:
        """Returns the complete events received so far, without their id lines.

        An incomplete event at the end of the data is kept for the next call.

        Raises:
            SequenceError: If an event is missing or belongs to another attempt.
        """
        if not self._buffer:
            id_line = b"%s%d\n" % (self._id_prefix, self.sequence)
            if (
                data.startswith(id_line)
                and data.find(_SEPARATOR) == len(data) - 2
            ):
                # Exactly one complete event, in order, is the usual case.
                self.sequence += 1
                payload = data[len(id_line) :]
                self.is_done = payload == _DONE_EVENT
                return payload
        data = self._buffer + data
        end = data.rfind(_SEPARATOR)
        if end < 0:
            self._buffer = data
            return b""
        self._buffer = data[end + 2 :]
        payloads = []
        sequence = self.sequence
        for event in data[:end].split(_SEPARATOR):
            id_line, _, payload = event.partition(b"\n")
            if id_line != b"%s%d" % (self._id_prefix, sequence):
                self._check_repeated(id_line, sequence)
                continue
            sequence += 1
            payloads.append(payload)
        self.sequence = sequence
        if payloads and payloads[-1] == _DONE:
            self.is_done = True
        payloads.append(b"")
        return _SEPARATOR.join(payloads)

    def _check_repeated(self, id_line: bytes, sequence: int) -> None:
        """Raises an error unless an event repeats an earlier one."""
        number = id_line[len(self._id_prefix) :]
        is_same_attempt = (
            id_line.startswith(self._id_prefix)
            and number.isdigit()
            and len(number) <= _MAX_DIGITS
        )
        if is_same_attempt and int(number) < sequence:
            return
        found = id_line[:_MAX_QUOTED_BYTES].decode(errors="replace")
        raise SequenceError(
            f"expected {self._attempt}/{sequence}, got {found!r}"
        )
