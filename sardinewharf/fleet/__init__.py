"""Tracks the endpoints of services, their load, health and weights."""

from sardinewharf.fleet.departures import DepartureTable
from sardinewharf.fleet.endpoints import Endpoint
from sardinewharf.fleet.endpoints import EndpointState
from sardinewharf.fleet.health import HealthTable
from sardinewharf.fleet.loads import EndpointLoad
from sardinewharf.fleet.loads import LoadTable
from sardinewharf.fleet.loads import RunningRequest
from sardinewharf.fleet.notices import NoticeTable
from sardinewharf.fleet.pauses import PauseTable
from sardinewharf.fleet.registry import Registry
from sardinewharf.fleet.reports import UNKNOWN_LOAD
from sardinewharf.fleet.reports import LoadReport
from sardinewharf.fleet.reports import ReportTable
from sardinewharf.fleet.target_versions import TargetVersionTable

__all__ = [
    "DepartureTable",
    "Endpoint",
    "EndpointLoad",
    "EndpointState",
    "HealthTable",
    "LoadReport",
    "LoadTable",
    "NoticeTable",
    "PauseTable",
    "ReportTable",
    "TargetVersionTable",
    "Registry",
    "RunningRequest",
    "UNKNOWN_LOAD",
]
