"""Interface of the platform's key-value service.

A write has four outcomes. ``Written``, ``Conflict`` and ``Rejected`` are
definite: the write took effect, the key had another revision, or the service
did not apply the write. With ``WriteUnknown`` the response was lost, so that
the write may have taken effect and the key has to be read back.
"""

import abc
import dataclasses

from sardinewharf import clocks

KvAddress = str
NO_REVISION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A stored value.

    Attributes:
        value: The stored bytes, at most one megabyte.
        revision: Increases with each write to the key; at least 1.
    """

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The key has no value."""

    revision: int = NO_REVISION


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The service gave no usable response.

    Attributes:
        detail: The status or error that was received.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect.

    Attributes:
        revision: The key's new revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The key was at another revision; the write had no effect.

    Attributes:
        revision: Current revision of the key at the service.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The service did not apply the write.

    Attributes:
        detail: The reason, such as an exceeded rate limit.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The response was lost; the write may have taken effect.

    Attributes:
        detail: The status or error that was received.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease granted by the service.

    Attributes:
        lease: Id of the lease at the service.
        expires: When the lease ends by this process's clock. The time is
            counted from before the request was sent, so that the lease never
            ends earlier at the service.
    """

    lease: str
    expires: clocks.Deadline


ReadResult = Record | Absent | Unavailable
WriteResult = Written | Conflict | Rejected | WriteUnknown


class KeyValueStore(abc.ABC):
    """Client interface of the key-value service."""

    @abc.abstractmethod
    async def read(self, key: str, deadline: clocks.Deadline) -> ReadResult:
        """Returns the record of a key."""

    @abc.abstractmethod
    async def write(
        self,
        key: str,
        value: bytes,
        revision: int,
        deadline: clocks.Deadline,
        lease: str | None = None,
    ) -> WriteResult:
        """Stores ``value`` if the key is still at ``revision``.

        Args:
            key: The key; its parts are separated by slashes.
            value: At most one megabyte.
            revision: The expected revision; 0 for a key without a value.
            deadline: When to stop waiting for the response.
            lease: Lease with whose end the service deletes the value; None
                to keep it.
        """

    @abc.abstractmethod
    async def watch(
        self, key: str, revision: int, deadline: clocks.Deadline
    ) -> ReadResult:
        """Returns the record once its revision is above ``revision``.

        If it does not change before the deadline, the current record is
        returned.
        """

    @abc.abstractmethod
    async def grant_lease(
        self, seconds: float, deadline: clocks.Deadline
    ) -> Lease | Unavailable:
        """Returns a new lease that ends after ``seconds`` unless renewed."""

    @abc.abstractmethod
    async def renew_lease(
        self, lease: str, seconds: float, deadline: clocks.Deadline
    ) -> Lease | Unavailable:
        """Returns the lease, extended to end after ``seconds``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
