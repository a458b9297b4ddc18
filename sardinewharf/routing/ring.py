"""Assigns preferred engines to each prefix, the same at every daemon.

See Also:
    ``router.Router``, which uses more preferred engines for a prefix in high
    demand.

References:
    Karger et al., "Consistent Hashing and Random Trees", STOC 1997.
"""

import bisect
from collections.abc import Iterable

import xxhash

_POINTS_PER_MEMBER = 48


class HashRing:
    """A consistent-hash ring.

    The cost of a lookup grows with the logarithm of the number of members,
    whereas rendezvous hashing would hash every member.

    Args:
        members: Names of the members.

    Examples:
        >>> ring = HashRing(["e1", "e2", "e3"])
        >>> ring.walk(b"prefix", 2) == HashRing(["e3", "e2", "e1"]).walk(
        ...     b"prefix", 2
        ... )
        True
        >>> len(ring.walk(b"prefix", 9))
        3
    """

    def __init__(self, members: Iterable[str]):
        points = []
        for member in members:
            for index in range(_POINTS_PER_MEMBER):
                text = f"{member}#{index}".encode()
                points.append((xxhash.xxh3_64_intdigest(text), member))
        points.sort()
        self._hashes = [point for point, _ in points]
        self._members = [member for _, member in points]
        self._size = len(set(self._members))

    def __len__(self) -> int:
        return self._size

    def walk(self, key: bytes, count: int) -> list[str]:
        """Returns up to ``count`` members that follow the key on the ring."""
        found: list[str] = []
        member_count = min(count, self._size)
        position = bisect.bisect(self._hashes, xxhash.xxh3_64_intdigest(key))
        while len(found) < member_count:
            member = self._members[position % len(self._members)]
            if member not in found:
                found.append(member)
            position += 1
        return found
