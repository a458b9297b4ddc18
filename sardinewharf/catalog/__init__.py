"""Holds what operators configured: routes, services, organisations, limits."""

from sardinewharf.catalog.configuration import Configuration
from sardinewharf.catalog.configuration import Limits
from sardinewharf.catalog.configuration import Organisation
from sardinewharf.catalog.routes import Route
from sardinewharf.catalog.routes import RouteKind
from sardinewharf.catalog.routes import Split
from sardinewharf.catalog.services import CacheStore
from sardinewharf.catalog.services import EngineSpec
from sardinewharf.catalog.services import Service

__all__ = [
    "CacheStore",
    "Configuration",
    "EngineSpec",
    "Limits",
    "Organisation",
    "Route",
    "RouteKind",
    "Service",
    "Split",
]
