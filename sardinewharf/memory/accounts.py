"""One limit for the bytes that a process buffers for all of its peers.

A limit for each buffer does not bound their sum, which grows with the number of
peers. The account bounds the sum: when it would be exceeded, the largest buffer
is evicted, so that peers with small ones are served beside it.

Examples:
    >>> account = MemoryAccount(100)
    >>> upload = account.open(Use.REQUEST, lambda: print("upload evicted"))
    >>> answer = account.open(Use.RESPONSE, lambda: print("answer evicted"))
    >>> upload.resize(80)
    True
    >>> answer.resize(30)
    upload evicted
    True
    >>> answer.resize(101)
    answer evicted
    False
    >>> account.held_bytes
    0

See Also:
    ``http1.client``, whose responses are counted; ``gateway.bodies`` for the
    bodies of requests.
"""

import collections
from collections.abc import Callable
import enum

# Share of a process's memory that buffers may take. The rest is for the
# program, for its tables, and for the copies that are made while a body is
# passed on.
_BUFFER_SHARE = 0.1


class Use(enum.Enum):
    """What a buffer holds.

    Attributes:
        REQUEST: The body of a caller's request.
        UNREAD_REQUEST: The part of a request that was received and not read
            yet: an incomplete head, or a request queued behind another.
        RESPONSE: The response of an endpoint, or a part of it.
        UNSENT_RESPONSE: What a caller has not read yet of its responses.
        CONTROL: The response to a call of the process's own.
    """

    REQUEST = "request"
    UNREAD_REQUEST = "unread_request"
    RESPONSE = "response"
    UNSENT_RESPONSE = "unsent_response"
    CONTROL = "control"


class Reservation:
    """The bytes that one buffer holds; made by ``MemoryAccount.open``.

    Attributes:
        size: Bytes that are counted.
        is_evicted: Whether the buffer was evicted.
    """

    __slots__ = ("_account", "_evict", "_use", "is_evicted", "size")

    def __init__(
        self,
        account: "MemoryAccount",
        use: Use,
        evict: Callable[[], None],
    ):
        # None once it is closed, and so is the callback: the owner refers to
        # this object, and would be kept until the garbage collector runs.
        self._account: MemoryAccount | None = account
        self._use = use
        self._evict: Callable[[], None] | None = evict
        self.size = 0
        self.is_evicted = False

    def resize(self, size: int) -> bool:
        """Counts a new size, and evicts the largest buffer if need be.

        Args:
            size: All bytes that the buffer holds now.

        Returns:
            Whether the buffer may be kept. If not, it was evicted.
        """
        account = self._account
        if account is None:
            return not self.is_evicted
        account.held_bytes += size - self.size
        self.size = size
        if account.held_bytes > account.capacity_bytes:
            account.make_room(self)
        return not self.is_evicted

    def grow(self, count: int) -> bool:
        """Counts further bytes; the same as ``resize`` otherwise."""
        return self.resize(self.size + count)

    def close(self) -> None:
        """Ends the count of a buffer that was freed; may be repeated."""
        if self._account is not None:
            self._account.remove(self)
            self._account = self._evict = None
            self.size = 0

    def evict(self) -> None:
        """Ends the count and tells the owner; called by the account."""
        notify_owner = self._evict
        self._account.count_eviction(self._use)
        self.is_evicted = True
        self.close()
        notify_owner()


class MemoryAccount:
    """Counts the bytes of all buffers of a process, and bounds their sum.

    Args:
        capacity_bytes: Most bytes that all buffers may hold together.

    Attributes:
        capacity_bytes: The same number.
        held_bytes: Bytes that all buffers hold now.
        evictions: Number of buffers that were evicted, by their use.
    """

    def __init__(self, capacity_bytes: int):
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        self.evictions: collections.Counter[Use] = collections.Counter()
        # In the order of their opening.
        self._reservations: dict[Reservation, None] = {}

    @property
    def free_bytes(self) -> int:
        """Bytes that can be taken without giving up a buffer."""
        return self.capacity_bytes - self.held_bytes

    def open(self, use: Use, evict: Callable[[], None]) -> Reservation:
        """Returns the reservation of a new, empty buffer.

        Args:
            use: What the buffer holds.
            evict: Frees the buffer and ends what it is for. It is called
                at most once, within any call of ``resize``.
        """
        reservation = Reservation(self, use, evict)
        self._reservations[reservation] = None
        return reservation

    def make_room(self, newest: Reservation) -> None:
        """Evicts the largest buffers until the rest is within the limit.

        Of several that are as large, the one that has just grown goes first:
        the others are nearer to their end.

        Args:
            newest: The reservation that has just grown.
        """
        while self.held_bytes > self.capacity_bytes:
            largest = max(
                self._reservations, key=lambda reservation: reservation.size
            )
            if newest.size >= largest.size:
                largest = newest
            largest.evict()

    def remove(self, reservation: Reservation) -> None:
        """Ends the count of a reservation; called by the reservation."""
        del self._reservations[reservation]
        self.held_bytes -= reservation.size

    def count_eviction(self, use: Use) -> None:
        """Counts an evicted buffer; called by its reservation."""
        self.evictions[use] += 1


def find_capacity(memory_mb: float) -> int:
    """Returns how many bytes the buffers of a process may hold together.

    Args:
        memory_mb: Memory that the process may use, in MB.

    Examples:
        >>> find_capacity(300.0)
        30000000
    """
    return int(memory_mb * 1e6 * _BUFFER_SHARE)
