"""Defines the messages that gateways send each other.

They are MessagePack arrays: the order of the fields and the tags are the
protocol, and the names of the fields are not sent.
"""

from typing import Annotated
import zlib

import msgspec

from sardinewharf import decoding
from sardinewharf import quotas

# Compression takes a fraction of a millisecond at this level.
_COMPRESSION_LEVEL = 1
# Largest size of the changes in a response, in bytes.
_MAX_FEED_BYTES = 4_194_304


class LoadUpdate(msgspec.Struct, array_like=True):
    """The load that a gateway puts on an endpoint.

    Attributes:
        endpoint: The endpoint's id.
        running: Requests sent there whose responses are not complete.
        prompt_tokens: Prompt tokens of those that still await prefill.
        held_tokens: Tokens of KV cache memory that they take.
    """

    endpoint: str
    running: decoding.Integer
    prompt_tokens: decoding.Integer
    held_tokens: decoding.Integer


class WeightsUpdate(msgspec.Struct, array_like=True):
    """The version of a model's weights that an engine has loaded."""

    endpoint: str
    model: str
    version: decoding.Integer


class TargetVersionUpdate(msgspec.Struct, array_like=True):
    """The time since a version of a model's weights became the target.

    Attributes:
        model: Name of the model.
        version: The version.
        age_ms: Upper bound of that time.
        slack_ms: By how much the time may be below the bound.
    """

    model: str
    version: decoding.Integer
    age_ms: decoding.Integer
    slack_ms: decoding.Integer = 0


class PrefillUpdate(msgspec.Struct, array_like=True):
    """A prefill of a shared prompt that is in progress at an engine.

    Attributes:
        key: Key of the shared prompt.
        incarnation: Incarnation of the engine.
        age_ms: Time since the prefill began.
    """

    key: int
    incarnation: str
    age_ms: decoding.Integer


class CacheUseUpdate(msgspec.Struct, array_like=True):
    """A shared prompt that a request used at an engine, which then caches it.

    Attributes:
        key: Key of the shared prompt.
        incarnation: Incarnation of the engine.
        tokens: Length of the shared prompt.
        age_ms: Time since the use.
    """

    key: int
    incarnation: str
    tokens: decoding.Integer
    age_ms: decoding.Integer


class CrashUpdate(msgspec.Struct, array_like=True):
    """An endpoint that crashed while it ran a request.

    Attributes:
        fingerprint: Empty; that of the suspect counts. Earlier versions sent it
            twice.
        incarnation: Incarnation of the endpoint.
        age_ms: Time since the request's connection was lost.
        runs: How often the request ran there at the time.
    """

    fingerprint: bytes
    incarnation: str
    age_ms: decoding.Integer
    runs: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1


class SuspectUpdate(msgspec.Struct, array_like=True):
    """A request or prompt part that ran on endpoints when they crashed.

    Attributes:
        fingerprint: Its fingerprint.
        seen_age_ms: Time since it last ran or was repeated.
        crashes: Its crashes.
        completed_age_ms: Time since it last completed; None if it did not.
        trials: Number of its trials since it was quarantined.
        trial_age_ms: Time since the last of them, or since its last run before;
            None if there was none.
    """

    fingerprint: bytes
    seen_age_ms: decoding.Integer
    crashes: list[CrashUpdate] = []
    completed_age_ms: decoding.Integer | None = None
    trials: decoding.Integer = 0
    trial_age_ms: decoding.Integer | None = None


class FeedEntry(msgspec.Struct, array_like=True):
    """A changed key of the store; the value is None if it was removed."""

    key: str
    value: bytes | None
    revision: decoding.Integer


def compress_entries(entries: list[FeedEntry]) -> bytes:
    """Returns changes in compressed form.

    Examples:
        >>> entries = [FeedEntry("a", b"1", 6)]
        >>> decompress_entries(compress_entries(entries)) == entries
        True
    """
    return zlib.compress(msgspec.msgpack.encode(entries), _COMPRESSION_LEVEL)


def decompress_entries(compressed: bytes) -> list[FeedEntry]:
    """Returns the changes that ``compress_entries`` compressed.

    Raises:
        DecodeError: If the data hold no list of changes.
    """
    with decoding.convert_errors():
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(compressed, _MAX_FEED_BYTES)
    if not decompressor.eof:
        raise decoding.DecodeError("the changes are cut off or too large")
    return decoding.decode_msgpack(decompressed, list[FeedEntry])


class FeedRequest(msgspec.Struct, array_like=True, tag=1):
    """Requests the changes of the store after a revision.

    Attributes:
        number: Identifies the request, also among those of the sender's former
            processes; the response repeats it.
        revision: Revision of the sender's replica of the store.
    """

    number: int
    revision: decoding.Integer


class FeedResponse(msgspec.Struct, array_like=True, tag=2):
    """Holds the changes of the store, or one of several chunks of them.

    Attributes:
        number: Number of the request.
        revision: Revision of the sender's replica of the store.
        age_ms: Time since that replica was last confirmed to be current.
        chunk: A chunk of the compressed changes between the two revisions;
            None if they are too large or no longer kept.
        reregistration_ms: Time left for registrations that expired in an
            outage of the store to be renewed.
        chunk_index: Index of the chunk, from 0.
        chunk_count: Number of chunks of the response.
        has_store_contact: Whether the sender's last update came from the store
            itself, not from another gateway.
    """

    number: int
    revision: decoding.Integer
    age_ms: decoding.Integer
    chunk: bytes | None
    reregistration_ms: decoding.Integer = 0
    chunk_index: decoding.Integer = 0
    chunk_count: decoding.Integer = 1
    has_store_contact: bool = True


class DrainUpdate(msgspec.Struct, array_like=True):
    """An engine that the sender drains, and for how long at most."""

    endpoint: str
    left_ms: decoding.Integer


class UrgentUpdate(msgspec.Struct, array_like=True, tag=3):
    """The part of a gateway's state that others need at once.

    Attributes:
        sender: Name of the gateway's VM.
        started: When its process started, in Unix milliseconds.
        number: Increases with each digest and update of the process.
        draining: Engines that it drains because it has ordered, or is about
            to order, them to load weights.
        weights: Versions of weights that engines reported to it just now.
        prefills: Prefills of shared prompts in progress for its requests.
        cache_uses: Shared prompts that its requests recently used.
        is_leaving: Whether it is shutting down.
    """

    sender: str
    started: decoding.Integer
    number: int
    draining: list[DrainUpdate] = []
    weights: list[WeightsUpdate] = []
    prefills: list[PrefillUpdate] = []
    cache_uses: list[CacheUseUpdate] = []
    is_leaving: bool = False


class LeaderAge(msgspec.Struct, array_like=True):
    """A leader of rolling updates, and when it can have acted last."""

    leader: str
    age_ms: decoding.Integer


class CacheStoreAge(msgspec.Struct, array_like=True):
    """The time since a cache store's last response to a gateway."""

    address: str
    age_ms: decoding.Integer


class Digest(msgspec.Struct, array_like=True, tag=0):
    """The state of a gateway that other gateways cannot observe themselves.

    Attributes:
        sender: Name of the gateway's VM.
        started: When its process started, in Unix milliseconds.
        number: Increases with each digest and update of the process.
        revision: Revision of its replica of the store.
        loads: Its load on endpoints.
        draining: Engines that it drains because it has ordered, or is about
            to order, them to load weights.
        weights: Versions of weights that engines recently reported to it.
        crashes: Not used since ``SuspectReport``; keeps the place of what
            earlier versions send.
        target_versions: Ages of the target versions of weights.
        is_leaving: Whether it is shutting down.
        prefills: Prefills of shared prompts in progress for its requests.
        cache_uses: Shared prompts that its requests recently used.
        cache_store_age_ms: Time since the cache store's last response to it;
            None if it does not read the cache store's updates, or has had no
            response for so long that the store counts as unresponsive. Of
            several stores it is the first that is neither.
        cache_store: ``IP:PORT`` of that cache store; empty if there is none.
        unknown_leader_age_ms: No leader of rolling updates acted since then
            but those in ``leader_ages``; None if nothing is known.
        leader_ages: When leaders can have acted last.
        more_cache_stores: The same as of the first one of further cache stores.
    """

    sender: str
    started: decoding.Integer
    number: int
    revision: decoding.Integer
    loads: list[LoadUpdate] = []
    draining: list[str] = []
    weights: list[WeightsUpdate] = []
    crashes: list[CrashUpdate] = []
    target_versions: list[TargetVersionUpdate] = []
    is_leaving: bool = False
    prefills: list[PrefillUpdate] = []
    cache_uses: list[CacheUseUpdate] = []
    cache_store_age_ms: decoding.Integer | None = None
    cache_store: str = ""
    unknown_leader_age_ms: decoding.Integer | None = None
    leader_ages: list[LeaderAge] = []
    more_cache_stores: list[CacheStoreAge] = []


class SuspectReport(msgspec.Struct, array_like=True, tag=4):
    """Requests and parts that ran on endpoints when they crashed, or some."""

    suspects: list[SuspectUpdate] = []


# The messages of quotas have the tags 5 to 8.
Message = (
    Digest
    | UrgentUpdate
    | FeedRequest
    | FeedResponse
    | SuspectReport
    | quotas.Message
)
