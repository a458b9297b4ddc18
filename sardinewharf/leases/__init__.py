"""Holds offices that one process has at a time, under a lease."""

from sardinewharf.leases.tenure import KEY_PREFIX
from sardinewharf.leases.tenure import Office
from sardinewharf.leases.tenure import Tenure
from sardinewharf.leases.tenure import TenureSettings
from sardinewharf.leases.tenure import decode_office

__all__ = ["KEY_PREFIX", "Office", "Tenure", "TenureSettings", "decode_office"]
