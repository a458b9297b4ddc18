"""Clients of the endpoints, and the directory of their reported state.

Endpoints are model engines and application servers.
"""

from sardinewharf.endpoints.applications import ApplicationCall
from sardinewharf.endpoints.applications import ApplicationResponse
from sardinewharf.endpoints.applications import ApplicationServer
from sardinewharf.endpoints.applications import HttpApplicationServer
from sardinewharf.endpoints.directory import Directory
from sardinewharf.endpoints.directory import Endpoint
from sardinewharf.endpoints.directory import EndpointState
from sardinewharf.endpoints.engine_http import HttpModelEngine
from sardinewharf.endpoints.engines import EngineRequest
from sardinewharf.endpoints.engines import EngineStream
from sardinewharf.endpoints.engines import ModelEngine
from sardinewharf.endpoints.engines import StreamHead
from sardinewharf.endpoints.failures import EndpointError
from sardinewharf.endpoints.failures import FailureKind
from sardinewharf.endpoints.frames import FrameChecker
from sardinewharf.endpoints.frames import SequenceError
from sardinewharf.endpoints.reports import CacheEvent
from sardinewharf.endpoints.reports import CacheEvents
from sardinewharf.endpoints.reports import LoadReport
from sardinewharf.endpoints.reports import Order

__all__ = [
    "ApplicationResponse",
    "ApplicationCall",
    "ApplicationServer",
    "CacheEvent",
    "CacheEvents",
    "Directory",
    "Endpoint",
    "EndpointError",
    "EndpointState",
    "EngineRequest",
    "EngineStream",
    "FailureKind",
    "FrameChecker",
    "HttpApplicationServer",
    "HttpModelEngine",
    "LoadReport",
    "ModelEngine",
    "Order",
    "SequenceError",
    "StreamHead",
]
