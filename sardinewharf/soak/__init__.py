"""Soaks the gateway: real processes on loopback, with faults from outside.

``python -m sardinewharf.soak.program soak --seed 7`` plays one seed.
"""

from sardinewharf.soak.deployment import Deployment
from sardinewharf.soak.deployment import DeploymentSize
from sardinewharf.soak.invariants import Finding
from sardinewharf.soak.invariants import Invariant
from sardinewharf.soak.runner import Outcome
from sardinewharf.soak.runner import SoakSettings
from sardinewharf.soak.runner import run_soak

__all__ = [
    "Deployment",
    "DeploymentSize",
    "Finding",
    "Invariant",
    "Outcome",
    "SoakSettings",
    "run_soak",
]
