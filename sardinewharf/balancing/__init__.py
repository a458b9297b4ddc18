"""Decides which endpoint runs a request; needs no network.

Each module answers one load pattern and names it.
"""

from sardinewharf.balancing.applications import ServerState
from sardinewharf.balancing.applications import choose_server
from sardinewharf.balancing.engines import Choice
from sardinewharf.balancing.engines import EngineState
from sardinewharf.balancing.engines import PromptSize
from sardinewharf.balancing.engines import choose_engine
from sardinewharf.balancing.homes import rank_homes
from sardinewharf.balancing.rolls import RollState
from sardinewharf.balancing.rolls import choose_rolls

__all__ = [
    "Choice",
    "EngineState",
    "PromptSize",
    "RollState",
    "ServerState",
    "choose_engine",
    "choose_rolls",
    "choose_server",
    "rank_homes",
]
