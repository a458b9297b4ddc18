"""Keeps in mind which engines and stores hold which shared prompts.

The load pattern: many requests share a long prompt, and what one engine has
read another can fetch for a hundredth of the cost.

Examples:
    >>> holdings = Holdings(capacity_tokens=20_000)
    >>> holdings.touch("e1", key=7, tokens=13_000, now=1.0)
    >>> holdings.holds("e1", 7), holdings.holds("e2", 7)
    (True, False)
    >>> holdings.touch("e1", key=8, tokens=13_000, now=2.0)
    >>> holdings.holds("e1", 7), holdings.find_newest(8, ["e1", "e2"])
    (False, 'e1')
"""

import collections
from collections.abc import Iterable


class Holdings:
    """What each engine is believed to hold, least recently used first.

    Args:
        capacity_tokens: Tokens of shared prompts that an engine keeps.
    """

    def __init__(self, capacity_tokens: int):
        self.capacity_tokens = capacity_tokens
        self._held: dict[str, collections.OrderedDict[int, tuple[int, float]]]
        self._held = {}
        self._tokens: dict[str, int] = {}

    def touch(self, engine: str, key: int, tokens: int, now: float) -> None:
        """Notes that an engine holds a prompt and used it."""
        held = self._held.setdefault(engine, collections.OrderedDict())
        former = held.pop(key, None)
        total = self._tokens.get(engine, 0) + tokens
        if former is not None:
            total -= former[0]
        held[key] = (tokens, now)
        while total > self.capacity_tokens and len(held) > 1:
            _, (dropped, _) = held.popitem(last=False)
            total -= dropped
        self._tokens[engine] = total

    def holds(self, engine: str, key: int) -> bool:
        """Returns whether an engine is believed to hold a prompt."""
        return key in self._held.get(engine, ())

    def find_newest(self, key: int, engines: Iterable[str]) -> str | None:
        """Returns the engine that used a prompt last."""
        found = [
            (self._held[engine][key][1], engine)
            for engine in engines
            if self.holds(engine, key)
        ]
        return max(found)[1] if found else None

    def forget(self, engine: str) -> None:
        """Forgets an engine that began anew or dropped its cache."""
        self._held.pop(engine, None)
        self._tokens.pop(engine, None)
