"""HTTP API for callers: completions, application calls and probes."""

from sardinewharf.callers.app import CallerApp
from sardinewharf.callers.app import CallerSettings
from sardinewharf.callers.dependencies import CallerDependencies
from sardinewharf.callers.metrics import CallerMetrics

__all__ = ["CallerApp", "CallerMetrics", "CallerSettings", "CallerDependencies"]
