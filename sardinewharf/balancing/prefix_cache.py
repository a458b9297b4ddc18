"""Keeps in mind which engines and stores hold which shared prompts.

The load pattern: many requests share a long prompt, and what one engine has
read another can fetch for a hundredth of the cost.

Examples:
    >>> index = PrefixCacheIndex(capacity_tokens=20_000)
    >>> index.touch("e1", key=7, tokens=13_000, now=1.0)
    >>> index.holds("e1", 7), index.holds("e2", 7)
    (True, False)
    >>> index.touch("e1", key=8, tokens=13_000, now=2.0)
    >>> index.holds("e1", 7), index.find_most_recent(8, ["e1", "e2"])
    (False, 'e1')
"""

import collections
from collections.abc import Iterable


class PrefixCacheIndex:
    """What each engine is believed to hold, least recently used first.

    Args:
        capacity_tokens: Tokens of shared prompts that an engine keeps.
    """

    def __init__(self, capacity_tokens: int):
        self.capacity_tokens = capacity_tokens
        self._cached: dict[str, collections.OrderedDict[int, tuple[int, float]]]
        self._cached = {}
        self._tokens: dict[str, int] = {}

    def touch(self, engine: str, key: int, tokens: int, now: float) -> None:
        """Notes that an engine holds a prompt and used it."""
        cached = self._cached.setdefault(engine, collections.OrderedDict())
        previous = cached.pop(key, None)
        total = self._tokens.get(engine, 0) + tokens
        if previous is not None:
            total -= previous[0]
        cached[key] = (tokens, now)
        while total > self.capacity_tokens and len(cached) > 1:
            _, (dropped_tokens, _) = cached.popitem(last=False)
            total -= dropped_tokens
        self._tokens[engine] = total

    def holds(self, engine: str, key: int) -> bool:
        """Returns whether an engine is believed to hold a prompt."""
        return key in self._cached.get(engine, ())

    def find_most_recent(self, key: int, engines: Iterable[str]) -> str | None:
        """Returns the engine that used a prompt last."""
        found = [
            (self._cached[engine][key][1], engine)
            for engine in engines
            if self.holds(engine, key)
        ]
        return max(found)[1] if found else None

    def forget(self, engine: str) -> None:
        """Forgets an engine that began anew or dropped its cache."""
        self._cached.pop(engine, None)
        self._tokens.pop(engine, None)
