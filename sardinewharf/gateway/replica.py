"""Holds a gateway's replica of the store, and when it was last confirmed."""

from collections.abc import Callable
from collections.abc import Iterable

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import leases
from sardinewharf import records
from sardinewharf.gateway import changes

# After an outage of the store, registrations that expired meanwhile are renewed
# within this time, in seconds, if their endpoint still runs.
_REREGISTRATION_S = 2.2
# Sources of an update that is read from the store itself.
LISTING_SOURCE = "listing"
WATCH_SOURCE = "watch"


def _ignore_suspect_change(change: changes.SuspectChange) -> None:
    """Does nothing; the default callback for suspects."""


class Replica:
    """A gateway's replica of configuration, endpoints and target versions.

    Args:
        log: Records the changes that are applied.
        rollout_tenures: Observes the holders of the leader lease for rolling
            updates.

    Attributes:
        configuration: The configuration of the highest version so far.
        registry: The endpoints.
        target_versions: Target versions of weights, and when they were set.
        members: Addresses of the gateways by name.
        member_domains: Failure domains of the gateways by name.
        rollout_leader: The gateway that holds the leader lease for rolling
            updates; empty if none does.
        rollout_tenures: When holders of that lease can have acted last.
        revision: Revision of the store that the replica reflects.
        is_filled: Whether the store was read since the start.
        on_suspect_change: Receives what the store holds of suspects; the
            replica keeps none of it.
    """

    def __init__(
        self,
        log: records.RecordSink,
        rollout_tenures: leases.TenureLog | None = None,
    ):
        self._log = log
        self.rollout_tenures = rollout_tenures or leases.TenureLog("", 0.0)
        self.configuration = catalog.Configuration()
        self.registry = fleet.Registry()
        self.target_versions = fleet.TargetVersionTable()
        self.members: dict[str, str] = {}
        self.member_domains: dict[str, str] = {}
        self.rollout_leader = ""
        self.revision = 0
        self.is_filled = False
        self.on_suspect_change: Callable[[changes.SuspectChange], None] = (
            _ignore_suspect_change
        )
        self._last_confirmed_at = float("-inf")
        # Endpoints without a registration that are kept until a deadline.
        self._expiring: dict[ids.EndpointId, clocks.Deadline] = {}
        self._reregistration_deadline = clocks.Deadline(float("-inf"))

    @property
    def last_confirmed_at(self) -> float:
        """When the replica was last confirmed to be current."""
        return self._last_confirmed_at

    def record_confirmation(self, at: float) -> None:
        """Records that the replica was current at a time."""
        self._last_confirmed_at = max(self._last_confirmed_at, at)

    def count_age(self) -> float:
        """Returns the seconds since the last confirmation."""
        return clocks.read_monotonic() - self._last_confirmed_at

    @property
    def reregistration_deadline(self) -> clocks.Deadline:
        """When the time to renew expired registrations ends."""
        return self._reregistration_deadline

    def round_age(self) -> float:
        """Returns the age for a log record, in seconds; -1 if not filled."""
        return round(self.count_age(), 3) if self.is_filled else -1.0

    def allow_reregistration(
        self, until: clocks.Deadline | None = None
    ) -> None:
        """Keeps endpoints without a registration for a time after an outage.

        Args:
            until: When those not registered again are removed; None for the
                time that is allowed after an outage that ends now.
        """
        if until is None:
            until = clocks.Deadline.after(_REREGISTRATION_S)
        self._reregistration_deadline = max(
            self._reregistration_deadline, until
        )

    def apply(
        self, change: changes.Change, since: float | None, source: str = ""
    ) -> None:
        """Applies a change.

        Args:
            change: The change.
            since: The earliest time at which it was made; None if unknown.
            source: Where it was read, for the log.
        """
        if isinstance(change, changes.ConfigurationChange):
            self._apply_configuration(change.configuration, source)
        elif isinstance(change, changes.TargetVersionChange):
            self._record_target_version(change, since)
        elif isinstance(change, changes.EndpointChange):
            self._put_endpoint(change.endpoint)
        elif isinstance(change, changes.EndpointRemoval):
            self._handle_missing_endpoint(change.id)
        elif isinstance(change, changes.LeaderChange):
            self._apply_leader(change, source)
        elif isinstance(change, changes.SuspectChange):
            self.on_suspect_change(change)
        elif change.address:
            self.members[change.name] = change.address
            self.member_domains[change.name] = change.failure_domain
        else:
            self.members.pop(change.name, None)

    def _apply_leader(self, change: changes.LeaderChange, source: str) -> None:
        """Applies a change of the leader lease.

        Only a watch returns all states of its record. Another gateway tells
        the last one, and states before it may have been left out.
        """
        self.rollout_leader = change.holder
        now = clocks.read_monotonic()
        if source == WATCH_SOURCE:
            self.rollout_tenures.observe(change.tenure, now)
        else:
            self.rollout_tenures.start(change.tenure, change.revision, now)

    def replace(
        self, listed: Iterable[changes.Change], revision: int = 0
    ) -> None:
        """Applies a full listing, and removes what is missing in it.

        Args:
            listed: The changes.
            revision: Revision of the store that was listed.
        """
        since = self._last_confirmed_at if self.is_filled else None
        endpoints: set[ids.EndpointId] = set()
        members: set[str] = set()
        self.rollout_leader = ""
        tenure = leases.Tenure()
        for change in listed:
            if isinstance(change, changes.LeaderChange):
                tenure = change.tenure
            self.apply(change, since, LISTING_SOURCE)
            if isinstance(change, changes.EndpointChange):
                endpoints.add(change.endpoint.id)
            elif isinstance(change, changes.MemberChange):
                members.add(change.name)
        for endpoint in self.registry.list_all():
            if endpoint.id not in endpoints:
                self._handle_missing_endpoint(endpoint.id)
        for name in set(self.members) - members:
            del self.members[name]
        # Changes may have been missed.
        self.rollout_tenures.start(tenure, revision, clocks.read_monotonic())
        self.is_filled = True

    def drop_expired(self) -> None:
        """Removes endpoints whose registration was not renewed in time."""
        for endpoint_id, deadline in list(self._expiring.items()):
            if deadline.is_past():
                del self._expiring[endpoint_id]
                self._remove_endpoint(endpoint_id)

    def _record_target_version(
        self, change: changes.TargetVersionChange, since: float | None
    ) -> None:
        slack = 0.0 if since is None else clocks.read_monotonic() - since
        if not self.target_versions.record(
            change.model, change.version, since, slack
        ):
            return
        self._log.write(
            records.events.TargetVersionSet(
                change.model, change.version, self.revision
            )
        )

    def _apply_configuration(
        self, configuration: catalog.Configuration, source: str
    ) -> None:
        former = self.configuration.version
        if configuration.version <= former:
            return
        self.configuration = configuration
        self._log.write(
            records.events.ConfigurationApplied(
                version=configuration.version,
                former=former,
                revision=self.revision,
                routes=len(configuration.routes),
                organisations=len(configuration.organisations),
                source=source,
                age_s=self.round_age(),
            )
        )

    def _put_endpoint(self, endpoint: fleet.Endpoint) -> None:
        self._expiring.pop(endpoint.id, None)
        if self.registry.find(endpoint.id) == endpoint:
            return
        self.registry.put(endpoint)
        self._log.write(
            records.events.EndpointRegistered(
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

    def _handle_missing_endpoint(self, endpoint_id: ids.EndpointId) -> None:
        """Removes an endpoint without a registration.

        After an outage of the store, it is removed only at the deadline for
        re-registration.
        """
        if self._reregistration_deadline.is_past():
            self._remove_endpoint(endpoint_id)
        elif endpoint_id not in self._expiring:
            self._expiring[endpoint_id] = self._reregistration_deadline
            self._log.write(
                records.events.EndpointLost(endpoint_id, True, self.revision)
            )
