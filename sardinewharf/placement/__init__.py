"""Decides which engine serves which model, and orders it."""

from sardinewharf.placement.assignment import Assignment
from sardinewharf.placement.assignment import assign_models
from sardinewharf.placement.placer import Placer
from sardinewharf.placement.placer import PlacerSettings
from sardinewharf.placement.rollout import EngineLoad
from sardinewharf.placement.rollout import choose_orders

__all__ = [
    "Assignment",
    "EngineLoad",
    "Placer",
    "PlacerSettings",
    "assign_models",
    "choose_orders",
]
