"""Describes the platform's key-value service.

A write has four ends. ``Written`` and ``Conflict`` are certain. ``Rejected``
is certain too: the service did not apply the write. ``WriteUnknown`` says
that the answer was lost, so the write may have taken effect and has to be
read back.
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
        value: The bytes stored, at most one megabyte.
        revision: Rises with each write to the key; the first is 1 or more.
    """

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The key has no value."""

    revision: int = NO_REVISION


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The service gave no usable answer.

    Attributes:
        detail: What was seen.
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
    """The key's revision was another; the write had no effect.

    Attributes:
        revision: The key's revision at the service.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The service did not apply the write.

    Attributes:
        detail: What was seen, such as an exceeded rate.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The answer was lost; the write may have taken effect.

    Attributes:
        detail: What was seen.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease as granted by the service.

    Attributes:
        lease: The service's name of the lease.
        expires: Deadline on this process's clock, counted from before the
            request was sent, so that it is never later than the service's.
    """

    lease: str
    expires: clocks.Deadline


ReadResult = Record | Absent | Unavailable
WriteResult = Written | Conflict | Rejected | WriteUnknown


class KeyValueStore(abc.ABC):
    """The platform's key-value service, as the daemons use it."""

    @abc.abstractmethod
    async def read(self, key: str, deadline: clocks.Deadline) -> ReadResult:
        """Returns the record of ``key``."""

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
            key: The key, parted by slashes.
            value: At most one megabyte.
            revision: The expected revision; 0 for a key without a value.
            deadline: When to stop waiting for the answer.
            lease: The value vanishes when this lease ends.
        """

    @abc.abstractmethod
    async def watch(
        self, key: str, revision: int, deadline: clocks.Deadline
    ) -> ReadResult:
        """Returns the record once its revision is above ``revision``.

        At the deadline the record is returned as it is.
        """

    @abc.abstractmethod
    async def grant_lease(
        self, seconds: float, deadline: clocks.Deadline
    ) -> Lease | Unavailable:
        """Returns a new lease that ends after ``seconds``."""

    @abc.abstractmethod
    async def renew_lease(
        self, lease: str, seconds: float, deadline: clocks.Deadline
    ) -> Lease | Unavailable:
        """Returns the renewed lease."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
