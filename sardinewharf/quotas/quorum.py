"""Tells soon whether a gateway is cut off from most of the others.

Digests are too few for that. While it matters, some gateways that are chosen
anew each time are probed at short intervals, and most have to respond.
"""

from collections.abc import Collection
import math
import random

from sardinewharf.quotas import directory as directory_lib
from sardinewharf.quotas import presence as presence_lib

# Shortest time between two rounds of probes, in seconds; responses come within
# it.
_ROUND_S = 0.2
# Gateways that are probed in a round, and share of them that has to respond.
_SAMPLE = 8
_MAJORITY = 0.5
# Rounds go on for this long after they were last required, in seconds.
_REQUIRED_S = 0.5


class Quorum:
    """Probes samples of the other gateways.

    Args:
        name: Name of this gateway.
        directory: The registered gateways.
        peers: Sends the probes, and knows who responded.

    Attributes:
        lost_at: When most gateways were last found not to respond.
    """

    def __init__(
        self,
        name: str,
        directory: directory_lib.Directory,
        peers: presence_lib.PeerWatch,
    ):
        self._name = name
        self._directory = directory
        self._peers = peers
        self._random = random.Random(name)
        self._required_until = -math.inf
        self._probed: Collection[str] = ()
        self._probed_at = -math.inf
        self._has_lost = False
        self.lost_at = -math.inf
        self._was_confirmed = False

    def require(self, now: float) -> None:
        """Makes probes be sent for a while."""
        if now >= self._required_until:
            self._has_lost = False
            self._probed_at = -math.inf
        self._required_until = now + _REQUIRED_S
        self.advance(now)

    def is_reached(self, now: float) -> bool:
        """Returns whether most gateways responded, and makes them be probed.

        Probes are answered in a few ms. Until the first answers come, the last
        round counts, if there was one lately.
        """
        if now >= self._required_until:
            self._was_confirmed = False
        self.require(now)
        if self._is_confirmed():
            self._was_confirmed = True
        return self._was_confirmed and not self._has_lost

    def has_lost(self, now: float) -> bool:
        """Returns whether most gateways of the last round did not respond."""
        return self._has_lost and now < self._required_until

    def advance(self, now: float) -> None:
        """Ends a round and begins the next, when it is time."""
        round_s = self._peers.find_timeout(_ROUND_S)
        if now >= self._required_until or now - self._probed_at < round_s:
            return
        if now - self._probed_at < 3 * round_s:
            self._has_lost = not self._is_confirmed()
        if self._has_lost:
            self.lost_at = now
        self._probed_at = now
        self._probed = self._choose(now)
        for name in self._probed:
            self._peers.probe(name, now)

    def _is_confirmed(self) -> bool:
        """Returns whether most of the probed gateways have responded."""
        if not self._probed:
            return True
        heard = sum(
            self._peers.find_last_heard(name) > self._probed_at
            for name in self._probed
        )
        # This gateway counts, too: it matters if there are few.
        if len(self._probed) < _SAMPLE:
            return heard + 1 > (len(self._probed) + 1) * _MAJORITY
        return heard > len(self._probed) * _MAJORITY

    def _choose(self, now: float) -> list[str]:
        others = self._peers.list_present(now)
        return self._random.sample(others, min(_SAMPLE, len(others)))
