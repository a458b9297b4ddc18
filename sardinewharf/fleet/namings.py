"""Remembers since when each version of a model's weights is wanted.

Examples:
    >>> namings = NamingTable()
    >>> namings.note("m", 2, at=0.0), namings.note("m", 3, at=8.0)
    (True, True)
    >>> namings.find_wanted("m"), namings.find_least("m", before=5.0)
    (3, 2)
    >>> namings.find_replacement("m", 1), namings.find_replacement("m", 3)
    (0.0, None)

    A version whose time is not known was named long ago, for all that is
    known.

    >>> namings.note("n", 7, at=None)
    True
    >>> namings.find_least("n", before=0.0)
    7
    >>> namings.note_age("n", 7, at=4.0)
    >>> namings.find_least("n", before=0.0)
    0

    A gateway that was out of touch knows only that a version was named since.
    One that was in touch knows better.

    >>> namings.note("o", 2, at=1.0, slack=7.0)
    True
    >>> namings.note_age("o", 2, at=7.5, slack=0.2)
    >>> namings.find_time("o")
    7.5
    >>> namings.note_age("o", 2, at=1.0, slack=7.0)
    >>> namings.find_time("o")
    7.5
"""

import dataclasses

# Versions of a model that are kept in mind.
_MAX_VERSIONS = 6
# A time that is at most this much too early is good enough, in seconds.
_SLACK_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Naming:
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
    def is_sure(self) -> bool:
        """Whether its time is known well."""
        return self.slack <= _SLACK_S


class NamingTable:
    """Versions that were named, by model."""

    def __init__(self) -> None:
        self._named: dict[str, dict[int, Naming | None]] = {}

    def note(
        self, model: str, version: int, at: float | None, slack: float = 0.0
    ) -> bool:
        """Notes a version; returns whether it is new.

        Args:
            model: Name of the model.
            version: The version.
            at: When it was named, at the earliest; None if that is not known.
            slack: How much later it may have been, in seconds.
        """
        if version <= self.find_wanted(model):
            return False
        found = None if at is None else Naming(model, version, at, slack)
        self._add(model, version, found)
        return True

    def note_age(
        self, model: str, version: int, at: float, slack: float = 0.0
    ) -> None:
        """Takes in when another gateway heard of a version."""
        if version > self.find_wanted(model):
            # The store will tell, and then for certain.
            return
        told = Naming(model, version, at, slack)
        known = self._named.get(model, {}).get(version)
        if known is None or (told.is_sure and not known.is_sure):
            self._add(model, version, told)
        elif told.is_sure == known.is_sure:
            self._add(model, version, min(known, told, key=lambda n: n.at))

    def find_wanted(self, model: str) -> int:
        """Returns the newest version; 0 if none was named."""
        return max(self._named.get(model, {0: None}))

    def find_time(self, model: str) -> float | None:
        """Returns when the newest version was named; None if unknown."""
        found = self._named.get(model, {}).get(self.find_wanted(model))
        return None if found is None else found.at

    def find_least(self, model: str, before: float) -> int:
        """Returns the newest version that was named before a time."""
        old = [
            version
            for version, naming in self._named.get(model, {}).items()
            if naming is None or naming.at <= before
        ]
        return max(old, default=0)

    def find_replacement(self, model: str, version: int) -> float | None:
        """Returns when a version was first replaced; None if it was not."""
        later = [
            float("-inf") if naming is None else naming.at
            for other, naming in self._named.get(model, {}).items()
            if other > version
        ]
        return min(later, default=None)

    def list_known(self) -> list[Naming]:
        """Returns the versions whose time is known."""
        return [
            naming
            for versions in self._named.values()
            for naming in versions.values()
            if naming is not None
        ]

    def _add(self, model: str, version: int, naming: Naming | None) -> None:
        versions = self._named.setdefault(model, {})
        versions[version] = naming
        while len(versions) > _MAX_VERSIONS:
            del versions[min(versions)]
