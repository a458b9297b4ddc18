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

__all__ = [
    "Choice",
    "EngineState",
    "PromptSize",
    "ServerState",
    "choose_engine",
    "choose_server",
    "rank_homes",
]
