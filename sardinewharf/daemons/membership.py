"""Tracks which daemons are live, by heartbeats exchanged in gossip.

Examples:
    >>> table = MemberTable(_example_member("a"), heartbeat_timeout_s=10.0)
    >>> table.merge(_example_member("b", heartbeat=5), now=0.0)
    >>> [m.daemon for m in table.list_live(now=9.0)]
    ['a', 'b']
    >>> table.merge(_example_member("b", heartbeat=5), now=9.0)
    >>> [m.daemon for m in table.list_live(now=11.0)]
    ['a']
"""

import dataclasses

from sardinewharf import ids

# Members are removed after this many heartbeat timeouts.
_FORGET_TIMEOUTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A daemon, as described by itself.

    Attributes:
        daemon: Its id.
        address: ``HOST:PORT`` where other daemons reach it.
        failure_domain: The failure domain in which it runs.
        started: When it started, in milliseconds since the epoch.
        heartbeat: Counter that it increments while it runs.
        configuration_version: Its active configuration version.
        is_draining: Whether it is shutting down.
    """

    daemon: ids.DaemonId
    address: str
    failure_domain: ids.FailureDomainId
    started: int
    heartbeat: int = 0
    configuration_version: int = 0
    is_draining: bool = False

    @property
    def recency(self) -> tuple[int, int]:
        """Key that orders descriptions of the same daemon, oldest first."""
        return (self.started, self.heartbeat)


class MemberTable:
    """The daemons that this one knows.

    Args:
        own: This daemon.
        heartbeat_timeout_s: A daemon is live until no new heartbeat has been
            received for this long.

    Attributes:
        own: This daemon's current description.
    """

    def __init__(self, own: Member, heartbeat_timeout_s: float):
        self.own = own
        self._heartbeat_timeout_s = heartbeat_timeout_s
        # The other daemons, each with the time of its last new heartbeat.
        self._members: dict[ids.DaemonId, tuple[Member, float]] = {}

    def merge(self, member: Member, now: float) -> None:
        """Records a received description, unless it is outdated."""
        if member.daemon == self.own.daemon:
            return
        known = self._members.get(member.daemon)
        if known is None or member.recency > known[0].recency:
            self._members[member.daemon] = (member, now)

    def advance_heartbeat(self, version: int, is_draining: bool) -> None:
        """Increments this daemon's heartbeat and updates its description."""
        self.own = dataclasses.replace(
            self.own,
            heartbeat=self.own.heartbeat + 1,
            configuration_version=version,
            is_draining=is_draining,
        )

    def list_live(self, now: float) -> list[Member]:
        """Returns the live daemons, including this one, in order of id."""
        self._forget(now)
        live = [
            member
            for member, at in self._members.values()
            if now - at <= self._heartbeat_timeout_s
        ]
        live.append(self.own)
        return sorted(live, key=lambda m: m.daemon)

    def list_same_domain(self, now: float) -> list[Member]:
        """Returns the live daemons of this daemon's failure domain."""
        own = self.own.failure_domain
        return [m for m in self.list_live(now) if m.failure_domain == own]

    def _forget(self, now: float) -> None:
        """Removes daemons without a new heartbeat for several timeouts."""
        limit = now - self._heartbeat_timeout_s * _FORGET_TIMEOUTS
        for daemon, (_, at) in list(self._members.items()):
            if at < limit:
                del self._members[daemon]


def _example_member(name: str, heartbeat: int = 0) -> Member:
    return Member(
        ids.DaemonId(name),
        "127.0.0.1:1",
        ids.FailureDomainId("fd1"),
        started=1,
        heartbeat=heartbeat,
    )
