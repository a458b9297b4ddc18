"""Remembers since when each version of a model's weights is wanted.

Examples:
    >>> table = TargetVersionTable()
    >>> table.record("m", 2, at=0.0), table.record("m", 3, at=8.0)
    (True, True)
    >>> table.find_target("m"), table.find_version_before("m", before=5.0)
    (3, 2)
    >>> table.find_replaced_at("m", 1), table.find_replaced_at("m", 3)
    (0.0, None)

    A version whose time is not known was named long ago, for all that is
    known.

    >>> table.record("n", 7, at=None)
    True
    >>> table.find_version_before("n", before=0.0)
    7
    >>> table.record_peer_time("n", 7, at=4.0)
    >>> table.find_version_before("n", before=0.0)
    0

    A gateway that was out of touch knows only that a version was named since.
    One that was in touch knows better.

    >>> table.record("o", 2, at=1.0, slack=7.0)
    True
    >>> table.record_peer_time("o", 2, at=7.5, slack=0.2)
    >>> table.find_target_time("o")
    7.5
    >>> table.record_peer_time("o", 2, at=1.0, slack=7.0)
    >>> table.find_target_time("o")
    7.5
"""

import dataclasses

# Versions of a model that are kept in mind.
_MAX_VERSIONS = 6
# A time that is at most this much too early is good enough, in seconds.
_MAX_PRECISE_SLACK_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """When a version was named.

    Attributes:
        model: Name of the model.
        version: The version.
        at: When it was named, at the earliest.
        slack: How much later it may have been, in seconds.
    """

    model: str
    version: int
    at: float
    slack: float = 0.0

    @property
    def is_precise(self) -> bool:
        """Whether its time is known well."""
        return self.slack <= _MAX_PRECISE_SLACK_S


class TargetVersionTable:
    """Versions that were named, by model."""

    def __init__(self) -> None:
        self._versions: dict[str, dict[int, TargetVersion | None]] = {}

    def record(
        self, model: str, version: int, at: float | None, slack: float = 0.0
    ) -> bool:
        """Notes a version; returns whether it is new.

        Args:
            model: Name of the model.
            version: The version.
            at: When it was named, at the earliest; None if that is not known.
            slack: How much later it may have been, in seconds.
        """
        if version <= self.find_target(model):
            return False
        entry = None if at is None else TargetVersion(model, version, at, slack)
        self._add(model, version, entry)
        return True

    def record_peer_time(
        self, model: str, version: int, at: float, slack: float = 0.0
    ) -> None:
        """Takes in when another gateway heard of a version."""
        if version > self.find_target(model):
            # The store will tell, and then for certain.
            return
        reported = TargetVersion(model, version, at, slack)
        known = self._versions.get(model, {}).get(version)
        if known is None or (reported.is_precise and not known.is_precise):
            self._add(model, version, reported)
        elif reported.is_precise == known.is_precise:
            self._add(model, version, min(known, reported, key=lambda n: n.at))

    def find_target(self, model: str) -> int:
        """Returns the newest version; 0 if none was named."""
        return max(self._versions.get(model, {0: None}))

    def find_target_time(self, model: str) -> float | None:
        """Returns when the newest version was named; None if unknown."""
        entry = self._versions.get(model, {}).get(self.find_target(model))
        return None if entry is None else entry.at

    def find_version_before(self, model: str, before: float) -> int:
        """Returns the newest version that was named before a time."""
        eligible = [
            version
            for version, entry in self._versions.get(model, {}).items()
            if entry is None or entry.at <= before
        ]
        return max(eligible, default=0)

    def find_replaced_at(self, model: str, version: int) -> float | None:
        """Returns when a version was first replaced; None if it was not."""
        later = [
            float("-inf") if entry is None else entry.at
            for other, entry in self._versions.get(model, {}).items()
            if other > version
        ]
        return min(later, default=None)

    def list_known(self) -> list[TargetVersion]:
        """Returns the versions whose time is known."""
        return [
            entry
            for versions in self._versions.values()
            for entry in versions.values()
            if entry is not None
        ]

    def _add(
        self, model: str, version: int, entry: TargetVersion | None
    ) -> None:
        versions = self._versions.setdefault(model, {})
        versions[version] = entry
        while len(versions) > _MAX_VERSIONS:
            del versions[min(versions)]
