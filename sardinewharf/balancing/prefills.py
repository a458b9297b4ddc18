"""Lets one request read a cold shared prompt while others wait for it.

The load pattern: right after new weights, or when a prompt turns hot, several
requests ask for the same prompt before anyone has read it. Each would read it
again; the second one is served as soon by waiting for the first.

Examples:
    >>> prefills = PrefillTable()
    >>> prefills.begin(7, "e1", now=0.0)
    >>> prefills.find_prefill_engine(7, now=0.1)
    'e1'
    >>> prefills.end(7, "e1")
    >>> prefills.find_prefill_engine(7, now=0.1) is None
    True
"""

import dataclasses

# A read that has not ended by then is taken for lost, in seconds.
_PREFILL_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Prefill:
    engine: str
    started_at: float
    owner: str


class PrefillTable:
    """Shared prompts that engines are reading now."""

    def __init__(self) -> None:
        self._prefills: dict[int, _Prefill] = {}

    def begin(self, key: int, engine: str, now: float, owner: str = "") -> None:
        """Notes that an engine begins to read a prompt.

        Args:
            key: The prompt.
            engine: The engine.
            now: When it began.
            owner: The gateway that sent the request; empty for this one.
        """
        if self.find_prefill_engine(key, now) is None:
            self._prefills[key] = _Prefill(engine, now, owner)

    def list_own(self) -> list[tuple[int, str, float]]:
        """Returns key, engine and begin of this gateway's reads."""
        return [
            (key, prefill.engine, prefill.started_at)
            for key, prefill in self._prefills.items()
            if not prefill.owner
        ]

    def keep_only(self, owner: str, keys: set[int]) -> bool:
        """Forgets reads of a gateway that are over; returns if there were."""
        finished = [
            key
            for key, prefill in self._prefills.items()
            if prefill.owner == owner and key not in keys
        ]
        for key in finished:
            del self._prefills[key]
        return bool(finished)

    def end(self, key: int, engine: str) -> None:
        """Notes that an engine has read a prompt, or has failed to."""
        prefill = self._prefills.get(key)
        if prefill is not None and prefill.engine == engine:
            del self._prefills[key]

    def find_prefill_engine(self, key: int, now: float) -> str | None:
        """Returns the engine that reads a prompt; None if none does."""
        prefill = self._prefills.get(key)
        if prefill is None:
            return None
        if now - prefill.started_at > _PREFILL_TIMEOUT_S:
            del self._prefills[key]
            return None
        return prefill.engine
