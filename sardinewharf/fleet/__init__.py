"""Knows the endpoints of services, how busy they are and how they answer."""

from sardinewharf.fleet.endpoints import Endpoint
from sardinewharf.fleet.endpoints import EndpointState
from sardinewharf.fleet.health import HealthTable
from sardinewharf.fleet.loads import PREFILL_TOKENS_PER_MS
from sardinewharf.fleet.loads import EndpointLoad
from sardinewharf.fleet.loads import LoadTable
from sardinewharf.fleet.loads import RunningRequest
from sardinewharf.fleet.registry import Registry
from sardinewharf.fleet.target_versions import TargetVersionTable

__all__ = [
    "PREFILL_TOKENS_PER_MS",
    "Endpoint",
    "EndpointLoad",
    "EndpointState",
    "HealthTable",
    "LoadTable",
    "TargetVersionTable",
    "Registry",
    "RunningRequest",
]
