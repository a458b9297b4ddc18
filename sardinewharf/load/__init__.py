"""Generates load for daemons and reports latencies and failures."""

from sardinewharf.load.runner import LoadReport
from sardinewharf.load.runner import LoadSettings
from sardinewharf.load.runner import run_load
from sardinewharf.load.traces import Prompt
from sardinewharf.load.traces import TraceSettings
from sardinewharf.load.traces import make_trace

__all__ = [
    "LoadReport",
    "LoadSettings",
    "Prompt",
    "TraceSettings",
    "make_trace",
    "run_load",
]
