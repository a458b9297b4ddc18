"""Estimates which engines have which shared prompts in their prefix cache.

The load pattern: many requests share a long prompt. What one engine has
computed, another can fetch for a hundredth of the cost.

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
    """Estimated cache content of each engine, least recently used first.

    Args:
        capacity_tokens: Tokens of shared prompts that an engine can cache.

    Attributes:
        capacity_tokens: The same; may be changed at any time.
    """

    def __init__(self, capacity_tokens: int):
        self.capacity_tokens = capacity_tokens
        self._cached: dict[str, collections.OrderedDict[int, tuple[int, float]]]
        self._cached = {}
        self._tokens: dict[str, int] = {}

    def touch(self, engine: str, key: int, tokens: int, now: float) -> None:
        """Records that an engine used a shared prompt and has it cached.

        Prompts beyond the capacity are dropped, least recently used first, but
        the prompt itself is kept even if it is larger than the capacity.
        """
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
        """Returns whether an engine probably has a prompt cached."""
        return key in self._cached.get(engine, ())

    def find_most_recent(self, key: int, engines: Iterable[str]) -> str | None:
        """Returns the engine that used a prompt most recently, if any."""
        found = [
            (self._cached[engine][key][1], engine)
            for engine in engines
            if self.holds(engine, key)
        ]
        return max(found)[1] if found else None

    def forget(self, engine: str) -> None:
        """Removes an engine that restarted or dropped its cache."""
        self._cached.pop(engine, None)
        self._tokens.pop(engine, None)
