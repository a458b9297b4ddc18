"""Models the configuration: routes, services, organisations and limits."""

from sardinewharf.catalog.configuration import Configuration
from sardinewharf.catalog.configuration import Limits
from sardinewharf.catalog.configuration import Organisation
from sardinewharf.catalog.quotas import Quota
from sardinewharf.catalog.quotas import QuotaUnit
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
    "Quota",
    "QuotaUnit",
    "Route",
    "RouteKind",
    "Service",
    "Split",
]
