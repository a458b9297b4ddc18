"""Tells which gateways are heard, and whether they keep the quotas they own.

Digests come from each gateway now and then. They are too few to tell at once
that a gateway was killed, so that one that is about to act in the place of
another probes it.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import enum
import math

from sardinewharf.quotas import directory as directory_lib
from sardinewharf.quotas import messages
from sardinewharf.quotas import round_trips

# Time in which the gateways are counted that are heard, in seconds. Most of a
# fleet of 70 send a digest within it.
_HEARD_WINDOW_S = 2.0
# Interval of the rounds of digests, in seconds.
_ROUND_S = 0.2
# Share of the gateways that has to be heard; the others are fewer.
_MAJORITY = 0.5
# A gateway that was not heard for this long, in seconds, and so many times the
# mean interval of its digests, is taken for gone for good: it does not count
# for the majority.
_GONE_S = 30.0
_GONE_INTERVALS = 8.0
# If fewer than this share of the gateways were heard since, they all count:
# rather this one is cut off.
_MIN_PRESENT_SHARE = 0.7
# Two unanswered probes and at least this time since the first show that a
# gateway is silent, in seconds. A round trip takes 1 to 3 ms, but a slow
# machine tens.
_SILENT_S = 0.06
_SILENT_PROBES = 2
# Time between two probes, until the answer is known and from then on, in
# seconds.
_FIRST_PROBE_S = 0.025
_PROBE_S = 0.1
# For how long an answer to a probe counts, in seconds.
_ACTIVE_S = 0.15
_INACTIVE_S = 0.3
# An absence goes on if the gateway was heard, but found absent again within
# this time, in seconds.
_DOUBT_S = 1.0
# Without a message for so many times the mean interval of its digests, a
# gateway is silent without a probe.
_LONG_SILENT_INTERVALS = 6.0
_MIN_LONG_SILENT_S = 3.0
# Gateways that started up to this long before this one, in seconds, started
# together with it.
_START_TOGETHER_S = 2.5
_NEW_SHARE = 0.75
_MIN_HEARD_PEERS = 3


class Presence(enum.Enum):
    """Whether a gateway keeps the quotas that it owns."""

    ACTIVE = "active"
    ABSENT = "absent"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of a gateway; times are on the monotonic clock.

    Attributes:
        heard_at: When its last message came.
        started_at: When its process started, by the estimate that makes it the
            youngest.
        probed_at: When it was last probed.
        unanswered: Probes since its last message.
        unanswered_since: When the first of them was sent.
        active_at: When it last stated that it keeps its quotas.
        inactive_at: When it last stated that it does not.
        absent_since: Since when it has been absent, if it is.
        absent_at: When it was last found to be absent.
        is_silent: Whether it is absent by its silence, not by its statement,
            and was not heard since.
    """

    heard_at: float = -math.inf
    started_at: float = -math.inf
    probed_at: float = -math.inf
    unanswered: int = 0
    unanswered_since: float = math.inf
    active_at: float = -math.inf
    inactive_at: float = -math.inf
    absent_since: float = -math.inf
    absent_at: float = -math.inf
    is_silent: bool = False


class PeerWatch:
    """Watches the other gateways.

    Args:
        name: Name of this gateway.
        directory: The registered gateways.
        send: Sends a message to a gateway by its name.
        now: When this process started, on the monotonic clock.
        wall: The same by the time of day.
    """

    def __init__(
        self,
        name: str,
        directory: directory_lib.Directory,
        send: Callable[[str, messages.Message], None],
        now: float,
        wall: float,
    ):
        self._name = name
        self._directory = directory
        self._send = send
        self._started_at = now
        self._started_wall = wall
        self._peers: dict[str, _Peer] = {}
        self._round_trips = round_trips.RoundTripEstimator()

    def record_digest(
        self, sender: str, started_wall: float, number: int, now: float
    ) -> None:
        """Records a digest.

        Clocks of machines differ by seconds, and the number of a digest also
        counts other messages, so that each makes a peer seem older than it is.

        Args:
            sender: Its sender.
            started_wall: When the sender's process started, by its time of day.
            number: Number of the digest, which rises in each round.
            now: The time.
        """
        peer = self.record(sender, now)
        by_wall = self._started_at + started_wall - self._started_wall
        peer.started_at = max(by_wall, now - number * _ROUND_S)

    def record(self, sender: str, now: float) -> _Peer:
        """Records a message of a gateway, and returns what is known of it."""
        peer = self._peers.setdefault(sender, _Peer())
        peer.heard_at = now
        peer.unanswered = 0
        peer.unanswered_since = math.inf
        # Its next statement tells whether its absence has ended.
        peer.is_silent = False
        return peer

    def record_statement(
        self, sender: str, is_active: bool, now: float
    ) -> None:
        """Records whether a gateway states that it keeps its quotas."""
        former = self._peers.get(sender)
        if former is not None and former.unanswered:
            self._round_trips.record(now - former.unanswered_since)
        peer = self.record(sender, now)
        if is_active:
            peer.active_at = now
            peer.inactive_at = -math.inf
            peer.absent_at = -math.inf
        else:
            peer.inactive_at = now
            peer.active_at = -math.inf

    def find_timeout(self, shortest_s: float) -> float:
        """Returns how long to wait for the answer to a probe, in seconds."""
        return self._round_trips.find_timeout(shortest_s)

    def find_last_heard(self, name: str) -> float:
        """Returns when a gateway was last heard."""
        peer = self._peers.get(name)
        return -math.inf if peer is None else peer.heard_at

    def check(self, name: str, now: float) -> Presence:
        """Returns whether a gateway keeps its quotas, and probes it."""
        peer = self._peers.setdefault(name, _Peer())
        presence = self._judge(peer, now)
        if presence is Presence.ABSENT:
            self._record_absence(peer, now)
        interval_s = (
            _FIRST_PROBE_S if presence is Presence.UNKNOWN else _PROBE_S
        )
        if now - peer.probed_at >= interval_s:
            self.probe(name, now)
        return presence

    def _record_absence(self, peer: _Peer, now: float) -> None:
        """Records that a gateway is absent, and since when if that is new.

        One that restarts is heard before it states that it is not active, so
        that its absence goes on after a short doubt.
        """
        is_silent = now - peer.inactive_at > _INACTIVE_S
        if not peer.is_silent and now - peer.absent_at > _DOUBT_S:
            silent_since = min(
                now, peer.unanswered_since, self._find_long_silence(peer)
            )
            peer.absent_since = silent_since if is_silent else now
        peer.is_silent = is_silent
        peer.absent_at = now

    def probe(self, name: str, now: float) -> None:
        """Probes a gateway."""
        peer = self._peers.setdefault(name, _Peer())
        peer.probed_at = now
        peer.unanswered += 1
        peer.unanswered_since = min(peer.unanswered_since, now)
        self._send(name, messages.Probe(self._name))

    def find_absence(self, name: str) -> tuple[float, bool]:
        """Returns since when a gateway is absent, and whether it is silent."""
        peer = self._peers[name]
        return peer.absent_since, peer.is_silent

    def _judge(self, peer: _Peer, now: float) -> Presence:
        silent_s = self.find_timeout(_SILENT_S)
        # The next answer takes as long as a round trip.
        if now - peer.active_at <= _ACTIVE_S + silent_s - _SILENT_S:
            return Presence.ACTIVE
        if now - peer.inactive_at <= _INACTIVE_S:
            return Presence.ABSENT
        is_silent = (
            peer.unanswered >= _SILENT_PROBES
            and now - peer.unanswered_since >= silent_s
        )
        if is_silent or now >= self._find_long_silence(peer):
            return Presence.ABSENT
        return Presence.UNKNOWN

    def _find_long_silence(self, peer: _Peer) -> float:
        """Returns when a gateway is silent if it is not heard before."""
        limit_s = max(
            _MIN_LONG_SILENT_S,
            self._directory.digest_interval_s * _LONG_SILENT_INTERVALS,
        )
        return max(peer.heard_at, self._started_at) + limit_s

    def hears_majority(self, now: float) -> bool:
        """Returns whether most gateways are heard that are not gone for good.

        If not, this gateway is cut off from the others, and another may act in
        its place. The few that send no digest in a short time are estimated.
        """
        others = self.list_present(now)
        heard = len(self._list_heard_since(others, now - _HEARD_WINDOW_S))
        interval_s = max(_ROUND_S, self._directory.digest_interval_s)
        missed = (1.0 - _ROUND_S / interval_s) ** (_HEARD_WINDOW_S / _ROUND_S)
        present = min(heard / (1.0 - missed), float(len(others)))
        return (present + 1.0) > (len(others) + 1.0) * _MAJORITY

    def list_present(self, now: float) -> list[str]:
        """Returns the other gateways that are not gone for good."""
        others = [n for n in self._directory.members if n != self._name]
        interval_s = self._directory.digest_interval_s
        since = now - max(_GONE_S, interval_s * _GONE_INTERVALS)
        if since < self._started_at:
            return others
        heard = self._list_heard_since(others, since)
        is_cut_off = len(heard) < len(others) * _MIN_PRESENT_SHARE
        return others if is_cut_off else heard

    def is_fleet_new(self) -> bool:
        """Returns whether the other gateways started when this one did.

        A gateway that starts among others that have run for long takes quotas
        over from them. Some that start together take them over from nobody.
        """
        others = [n for n in self._directory.members if n != self._name]
        heard = [
            peer
            for name, peer in self._peers.items()
            if peer.started_at > -math.inf and name != self._name
        ]
        if len(heard) < min(_MIN_HEARD_PEERS, len(others)):
            return False
        since = self._started_at - _START_TOGETHER_S
        new = sum(peer.started_at >= since for peer in heard)
        return new >= len(heard) * _NEW_SHARE

    def _list_heard_since(
        self, names: Collection[str], since: float
    ) -> list[str]:
        return [n for n in names if self.find_last_heard(n) >= since]
