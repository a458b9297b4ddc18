"""Tracks which prompt parts the cache stores hold.

A deployment may have several cache stores. Each shared prompt belongs to one of
them, which all gateways choose alike, so that together the stores hold as many
prompts as their memories allow. While that store does not respond, the prompt
belongs to the next one in its order.

Examples:
    >>> table = CacheStoreTable()
    >>> table.set_addresses(["10.0.0.1:1", "10.0.0.2:1"])
    >>> table.choose(7) is None
    True
    >>> for index in table.list_all():
    ...     index.record_response()
    >>> first = table.choose(7)
    >>> table.is_first_choice(7, first)
    True
"""

from collections.abc import Iterable

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf.gateway import messages

# Caches hold complete blocks only, so up to this many tokens at the end of a
# part are not cached.
_BLOCK_TOKENS = 32
# A cache store that has not responded for this long is not used, in seconds.
_STORE_TIMEOUT_S = 2.5


class CacheStoreIndex:
    """Index of the prompt parts that one cache store holds.

    Args:
        address: ``IP:PORT`` of the cache store.

    Attributes:
        address: The same.
        is_watched: Whether this gateway watches the cache store itself.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_watched = False
        self._cached_tokens: dict[tuple[str, str], int] = {}
        self._last_response_at = float("-inf")

    @property
    def is_alive(self) -> bool:
        """Whether the cache store responded recently."""
        return self.count_age() is not None

    def record_response(self, age_s: float = 0.0) -> None:
        """Records that the cache store responded to this gateway or a peer.

        Args:
            age_s: How long ago it responded, in seconds.
        """
        at = clocks.read_monotonic() - age_s
        self._last_response_at = max(self._last_response_at, at)

    def count_age(self) -> float | None:
        """Returns the seconds since the last response; None if not alive."""
        age = clocks.read_monotonic() - self._last_response_at
        return age if age < _STORE_TIMEOUT_S else None

    def clear(self) -> None:
        """Removes all parts, after the cache store has restarted empty."""
        self._cached_tokens.clear()

    def put(self, scope: str, part_id: str, tokens: int) -> None:
        """Records that the cache store holds a part."""
        self._cached_tokens[scope, part_id] = tokens

    def drop(self, scope: str, part_id: str) -> None:
        """Records that the cache store has evicted a part."""
        self._cached_tokens.pop((scope, part_id), None)

    def holds(self, scope: str, prompt: messages.Prompt) -> bool:
        """Returns whether the cache store holds a prompt's shared parts."""
        return all(
            self._cached_tokens.get((scope, part.id), -1)
            >= part.tokens - _BLOCK_TOKENS
            for part in prompt.shared
        )


class CacheStoreTable:
    """The indexes of all cache stores of the configuration."""

    def __init__(self) -> None:
        self._indexes: dict[str, CacheStoreIndex] = {}

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Sets the stores; what was learned of other addresses is forgotten."""
        self._indexes = {
            address: self._indexes.get(address) or CacheStoreIndex(address)
            for address in addresses
        }

    def find(self, address: str) -> CacheStoreIndex | None:
        """Returns the index of the store at an address, if it is one."""
        return self._indexes.get(address)

    def list_all(self) -> list[CacheStoreIndex]:
        """Returns the indexes of all stores."""
        return list(self._indexes.values())

    def choose(self, key: int) -> CacheStoreIndex | None:
        """Returns the store that a shared prompt belongs to now.

        Args:
            key: Key of the shared prompt; 0 if it has none.

        Returns:
            The first store in the prompt's order that responds; None if none
            does.
        """
        if not key:
            return None
        for address in self._rank(key):
            if self._indexes[address].is_alive:
                return self._indexes[address]
        return None

    def is_first_choice(self, key: int, index: CacheStoreIndex) -> bool:
        """Returns whether a prompt belongs to a store while all respond."""
        return self._rank(key)[0] == index.address

    def _rank(self, key: int) -> list[str]:
        if len(self._indexes) == 1:
            return list(self._indexes)
        return balancing.rank_preferred(f"{key:x}", self._indexes)
