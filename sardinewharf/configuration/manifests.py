"""Manifest that lists the shards of the current configuration version.

When an operator confirms a plan, the manifest is replaced by compare-and-swap.
It is the only record that a new version overwrites.

Examples:
    >>> manifest = Manifest.EMPTY
    >>> Manifest.decode(manifest.encode()) == manifest
    True
    >>> Manifest.decode(b'{"version":1}')
    Traceback (most recent call last):
        ...
    sardinewharf.configuration.manifests.ManifestError: The manifest is \
damaged. Restore it from a live daemon with 'sardinewharf show'.
"""

import hashlib
from typing import ClassVar

import msgspec

from sardinewharf import decoding
from sardinewharf import ids

HISTORY_LENGTH = 128
_CHECKSUM_BYTES = 32


class ManifestError(ValueError):
    """The manifest is damaged, or one of its shards is missing."""


class Commit(msgspec.Struct, frozen=True):
    """A confirmed plan in the history.

    Attributes:
        version: Configuration version that the plan created.
        plan: Id of the plan.
        at: Wall-clock time of the commit, in seconds since the Unix epoch.
        operator: Name of the operator who confirmed it.
        changes: One line per change.
    """

    version: int
    plan: ids.PlanId
    at: float
    operator: str
    changes: tuple[str, ...] = ()


class Manifest(msgspec.Struct, frozen=True):
    """A configuration version, its shards and the latest commits.

    Attributes:
        version: Increases by one with each commit; 0 before the first.
        shards: Digest of each shard, by name.
        history: The latest commits, oldest first.
    """

    version: int
    shards: dict[str, str] = {}
    history: tuple[Commit, ...] = ()

    EMPTY: ClassVar["Manifest"]

    def encode(self) -> bytes:
        """Returns the SHA-256 checksum followed by the JSON of the manifest."""
        body = msgspec.json.encode(self)
        return hashlib.sha256(body).digest() + body

    @classmethod
    def decode(cls, data: bytes) -> "Manifest":
        """Decodes what ``encode`` returned.

        Raises:
            ManifestError: If the checksum does not match the content, or that
                is no manifest.
        """
        checksum, body = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
        if hashlib.sha256(body).digest() != checksum:
            raise ManifestError(
                "The manifest is damaged. Restore it from a live daemon"
                " with 'sardinewharf show'."
            )
        try:
            return decoding.decode_json(body, cls)
        except decoding.DecodeError as error:
            raise ManifestError(f"The manifest is invalid: {error}.") from error

    def find_plan(self, plan: ids.PlanId) -> Commit | None:
        """Returns the commit of a plan, or None if the history lacks it."""
        for commit in reversed(self.history):
            if commit.plan == plan:
                return commit
        return None

    def list_commits_after(self, version: int) -> tuple[Commit, ...]:
        """Returns the commits with a version above ``version``."""
        return tuple(c for c in self.history if c.version > version)


Manifest.EMPTY = Manifest(0)
