"""Client of the platform's list of VMs that run endpoints."""

from sardinewharf.inventory.listing import EndpointKind
from sardinewharf.inventory.listing import HttpVmList
from sardinewharf.inventory.listing import Vm
from sardinewharf.inventory.listing import VmList
from sardinewharf.inventory.listing import VmListUnavailableError
from sardinewharf.inventory.listing import VmState

__all__ = [
    "EndpointKind",
    "HttpVmList",
    "Vm",
    "VmList",
    "VmListUnavailableError",
    "VmState",
]
