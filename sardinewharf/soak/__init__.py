"""Soaks the gateway: real processes on loopback, with faults from outside.

``python -m sardinewharf.soak.program soak --seed 7`` plays one seed.
"""

from sardinewharf.soak.deployment import Deployment
from sardinewharf.soak.deployment import Plan
from sardinewharf.soak.oracle import Finding
from sardinewharf.soak.oracle import Promise
from sardinewharf.soak.runner import Outcome
from sardinewharf.soak.runner import SoakSettings
from sardinewharf.soak.runner import play

__all__ = [
    "Deployment",
    "Finding",
    "Outcome",
    "Plan",
    "Promise",
    "SoakSettings",
    "play",
]
