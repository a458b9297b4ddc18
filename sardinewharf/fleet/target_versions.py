"""Keeps the target versions of model weights, and when each one was set.

Examples:
    >>> table = TargetVersionTable()
    >>> table.record("m", 2, at=0.0), table.record("m", 3, at=8.0)
    (True, True)
    >>> table.find_target("m"), table.find_version_before("m", before=5.0)
    (3, 2)
    >>> table.find_replaced_at("m", 1), table.find_replaced_at("m", 3)
    (0.0, None)

    A version of unknown time may have been set long ago, and counts as such.

    >>> table.record("n", 7, at=None)
    True
    >>> table.find_version_before("n", before=0.0)
    7
    >>> table.record_peer_time("n", 7, at=4.0)
    >>> table.find_version_before("n", before=0.0)
    0

    A gateway that lost contact with the store knows only that a version was
    set at some time since. A gateway that had contact knows it more precisely.

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

# Versions that are kept for each model.
_MAX_VERSIONS = 6
# Time by which an estimate may be too early and still count as precise.
_MAX_PRECISE_SLACK_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class TargetVersion:
    """A target version and the estimated time when it was set.

    Attributes:
        model: Name of the model.
        version: Version of its weights.
        at: Earliest monotonic time when it may have been set, in seconds.
        slack: Time by which it may have been set later, in seconds.
    """

    model: str
    version: int
    at: float
    slack: float = 0.0

    @property
    def is_precise(self) -> bool:
        """Whether the time is known precisely."""
        return self.slack <= _MAX_PRECISE_SLACK_S


class TargetVersionTable:
    """Target versions by model."""

    def __init__(self) -> None:
        self._versions: dict[str, dict[int, TargetVersion | None]] = {}

    def record(
        self, model: str, version: int, at: float | None, slack: float = 0.0
    ) -> bool:
        """Records a target version that was read from the store.

        Args:
            model: Name of the model.
            version: Version of its weights.
            at: Earliest time when it may have been set; None if unknown.
            slack: Time by which it may have been set later, in seconds.

        Returns:
            Whether it is newer than all versions known before.
        """
        if version <= self.find_target(model):
            return False
        entry = None if at is None else TargetVersion(model, version, at, slack)
        self._add(model, version, entry)
        return True

    def record_peer_time(
        self, model: str, version: int, at: float, slack: float = 0.0
    ) -> None:
        """Merges another gateway's estimate of when a version was set.

        A precise time replaces one that is not. Of two precise or two imprecise
        times the earlier one is kept.

        Args:
            model: Name of the model.
            version: Version of its weights.
            at: Earliest time when it may have been set.
            slack: Time by which it may have been set later, in seconds.
        """
        if version > self.find_target(model):
            # New versions are accepted only from the store.
            return
        reported = TargetVersion(model, version, at, slack)
        known = self._versions.get(model, {}).get(version)
        if known is None or (reported.is_precise and not known.is_precise):
            self._add(model, version, reported)
        elif reported.is_precise == known.is_precise:
            self._add(
                model, version, min(known, reported, key=lambda entry: entry.at)
            )

    def find_target(self, model: str) -> int:
        """Returns the target version of a model; 0 if none was set."""
        return max(self._versions.get(model, {0: None}))

    def find_target_time(self, model: str) -> float | None:
        """Returns when the target version was set; None if unknown."""
        entry = self._versions.get(model, {}).get(self.find_target(model))
        return None if entry is None else entry.at

    def find_version_before(self, model: str, before: float) -> int:
        """Returns the newest version that was set by ``before``; 0 if none."""
        eligible = [
            version
            for version, entry in self._versions.get(model, {}).items()
            if entry is None or entry.at <= before
        ]
        return max(eligible, default=0)

    def find_replaced_at(self, model: str, version: int) -> float | None:
        """Returns when a newer version than this one was first set.

        Returns:
            The time; None if there is no newer version, and minus infinity if
            the time is unknown.
        """
        later = [
            float("-inf") if entry is None else entry.at
            for other, entry in self._versions.get(model, {}).items()
            if other > version
        ]
        return min(later, default=None)

    def list_known(self) -> list[TargetVersion]:
        """Returns the versions for which the time is known."""
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
