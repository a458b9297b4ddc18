"""Leader leases: at most one process at a time acts as a leader."""

from sardinewharf.leases.leader_lease import KEY_PREFIX
from sardinewharf.leases.leader_lease import UNKNOWN_HOLDER
from sardinewharf.leases.leader_lease import LeaderLease
from sardinewharf.leases.leader_lease import LeaderLeaseSettings
from sardinewharf.leases.leader_lease import LeaseRecord
from sardinewharf.leases.leader_lease import decode_lease_record
from sardinewharf.leases.tenures import ActionAges
from sardinewharf.leases.tenures import Tenure
from sardinewharf.leases.tenures import TenureLog

__all__ = [
    "ActionAges",
    "KEY_PREFIX",
    "UNKNOWN_HOLDER",
    "LeaseRecord",
    "LeaderLease",
    "LeaderLeaseSettings",
    "Tenure",
    "TenureLog",
    "decode_lease_record",
]
