"""Soaks the gateway: real processes on loopback, with faults from outside.

``python -m sardinewharf.soak.program soak --seed 7`` plays one seed.
"""

from sardinewharf.soak.field import Field
from sardinewharf.soak.field import Plan
from sardinewharf.soak.oracle import Finding
from sardinewharf.soak.oracle import Promise
from sardinewharf.soak.rounds import Outcome
from sardinewharf.soak.rounds import Round
from sardinewharf.soak.rounds import play

__all__ = [
    "Field",
    "Finding",
    "Outcome",
    "Plan",
    "Promise",
    "Round",
    "play",
]
