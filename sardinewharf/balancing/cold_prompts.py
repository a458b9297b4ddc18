"""Lets one request read a cold shared prompt while others wait for it.

The load pattern: right after new weights, or when a prompt turns hot, several
requests ask for the same prompt before anyone has read it. Each would read it
again; the second one is served as soon by waiting for the first.

Examples:
    >>> reads = ReadTable()
    >>> reads.begin(7, "e1", now=0.0)
    >>> reads.find_reader(7, now=0.1)
    'e1'
    >>> reads.end(7, "e1")
    >>> reads.find_reader(7, now=0.1) is None
    True
"""

import dataclasses

# A read that has not ended by then is taken for lost, in seconds.
_READ_LIMIT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    engine: str
    began: float
    owner: str


class ReadTable:
    """Shared prompts that engines are reading now."""

    def __init__(self) -> None:
        self._reads: dict[int, _Read] = {}

    def begin(self, key: int, engine: str, now: float, owner: str = "") -> None:
        """Notes that an engine begins to read a prompt.

        Args:
            key: The prompt.
            engine: The engine.
            now: When it began.
            owner: The gateway that sent the request; empty for this one.
        """
        if self.find_reader(key, now) is None:
            self._reads[key] = _Read(engine, now, owner)

    def list_own(self) -> list[tuple[int, str, float]]:
        """Returns key, engine and begin of this gateway's reads."""
        return [
            (key, read.engine, read.began)
            for key, read in self._reads.items()
            if not read.owner
        ]

    def keep_only(self, owner: str, keys: set[int]) -> bool:
        """Forgets reads of a gateway that are over; returns if there were."""
        over = [
            key
            for key, read in self._reads.items()
            if read.owner == owner and key not in keys
        ]
        for key in over:
            del self._reads[key]
        return bool(over)

    def end(self, key: int, engine: str) -> None:
        """Notes that an engine has read a prompt, or has failed to."""
        read = self._reads.get(key)
        if read is not None and read.engine == engine:
            del self._reads[key]

    def find_reader(self, key: int, now: float) -> str | None:
        """Returns the engine that reads a prompt; None if none does."""
        read = self._reads.get(key)
        if read is None:
            return None
        if now - read.began > _READ_LIMIT_S:
            del self._reads[key]
            return None
        return read.engine
