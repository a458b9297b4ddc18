"""Orders engines for a shared prompt in the same way at every gateway.

The order comes from rendezvous hashing, so that gateways agree without any
messages, and the loss of an engine moves only that engine's prompts.

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
    """Returns the members in the key's order of preference."""
    return sorted(
        members,
        key=lambda m: xxhash.xxh3_64_intdigest(f"{key}\0{m}".encode()),
        reverse=True,
    )
