"""Describes claims and what may become of them.

A claim is granted to one attempt only. It ends completed, with the kept
answer, or released, when the request provably was not sent. A claim whose
attempt vanished stays claimed: its outcome is unknown, and it is never given
to another attempt.

Examples:
    >>> entries = {}
    >>> claim = Operation(Action.CLAIM, b"key", "attempt-1", b"body", at=1.0)
    >>> apply_operation(entries, claim)
    Granted()
    >>> other = Operation(Action.CLAIM, b"key", "attempt-2", b"body", at=2.0)
    >>> apply_operation(entries, other)
    AlreadyClaimed(attempt='attempt-1')
    >>> apply_operation(entries, claim)
    Granted()
"""

from collections.abc import MutableMapping
import enum
import hashlib

import msgspec

from sardinewharf import ids


class EntryState(enum.Enum):
    """Where a claim stands."""

    CLAIMED = 1
    COMPLETED = 2
    RELEASED = 3


class Action(enum.Enum):
    """What an operation does to an entry."""

    CLAIM = 1
    COMPLETE = 2
    RELEASE = 3


class KeptAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer that repeats of a completed request get.

    Attributes:
        status: HTTP status.
        content_type: The body's media type.
        body: The bytes, or empty if they are stored apart.
        has_separate_body: Whether the body has a record of its own.
    """

    status: int
    content_type: str
    body: bytes
    has_separate_body: bool = False


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """The claim on one key.

    Attributes:
        state: Where the claim stands.
        attempt: The attempt that holds it.
        body_digest: Digest of the request's body.
        at: Wall-clock time of the claim in seconds since the epoch.
        answer: The kept answer once it is completed.
    """

    state: EntryState
    attempt: ids.AttemptId
    body_digest: bytes
    at: float
    answer: KeptAnswer | None = None


class Operation(msgspec.Struct, frozen=True):
    """A change that an attempt wants of one entry.

    Attributes:
        action: What to do.
        key: Digest of the idempotency key.
        attempt: The attempt that asks.
        body_digest: Digest of the request's body.
        at: Wall-clock time in seconds since the epoch.
        answer: The answer to keep, for ``COMPLETE``.
    """

    action: Action
    key: bytes
    attempt: ids.AttemptId
    body_digest: bytes
    at: float
    answer: KeptAnswer | None = None


class Granted(msgspec.Struct, frozen=True, tag=True):
    """The claim is this attempt's; it may dispatch."""


class Done(msgspec.Struct, frozen=True, tag=True):
    """The completion or release is recorded."""


class AlreadyClaimed(msgspec.Struct, frozen=True, tag=True):
    """Another attempt holds the claim and has not completed."""

    attempt: ids.AttemptId


class AlreadyCompleted(msgspec.Struct, frozen=True, tag=True):
    """The request has run; its answer is kept."""

    answer: KeptAnswer


class BodyDiffers(msgspec.Struct, frozen=True, tag=True):
    """The key belongs to a request with another body."""


class ClaimsUnavailable(msgspec.Struct, frozen=True, tag=True):
    """The operation was not recorded, and never will be."""

    detail: str


class ClaimUnknown(msgspec.Struct, frozen=True, tag=True):
    """The operation may have been recorded."""

    detail: str


ClaimResult = (
    Granted
    | Done
    | AlreadyClaimed
    | AlreadyCompleted
    | BodyDiffers
    | ClaimsUnavailable
    | ClaimUnknown
)


def make_key_digest(organisation: str, application: str, key: str) -> bytes:
    """Returns the digest under which a key is claimed."""
    text = "\x00".join((organisation, application, key))
    return hashlib.sha256(text.encode()).digest()[:16]


def apply_operation(
    entries: MutableMapping[bytes, Entry], operation: Operation
) -> ClaimResult:
    """Applies an operation to the entries of a shard.

    Applying it again gives the same result, so that a write whose answer was
    lost can be tried again.
    """
    if operation.action is Action.CLAIM:
        return _claim(entries, operation)
    entry = entries.get(operation.key)
    is_own = entry is not None and entry.attempt == operation.attempt
    if operation.action is Action.RELEASE:
        if is_own and entry.state is EntryState.CLAIMED:
            del entries[operation.key]
        return Done()
    if entry is None or is_own:
        entries[operation.key] = Entry(
            EntryState.COMPLETED,
            operation.attempt,
            operation.body_digest,
            operation.at,
            operation.answer,
        )
    return Done()


def _claim(
    entries: MutableMapping[bytes, Entry], operation: Operation
) -> ClaimResult:
    entry = entries.get(operation.key)
    if entry is None:
        entries[operation.key] = Entry(
            EntryState.CLAIMED,
            operation.attempt,
            operation.body_digest,
            operation.at,
        )
        return Granted()
    if entry.body_digest != operation.body_digest:
        return BodyDiffers()
    if entry.state is EntryState.COMPLETED:
        return AlreadyCompleted(entry.answer)
    if entry.attempt == operation.attempt:
        return Granted()
    return AlreadyClaimed(entry.attempt)
