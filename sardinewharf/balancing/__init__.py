"""Decides which endpoint runs a request; needs no network.

Each module answers one load pattern and names it.
"""

from sardinewharf.balancing.applications import ServerState
from sardinewharf.balancing.applications import choose_server
from sardinewharf.balancing.cold_prompts import ReadTable
from sardinewharf.balancing.engines import Choice
from sardinewharf.balancing.engines import EngineState
from sardinewharf.balancing.engines import PromptSize
from sardinewharf.balancing.engines import SharedPrompt
from sardinewharf.balancing.engines import choose_engine
from sardinewharf.balancing.engines import is_hopeless
from sardinewharf.balancing.engines import rank_urgency
from sardinewharf.balancing.holdings import Holdings
from sardinewharf.balancing.homes import rank_homes
from sardinewharf.balancing.rolls import RollPace
from sardinewharf.balancing.rolls import RollState
from sardinewharf.balancing.rolls import choose_rolls
from sardinewharf.balancing.silence import find_patience

__all__ = [
    "Choice",
    "EngineState",
    "Holdings",
    "PromptSize",
    "ReadTable",
    "RollPace",
    "RollState",
    "ServerState",
    "SharedPrompt",
    "choose_engine",
    "choose_rolls",
    "choose_server",
    "find_patience",
    "is_hopeless",
    "rank_homes",
    "rank_urgency",
]
