"""Knows the endpoints of services, how busy they are and how they answer."""

from sardinewharf.fleet.endpoints import Endpoint
from sardinewharf.fleet.endpoints import EndpointState
from sardinewharf.fleet.health import HealthTable
from sardinewharf.fleet.loads import READ_TOKENS_PER_MS
from sardinewharf.fleet.loads import EndpointLoad
from sardinewharf.fleet.loads import LoadTable
from sardinewharf.fleet.loads import Work
from sardinewharf.fleet.namings import NamingTable
from sardinewharf.fleet.registry import Registry

__all__ = [
    "READ_TOKENS_PER_MS",
    "Endpoint",
    "EndpointLoad",
    "EndpointState",
    "HealthTable",
    "LoadTable",
    "NamingTable",
    "Registry",
    "Work",
]
