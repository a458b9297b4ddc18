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
"""

# Versions of a model that are kept in mind.
_MAX_VERSIONS = 6


class NamingTable:
    """Versions that were named, by model."""

    def __init__(self) -> None:
        self._named: dict[str, dict[int, float | None]] = {}

    def note(self, model: str, version: int, at: float | None) -> bool:
        """Notes a version, and when it was named; returns whether it is new."""
        if version <= self.find_wanted(model):
            return False
        self._add(model, version, at)
        return True

    def note_age(self, model: str, version: int, at: float) -> None:
        """Takes in when another gateway heard of a version."""
        if version > self.find_wanted(model):
            # The store will tell, and then for certain.
            return
        known = self._named.get(model, {}).get(version)
        self._add(model, version, at if known is None else min(known, at))

    def find_wanted(self, model: str) -> int:
        """Returns the newest version; 0 if none was named."""
        return max(self._named.get(model, {0: None}))

    def find_time(self, model: str) -> float | None:
        """Returns when the newest version was named; None if unknown."""
        return self._named.get(model, {}).get(self.find_wanted(model))

    def find_least(self, model: str, before: float) -> int:
        """Returns the newest version that was named before a time."""
        old = [
            version
            for version, at in self._named.get(model, {}).items()
            if at is None or at <= before
        ]
        return max(old, default=0)

    def find_replacement(self, model: str, version: int) -> float | None:
        """Returns when a version was first replaced; None if it was not."""
        later = [
            float("-inf") if at is None else at
            for other, at in self._named.get(model, {}).items()
            if other > version
        ]
        return min(later, default=None)

    def list_known(self) -> list[tuple[str, int, float]]:
        """Returns model, version and time of those whose time is known."""
        return [
            (model, version, at)
            for model, versions in self._named.items()
            for version, at in versions.items()
            if at is not None
        ]

    def _add(self, model: str, version: int, at: float | None) -> None:
        versions = self._named.setdefault(model, {})
        versions[version] = at
        while len(versions) > _MAX_VERSIONS:
            del versions[min(versions)]
