"""Sends requests to endpoints and relays their responses to the callers."""

from sardinewharf.relay.access import EngineAccess
from sardinewharf.relay.access import RelaySettings
from sardinewharf.relay.calls import CallRelay
from sardinewharf.relay.calls import CallRequest
from sardinewharf.relay.calls import CallResult
from sardinewharf.relay.models import ModelRelay
from sardinewharf.relay.pools import PoolTable
from sardinewharf.relay.requests import ModelRequest
from sardinewharf.relay.requests import ModelTarget
from sardinewharf.relay.streams import RelayedStream
from sardinewharf.relay.streams import read_text

__all__ = [
    "CallRelay",
    "CallRequest",
    "CallResult",
    "EngineAccess",
    "ModelRelay",
    "ModelRequest",
    "ModelTarget",
    "PoolTable",
    "RelaySettings",
    "RelayedStream",
    "read_text",
]
