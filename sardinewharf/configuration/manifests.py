"""Names the shards of each configuration version.

The manifest is the one record that is swapped when operators confirm a plan.

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

from sardinewharf import ids

HISTORY_LENGTH = 128
_CHECKSUM_BYTES = 32


class ManifestError(ValueError):
    """The manifest cannot be used."""


class Commit(msgspec.Struct, frozen=True):
    """One confirmed plan.

    Attributes:
        version: The version that it made.
        plan: The plan's id.
        at: Wall-clock time in seconds since the epoch.
        operator: Who confirmed.
        changes: Each change in one line.
    """

    version: int
    plan: ids.PlanId
    at: float
    operator: str
    changes: tuple[str, ...] = ()


class Manifest(msgspec.Struct, frozen=True):
    """A version of the configuration.

    Attributes:
        version: Rises by one with each commit; 0 before the first.
        shards: Digest of each shard, by name.
        history: The last commits, oldest first.
    """

    version: int
    shards: dict[str, str] = {}
    history: tuple[Commit, ...] = ()

    EMPTY: ClassVar["Manifest"]

    def encode(self) -> bytes:
        """Returns the manifest's bytes, led by their checksum."""
        body = msgspec.json.encode(self)
        return hashlib.sha256(body).digest() + body

    @classmethod
    def decode(cls, data: bytes) -> "Manifest":
        """Returns the manifest in ``data``.

        Raises:
            ManifestError: If the checksum or the content is wrong.
        """
        checksum, body = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
        if hashlib.sha256(body).digest() != checksum:
            raise ManifestError(
                "The manifest is damaged. Restore it from a live daemon"
                " with 'sardinewharf show'."
            )
        return msgspec.json.decode(body, type=cls)

    def find_plan(self, plan: ids.PlanId) -> Commit | None:
        """Returns the commit of a plan, if it is in the history."""
        for commit in reversed(self.history):
            if commit.plan == plan:
                return commit
        return None

    def list_commits_after(self, version: int) -> tuple[Commit, ...]:
        """Returns the commits that came after a version."""
        return tuple(c for c in self.history if c.version > version)


Manifest.EMPTY = Manifest(0)
