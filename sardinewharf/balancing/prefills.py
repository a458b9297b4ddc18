"""Lets one request prefill an uncached shared prompt while others wait for it.

The load pattern: right after new weights are loaded, or when a prompt becomes
popular, several requests need the same prompt before any engine has cached it.
Each would prefill it again, although a later request is served just as soon if
it waits for the first one.

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

# A prefill that has not ended after this time counts as lost.
_PREFILL_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Prefill:
    """A prefill in progress, its start and the gateway that caused it."""

    engine: str
    started_at: float
    owner: str


class PrefillTable:
    """Shared prompts that engines are prefilling now."""

    def __init__(self) -> None:
        self._prefills: dict[int, _Prefill] = {}

    def begin(self, key: int, engine: str, now: float, owner: str = "") -> None:
        """Records that an engine begins to prefill a prompt.

        A prompt that another engine is already prefilling keeps that engine.

        Args:
            key: Key of the prompt.
            engine: Engine that prefills it.
            now: Start of the prefill, on this process's monotonic clock.
            owner: Name of the gateway that sent the request; empty for this
                one.
        """
        if self.find_prefill_engine(key, now) is None:
            self._prefills[key] = _Prefill(engine, now, owner)

    def list_own(self) -> list[tuple[int, str, float]]:
        """Returns key, engine and start of this gateway's prefills."""
        return [
            (key, prefill.engine, prefill.started_at)
            for key, prefill in self._prefills.items()
            if not prefill.owner
        ]

    def keep_only(self, owner: str, keys: set[int]) -> bool:
        """Drops a gateway's prefills whose key is not listed.

        Args:
            owner: Name of the gateway.
            keys: Keys of the prefills that it still reports.

        Returns:
            Whether any prefill was dropped.
        """
        finished = [
            key
            for key, prefill in self._prefills.items()
            if prefill.owner == owner and key not in keys
        ]
        for key in finished:
            del self._prefills[key]
        return bool(finished)

    def end(self, key: int, engine: str) -> None:
        """Records that an engine has prefilled a prompt, or has failed to."""
        prefill = self._prefills.get(key)
        if prefill is not None and prefill.engine == engine:
            del self._prefills[key]

    def find_prefill_engine(self, key: int, now: float) -> str | None:
        """Returns the engine that is prefilling a prompt; None if none is."""
        prefill = self._prefills.get(key)
        if prefill is None:
            return None
        if now - prefill.started_at > _PREFILL_TIMEOUT_S:
            del self._prefills[key]
            return None
        return prefill.engine
