"""Holds offices that one process has at a time, under a lease."""

from sardinewharf.leases.leader_lease import KEY_PREFIX
from sardinewharf.leases.leader_lease import LeaderLease
from sardinewharf.leases.leader_lease import LeaderLeaseSettings
from sardinewharf.leases.leader_lease import LeaseRecord
from sardinewharf.leases.leader_lease import decode_lease_record

__all__ = [
    "KEY_PREFIX",
    "LeaseRecord",
    "LeaderLease",
    "LeaderLeaseSettings",
    "decode_lease_record",
]
