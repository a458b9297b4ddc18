"""Holds what a gateway believes, and since when it is known to be current."""

from collections.abc import Iterable

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import records
from sardinewharf.gateway import changes

# After an outage of the store, registrations that lapsed meanwhile come back
# within this time, in seconds, if their endpoint lives.
_REREGISTRATION_S = 2.2


class Replica:
    """A gateway's copy of configuration, endpoints and wanted weights.

    Args:
        log: Where changes of what is believed are written.

    Attributes:
        configuration: The newest configuration seen.
        registry: The endpoints.
        namings: Versions of weights that are wanted, and since when.
        members: Addresses of the gateways by name.
        member_domains: Failure domains of the gateways by name.
        roll_holder: The gateway that orders engines; empty if none does.
        revision: The store's revision that all this is at.
        is_filled: Whether the store was read since the start.
    """

    def __init__(self, log: records.RecordSink) -> None:
        self._log = log
        self.configuration = catalog.Configuration()
        self.registry = fleet.Registry()
        self.target_versions = fleet.NamingTable()
        self.members: dict[str, str] = {}
        self.member_domains: dict[str, str] = {}
        self.rollout_leader = ""
        self.revision = 0
        self.is_filled = False
        self._last_confirmed_at = float("-inf")
        self._lapsed: dict[ids.EndpointId, clocks.Deadline] = {}
        self._reregistration_deadline = clocks.Deadline(float("-inf"))

    @property
    def last_confirmed_at(self) -> float:
        """When the copy was last known to be current."""
        return self._last_confirmed_at

    def record_confirmation(self, at: float) -> None:
        """Notes that the copy was current at a time."""
        self._last_confirmed_at = max(self._last_confirmed_at, at)

    def count_age(self) -> float:
        """Returns the seconds since the copy was known to be current."""
        return clocks.read_monotonic() - self._last_confirmed_at

    @property
    def reregistration_deadline(self) -> clocks.Deadline:
        """Until when lapsed registrations may come back."""
        return self._reregistration_deadline

    def round_age(self) -> float:
        """Returns the age for a log line, in seconds; -1 if unknown."""
        return round(self.count_age(), 3) if self.is_filled else -1.0

    def allow_reregistration(
        self, until: clocks.Deadline | None = None
    ) -> None:
        """Notes that the store is back after an outage.

        Args:
            until: When what has not come back is gone; None for the time that
                an outage ending now allows.
        """
        if until is None:
            until = clocks.Deadline.after(_REREGISTRATION_S)
        self._reregistration_deadline = max(
            self._reregistration_deadline, until
        )

    def apply(self, change: changes.Change, now: float | None) -> None:
        """Takes in a change.

        Args:
            change: The change.
            now: When it was made, at the earliest; None if that is unknown.
        """
        if isinstance(change, changes.ConfigurationChange):
            self._apply_configuration(change.configuration)
        elif isinstance(change, changes.TargetVersionChange):
            self._record_target_version(change, now)
        elif isinstance(change, changes.EndpointChange):
            self._put_endpoint(change.endpoint)
        elif isinstance(change, changes.EndpointGone):
            self._lapse_endpoint(change.id)
        elif isinstance(change, changes.LeaderChange):
            self.rollout_leader = change.holder
        elif change.address:
            self.members[change.name] = change.address
            self.member_domains[change.name] = change.failure_domain
        else:
            self.members.pop(change.name, None)

    def replace(self, found: Iterable[changes.Change]) -> None:
        """Takes in a whole listing; what is missing in it is gone."""
        now = self._last_confirmed_at if self.is_filled else None
        endpoints: set[ids.EndpointId] = set()
        members: set[str] = set()
        self.rollout_leader = ""
        for change in found:
            self.apply(change, now)
            if isinstance(change, changes.EndpointChange):
                endpoints.add(change.endpoint.id)
            elif isinstance(change, changes.MemberChange):
                members.add(change.name)
        for endpoint in self.registry.list_all():
            if endpoint.id not in endpoints:
                self._lapse_endpoint(endpoint.id)
        for name in set(self.members) - members:
            del self.members[name]
        self.is_filled = True

    def drop_lapsed(self) -> None:
        """Forgets endpoints whose registration did not come back in time."""
        for endpoint_id, deadline in list(self._lapsed.items()):
            if deadline.is_past():
                del self._lapsed[endpoint_id]
                self._remove_endpoint(endpoint_id)

    def _record_target_version(
        self, change: changes.TargetVersionChange, now: float | None
    ) -> None:
        slack = 0.0 if now is None else clocks.read_monotonic() - now
        if not self.target_versions.note(
            change.model, change.version, now, slack
        ):
            return
        self._log.write(
            records.events.WeightsNamed(
                change.model, change.version, self.revision
            )
        )

    def _apply_configuration(self, found: catalog.Configuration) -> None:
        former = self.configuration.version
        if found.version <= former:
            return
        self.configuration = found
        self._log.write(
            records.events.ConfigurationApplied(
                version=found.version,
                former=former,
                revision=self.revision,
                routes=len(found.routes),
                organisations=len(found.organisations),
            )
        )

    def _put_endpoint(self, endpoint: fleet.Endpoint) -> None:
        self._lapsed.pop(endpoint.id, None)
        if self.registry.find(endpoint.id) == endpoint:
            return
        self.registry.put(endpoint)
        self._log.write(
            records.events.EndpointSeen(
                endpoint=endpoint.id,
                service=endpoint.service,
                address=endpoint.address,
                state=endpoint.state.value,
                started_ms=endpoint.started_ms,
                revision=self.revision,
            )
        )

    def _remove_endpoint(self, endpoint_id: ids.EndpointId) -> None:
        if self.registry.find(endpoint_id) is None:
            return
        self.registry.remove(endpoint_id)
        self._log.write(
            records.events.EndpointLost(endpoint_id, False, self.revision)
        )

    def _lapse_endpoint(self, endpoint_id: ids.EndpointId) -> None:
        if self._reregistration_deadline.is_past():
            self._remove_endpoint(endpoint_id)
        elif endpoint_id not in self._lapsed:
            self._lapsed[endpoint_id] = self._reregistration_deadline
            self._log.write(
                records.events.EndpointLost(endpoint_id, True, self.revision)
            )
