"""Configures the leader lease for rolling updates."""

from sardinewharf import keyvalue
from sardinewharf import leases
from sardinewharf.gateway import changes
from sardinewharf.gateway import settings as settings_lib

# Durations of the leader lease for rolling updates.
_LEADER_LEASE_S = 2.0
_LEASE_EXPIRY_MARGIN_S = 0.7
_LEASE_RENEW_BEFORE_S = 1.4
_LEASE_CALL_TIMEOUT_S = 0.5


def make_rollout_lease(
    settings: settings_lib.GatewaySettings, store: keyvalue.PrefixStore
) -> leases.LeaderLease:
    """Returns a gateway's lease; it is not acquired."""
    return leases.LeaderLease(
        store,
        changes.ROLLOUT_LEASE,
        settings.name,
        leases.LeaderLeaseSettings(
            lease_s=_LEADER_LEASE_S,
            expiry_margin_s=_LEASE_EXPIRY_MARGIN_S,
            renew_before_s=_LEASE_RENEW_BEFORE_S,
            call_timeout_s=_LEASE_CALL_TIMEOUT_S,
            handover_pause_s=settings.guarantees.handover_pause_ms / 1000,
        ),
    )
