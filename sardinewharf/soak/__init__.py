"""Runs gateways under injected faults and checks invariants.

A soak run starts real processes on loopback, sends requests, injects faults
that are drawn from a seed, and compares what callers received with what servers
recorded. ``python -m sardinewharf.soak.program soak --seed 7`` runs one seed.
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
