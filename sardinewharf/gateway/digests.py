"""Gives the messages that gateways send each other."""

import zlib

import msgspec

# Packing takes a fraction of a millisecond at this level.
_COMPRESSION_LEVEL = 1


class LoadUpdate(msgspec.Struct, array_like=True):
    """A gateway's work at an endpoint, in requests and prompt tokens."""

    endpoint: str
    running: int
    prompt_tokens: int
    held_tokens: int


class WeightsUpdate(msgspec.Struct, array_like=True):
    """The version of an engine's weights."""

    endpoint: str
    model: str
    version: int


class TargetVersionUpdate(msgspec.Struct, array_like=True):
    """Since when a version of a model's weights is wanted.

    Attributes:
        model: Name of the model.
        version: The version.
        age_ms: Since when, at the longest.
        slack_ms: How much shorter it may be.
    """

    model: str
    version: int
    age_ms: int
    slack_ms: int = 0


class PrefillUpdate(msgspec.Struct, array_like=True):
    """A shared prompt that an engine reads."""

    key: int
    incarnation: str
    age_ms: int


class CacheUseUpdate(msgspec.Struct, array_like=True):
    """A shared prompt that an engine used."""

    key: int
    incarnation: str
    tokens: int
    age_ms: int


class CrashUpdate(msgspec.Struct, array_like=True):
    """An endpoint that died while a request ran there."""

    fingerprint: bytes
    incarnation: str
    age_ms: int


class FeedEntry(msgspec.Struct, array_like=True):
    """A change of the store."""

    key: str
    value: bytes | None
    revision: int


def compress_entries(entries: list[FeedEntry]) -> bytes:
    """Returns changes in few bytes.

    Examples:
        >>> entries = [FeedEntry("a", b"1", 6)]
        >>> decompress_entries(compress_entries(entries)) == entries
        True
    """
    return zlib.compress(msgspec.msgpack.encode(entries), _COMPRESSION_LEVEL)


def decompress_entries(compressed: bytes) -> list[FeedEntry]:
    """Returns packed changes.

    Raises:
        msgspec.MsgspecError: If they are not changes.
        zlib.error: If they are not packed.
    """
    decompressed = zlib.decompress(compressed)
    return msgspec.msgpack.decode(decompressed, type=list[FeedEntry])


class FeedRequest(msgspec.Struct, array_like=True, tag=1):
    """Asks for the changes of the store after a revision.

    Attributes:
        number: Names the call, for its answer.
        revision: What the caller has seen.
    """

    number: int
    revision: int


class FeedResponse(msgspec.Struct, array_like=True, tag=2):
    """Tells of the store, in one or more datagrams.

    Attributes:
        number: The call's.
        revision: The store's revision that the sender has seen.
        age_ms: Since when that may be out of date.
        piece: A piece of all changes between, packed; None if they are too
            many or are not kept.
        doubt_ms: How long registrations that lapsed in an outage of the store
            may still come back.
        place: Place of the piece, from 0.
        pieces: Number of pieces.
    """

    number: int
    revision: int
    age_ms: int
    chunk: bytes | None
    reregistration_ms: int = 0
    chunk_index: int = 0
    chunk_count: int = 1


class Digest(msgspec.Struct, array_like=True, tag=0):
    """A gateway's news.

    Attributes:
        sender: Name of its VM.
        started: When its process started, in Unix milliseconds.
        number: Rises with each digest.
        revision: The store's revision that it has seen.
        loads: Its work at endpoints.
        rolling: Engines that it is about to order or has ordered.
        weights: Versions that engines showed it of late.
        deaths: Endpoints that died of requests.
        namings: Since when weights are wanted.
        is_leaving: Whether it is shutting down.
        reads: Shared prompts that engines read for it.
        uses: Shared prompts that engines used for it of late.
        store_age_ms: Since when it has heard nothing of the store of kept
            cache; None if it does not read its news.
    """

    sender: str
    started: int
    number: int
    revision: int
    loads: list[LoadUpdate] = []
    draining: list[str] = []
    weights: list[WeightsUpdate] = []
    crashes: list[CrashUpdate] = []
    target_versions: list[TargetVersionUpdate] = []
    is_leaving: bool = False
    prefills: list[PrefillUpdate] = []
    cache_uses: list[CacheUseUpdate] = []
    cache_store_age_ms: int | None = None


Message = Digest | FeedRequest | FeedResponse
