"""Admits or refuses requests by the configuration in force."""

import dataclasses

from sardinewharf import catalog
from sardinewharf import overload
from sardinewharf.gateway import freshness
from sardinewharf.gateway import messages
from sardinewharf.gateway import refusals
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib

# Requests are admitted until this long before a revoked key must be refused;
# the margin covers the time until they reach an endpoint, in seconds.
_REVOCATION_MARGIN_S = 0.8
_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The route and organisation of an admitted request.

    Attributes:
        route: The route.
        organisation: The caller's organisation; None on a public route.
    """

    route: catalog.Route
    organisation: catalog.Organisation | None

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, or empty on a public route."""
        return self.organisation.name if self.organisation else ""

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the highest."""
        if self.organisation is None or self.organisation.priority is None:
            return self.route.priority
        return self.organisation.priority

    @property
    def priority_pair(self) -> overload.PriorityPair:
        """Priorities of its organisation and of its route."""
        return overload.make_pair(self.route, self.organisation)


class AdmissionController:
    """Checks requests against the configuration.

    Args:
        replica: This gateway's replica of the store.
        guarantees: State how soon a revoked key must be refused, and a new
            configuration be in force.
    """

    def __init__(
        self, replica: replica_lib.Replica, guarantees: settings_lib.Guarantees
    ):
        self._replica = replica
        self._guarantees = guarantees
        self._max_unknown_age_s = freshness.split_guarantees(
            guarantees
        ).max_unknown_age_s

    def admit(self, headers: messages.CallerHeaders, path: str) -> Admitted:
        """Returns the request's route and organisation.

        Raises:
            RefusedError: If the request is not admitted.
        """
        if not self._replica.is_filled:
            raise _refuse_stale("no configuration was read yet")
        configuration = self._replica.configuration
        if not configuration.version:
            raise _refuse_stale("the store holds no configuration yet")
        route = configuration.find_route(headers.host, path)
        if route is None:
            if self._may_be_added_since():
                raise _refuse_stale(
                    "the route may be newer than this gateway's configuration"
                )
            raise refusals.refuse(
                refusals.Reason.NO_ROUTE, "no route matches this path"
            )
        if route.is_public or not configuration.organisations:
            return Admitted(route, None)
        if not self.is_current():
            age = self._replica.count_age()
            raise _refuse_stale(
                f"the configuration was current {age:.1f} s ago"
            )
        organisation = configuration.find_organisation(headers.key)
        if organisation is None:
            if self._may_be_added_since():
                raise _refuse_stale(
                    "the key may be newer than this gateway's configuration"
                )
            raise refusals.refuse(
                refusals.Reason.UNKNOWN_KEY, "send a key in force"
            )
        return Admitted(route, organisation)

    def _may_be_added_since(self) -> bool:
        """Returns whether a route or key may be newer than the replica."""
        return self._replica.count_age() > self._max_unknown_age_s

    def is_current(self) -> bool:
        """Returns whether the replica is fresh enough to check keys."""
        if not self._replica.is_filled:
            return False
        revoke_ms = self._guarantees.revoke_ms
        if revoke_ms is None:
            return True
        return (
            self._replica.count_age() < revoke_ms / 1000 - _REVOCATION_MARGIN_S
        )


def _refuse_stale(detail: str) -> refusals.RefusedError:
    """Returns a refusal because this gateway's configuration may be stale."""
    return refusals.refuse(refusals.Reason.NOT_CURRENT, detail, _RETRY_AFTER_S)
