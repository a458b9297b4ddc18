"""Assigns models to engines and orders engines to load the weights."""

from sardinewharf.placement.assignment import Assignment
from sardinewharf.placement.assignment import assign_models
from sardinewharf.placement.placer import Placer
from sardinewharf.placement.placer import PlacerSettings
from sardinewharf.placement.rollout import EngineWeightsState
from sardinewharf.placement.rollout import choose_engines_to_load

__all__ = [
    "Assignment",
    "EngineWeightsState",
    "Placer",
    "PlacerSettings",
    "assign_models",
    "choose_engines_to_load",
]
