"""Defines claims on idempotency keys and the operations on them.

A claim is granted to one attempt only. It ends as completed, with the stored
response, or as released, if the request was certainly not sent. If the attempt
never reports its outcome, the outcome is unknown. The claim then stays in
force and is never granted to another attempt.

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
    """The state of a claim."""

    CLAIMED = 1
    COMPLETED = 2
    RELEASED = 3


class Action(enum.Enum):
    """The kinds of operations on an entry."""

    CLAIM = 1
    COMPLETE = 2
    RELEASE = 3


class KeptAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The stored response that repeats of a completed request receive.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: Bytes of the body; empty if it is stored separately.
        has_separate_body: Whether the body is stored under a key of its own.
    """

    status: int
    content_type: str
    body: bytes
    has_separate_body: bool = False


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """The claim on one idempotency key.

    Attributes:
        state: State of the claim.
        attempt: The attempt that holds the claim.
        body_digest: Digest of the request's body.
        at: Wall-clock time of the operation that wrote the entry, in seconds
            since the epoch.
        answer: The stored response, once the request is completed.
    """

    state: EntryState
    attempt: ids.AttemptId
    body_digest: bytes
    at: float
    answer: KeptAnswer | None = None


class Operation(msgspec.Struct, frozen=True):
    """A change of one entry, requested by an attempt.

    Attributes:
        action: Kind of the operation.
        key: Digest of the idempotency key.
        attempt: The attempt that requests the change.
        body_digest: Digest of the request's body.
        at: Wall-clock time in seconds since the epoch.
        answer: The response to store, for ``COMPLETE``.
    """

    action: Action
    key: bytes
    attempt: ids.AttemptId
    body_digest: bytes
    at: float
    answer: KeptAnswer | None = None


class Granted(msgspec.Struct, frozen=True, tag=True):
    """The attempt holds the claim and may dispatch its request."""


class Done(msgspec.Struct, frozen=True, tag=True):
    """The completion or release is recorded."""


class AlreadyClaimed(msgspec.Struct, frozen=True, tag=True):
    """Another attempt holds the claim and has not completed."""

    attempt: ids.AttemptId


class AlreadyCompleted(msgspec.Struct, frozen=True, tag=True):
    """The request has been completed, and its response is stored."""

    answer: KeptAnswer


class BodyDiffers(msgspec.Struct, frozen=True, tag=True):
    """The key belongs to a request with another body."""


class ClaimsUnavailable(msgspec.Struct, frozen=True, tag=True):
    """The operation was not recorded and will not take effect later."""

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
    """Returns the digest under which an idempotency key is claimed."""
    text = "\x00".join((organisation, application, key))
    return hashlib.sha256(text.encode()).digest()[:16]


def apply_operation(
    entries: MutableMapping[bytes, Entry], operation: Operation
) -> ClaimResult:
    """Applies an operation to the entries of a shard.

    Operations are idempotent, so that a write whose response was lost can be
    retried.
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
    """Grants a claim if the key is free or already held by the attempt."""
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
