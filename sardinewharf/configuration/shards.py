"""Splits a document into content-addressed shards.

Each shard is to stay below the size limit of a value in the key-value service.
Organisations are distributed over buckets by the hash of their name, so that
a change to one of them rewrites only one small shard. Everything else is in
a single shard.

Examples:
    >>> from sardinewharf.configuration import documents
    >>> document = documents.Document(models=(documents.Model("m", "w1"),))
    >>> shards = split_document(document)
    >>> join_shards(shards) == document
    True
"""

from collections.abc import Iterable
import hashlib

import msgspec
import xxhash

from sardinewharf import decoding
from sardinewharf.configuration import documents

BASE_SHARD = "base"
_BUCKET_COUNT = 32


class Shard(msgspec.Struct, frozen=True):
    """A part of a document, stored as one value.

    Attributes:
        name: ``base``, or ``org-`` and the number of an organisation bucket.
        digest: SHA-256 of the content, in hex.
        content: The part, encoded as JSON.
    """

    name: str
    digest: str
    content: bytes


def make_shard(name: str, content: bytes) -> Shard:
    """Returns a shard with the digest of its content."""
    return Shard(name, hashlib.sha256(content).hexdigest(), content)


def split_document(document: documents.Document) -> tuple[Shard, ...]:
    """Returns the shards of a document, sorted by name."""
    buckets: dict[str, list[documents.Organisation]] = {}
    for organisation in document.organisations:
        bucket = (
            xxhash.xxh3_64_intdigest(organisation.name.encode()) % _BUCKET_COUNT
        )
        buckets.setdefault(f"org-{bucket:02d}", []).append(organisation)
    base = documents.Document(
        models=document.models,
        adapters=document.adapters,
        applications=document.applications,
    )
    shards = [make_shard(BASE_SHARD, msgspec.json.encode(base))]
    for name in sorted(buckets):
        members = sorted(buckets[name], key=lambda o: o.name)
        shards.append(make_shard(name, msgspec.json.encode(members)))
    return tuple(shards)


def join_shards(shards: Iterable[Shard]) -> documents.Document:
    """Returns the document of the shards, with organisations sorted by name.

    Raises:
        DecodeError: If a shard cannot be decoded.
    """
    base = documents.Document()
    organisations: list[documents.Organisation] = []
    for shard in shards:
        if shard.name == BASE_SHARD:
            base = decoding.decode_json(shard.content, documents.Document)
            continue
        organisations += decoding.decode_json(
            shard.content, list[documents.Organisation]
        )
    organisations.sort(key=lambda o: o.name)
    return msgspec.structs.replace(base, organisations=tuple(organisations))
