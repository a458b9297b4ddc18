"""Leader leases: at most one process at a time acts as a leader."""

from sardinewharf.leases.leader_lease import KEY_PREFIX
from sardinewharf.leases.leader_lease import UNKNOWN_HOLDER
from sardinewharf.leases.leader_lease import LeaderLease
from sardinewharf.leases.leader_lease import LeaderLeaseSettings
from sardinewharf.leases.leader_lease import LeaseRecord
from sardinewharf.leases.leader_lease import decode_lease_record

__all__ = [
    "KEY_PREFIX",
    "UNKNOWN_HOLDER",
    "LeaseRecord",
    "LeaderLease",
    "LeaderLeaseSettings",
    "decode_lease_record",
]
