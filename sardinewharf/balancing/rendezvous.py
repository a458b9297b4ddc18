"""Gives each shared prompt the same order of engines at every gateway.

Examples:
    >>> first = rank_preferred("part", ["e1", "e2"])
    >>> first == rank_preferred("part", ["e2", "e1"])
    True

References:
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    IEEE/ACM Transactions on Networking 6 (1), 1998.
"""

from collections.abc import Iterable

import xxhash


def rank_preferred(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members, the key's first home first."""
    return sorted(
        members,
        key=lambda m: xxhash.xxh3_64_intdigest(f"{key}\0{m}".encode()),
        reverse=True,
    )
