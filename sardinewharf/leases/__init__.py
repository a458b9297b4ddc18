"""Holds offices that one process has at a time, under a lease."""

from sardinewharf.leases.tenure import KEY_PREFIX
from sardinewharf.leases.tenure import Tenure
from sardinewharf.leases.tenure import TenureSettings

__all__ = ["KEY_PREFIX", "Tenure", "TenureSettings"]
