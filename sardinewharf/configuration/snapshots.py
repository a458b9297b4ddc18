"""Immutable view of one configuration version, indexed for lookups."""

from collections.abc import Iterable
import hashlib

from sardinewharf import ids
from sardinewharf.configuration import documents
from sardinewharf.configuration import manifests
from sardinewharf.configuration import shards as shards_lib


class Snapshot:
    """One configuration version; immutable.

    Args:
        manifest: The manifest of the version.
        shards: All shards that the manifest lists.

    Raises:
        ManifestError: If a shard is missing or has another digest than the
            manifest lists.

    Examples:
        >>> Snapshot(manifests.Manifest.EMPTY, ()).version
        0
    """

    def __init__(
        self,
        manifest: manifests.Manifest,
        shards: Iterable[shards_lib.Shard],
    ):
        self.manifest = manifest
        self.shards = {shard.name: shard for shard in shards}
        self._check()
        self.document = shards_lib.join_shards(self.shards.values())
        self._organisations = {
            bytes.fromhex(key_hash): organisation
            for organisation in self.document.organisations
            for key_hash in organisation.key_hashes
        }
        self._models = {m.name: m for m in self.document.models}
        self._adapters = {a.name: a for a in self.document.adapters}
        self._applications = {a.name: a for a in self.document.applications}

    @property
    def version(self) -> int:
        """The version of the configuration."""
        return self.manifest.version

    def find_organisation(self, key: str) -> documents.Organisation | None:
        """Returns the organisation that owns an API key."""
        return self._organisations.get(hashlib.sha256(key.encode()).digest())

    def find_model(self, name: str) -> documents.Model | None:
        """Returns the model with this name."""
        return self._models.get(name)

    def find_adapter(self, name: str) -> documents.Adapter | None:
        """Returns the adapter with this name."""
        return self._adapters.get(name)

    def find_application(self, name: str) -> documents.Application | None:
        """Returns the application with this name."""
        return self._applications.get(name)

    def find_weights(self, name: str) -> ids.WeightsVersion | None:
        """Returns the target weights version of a model or an adapter."""
        item = self._models.get(name) or self._adapters.get(name)
        return item.weights if item else None

    def _check(self) -> None:
        """Checks that each shard is there and has the listed digest."""
        for name, digest in self.manifest.shards.items():
            shard = self.shards.get(name)
            if shard is None or shard.digest != digest:
                raise manifests.ManifestError(
                    f"Shard {name!r} is missing. Fetch it again."
                )
