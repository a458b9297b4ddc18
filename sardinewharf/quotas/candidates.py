"""Chooses the gateways that are asked for tokens, in the order of their rank.

A gateway that did not respond is left out until it is heard again, since its VM
may be gone for good. One that keeps no quotas now is left out for a moment.
"""

from collections.abc import Callable
import math

from sardinewharf.quotas import directory as directory_lib
from sardinewharf.quotas import presence as presence_lib

# Gateways that are asked for one request.
_MAX_ASKED = 3
# A gateway that keeps no quotas now is asked again after this time, in seconds.
_INACTIVE_S = 0.3
# Time between two probes of a gateway that did not respond, in seconds.
_PROBE_S = 1.0


class Candidates:
    """Chooses the gateways that are asked for tokens.

    Args:
        directory: The configuration and the registered gateways.
        peers: Watches the other gateways.

    Attributes:
        on_silence: Called with the name of a gateway that did not respond.
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        peers: presence_lib.PeerWatch,
    ):
        self._directory = directory
        self._peers = peers
        # When gateways did not respond, and until when those are not asked that
        # keep no quotas.
        self._silent: dict[str, float] = {}
        self._inactive_until: dict[str, float] = {}
        self._probed_at = -math.inf
        self.on_silence: Callable[[str], None] = lambda name: None

    def list_usable(self, organisation: str, now: float) -> list[str]:
        """Returns the gateways to ask, in order."""
        return [
            name
            for name in self._directory.rank(organisation)
            if not self._is_silent(name)
            and now >= self._inactive_until.get(name, -math.inf)
        ][:_MAX_ASKED]

    def list_responsive(self, organisation: str) -> list[str]:
        """Returns the gateways that responded that they keep no quotas."""
        return [
            name
            for name in self._directory.rank(organisation)
            if name in self._inactive_until and not self._is_silent(name)
        ][:_MAX_ASKED]

    def record_silence(self, name: str, now: float) -> None:
        """Records that a gateway did not respond."""
        if name not in self._silent:
            self.on_silence(name)
        self._silent[name] = now

    def record_inactive(self, name: str, now: float) -> None:
        """Records that a gateway keeps no quotas."""
        self._inactive_until[name] = now + _INACTIVE_S

    def restore_before(self, organisation: str, name: str) -> None:
        """Makes the gateways of a better rank than one be asked again."""
        rank = list(self._directory.rank(organisation))
        for better in rank[: rank.index(name)] if name in rank else ():
            self._silent.pop(better, None)
            self._inactive_until.pop(better, None)

    def probe_silent(self, now: float) -> None:
        """Probes the gateways that did not respond, now and then."""
        if now - self._probed_at < _PROBE_S:
            return
        self._probed_at = now
        for name in list(self._silent):
            if name not in self._directory.members:
                del self._silent[name]
            elif self._is_silent(name):
                self._peers.probe(name, now)

    def _is_silent(self, name: str) -> bool:
        """Returns whether a gateway did not respond and was not heard since."""
        at = self._silent.get(name)
        if at is None:
            return False
        if self._peers.find_last_heard(name) > at:
            del self._silent[name]
            return False
        return True
