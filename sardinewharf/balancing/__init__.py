"""Chooses endpoints for requests and for rollouts, without network access.

Most modules handle one load pattern, which their docstrings describe.
"""

from sardinewharf.balancing.applications import ServerState
from sardinewharf.balancing.applications import choose_server
from sardinewharf.balancing.engines import Choice
from sardinewharf.balancing.engines import EngineState
from sardinewharf.balancing.engines import PrefixSource
from sardinewharf.balancing.engines import PromptSize
from sardinewharf.balancing.engines import choose_engine
from sardinewharf.balancing.engines import choose_priority
from sardinewharf.balancing.engines import misses_deadline
from sardinewharf.balancing.estimates import EngineEstimates
from sardinewharf.balancing.estimates import EngineEstimator
from sardinewharf.balancing.load_failures import LoadFailures
from sardinewharf.balancing.prefills import PrefillTable
from sardinewharf.balancing.prefix_cache import PrefixCacheIndex
from sardinewharf.balancing.prompt_lengths import LengthSplit
from sardinewharf.balancing.rendezvous import rank_preferred
from sardinewharf.balancing.rollouts import EngineRolloutState
from sardinewharf.balancing.rollouts import RolloutPace
from sardinewharf.balancing.rollouts import choose_engines_to_update
from sardinewharf.balancing.silences import MAX_SILENCE_S
from sardinewharf.balancing.silences import find_suspicious_silence

__all__ = [
    "Choice",
    "EngineEstimates",
    "EngineEstimator",
    "EngineState",
    "LengthSplit",
    "MAX_SILENCE_S",
    "LoadFailures",
    "PrefixCacheIndex",
    "PromptSize",
    "PrefillTable",
    "RolloutPace",
    "EngineRolloutState",
    "ServerState",
    "PrefixSource",
    "choose_engine",
    "choose_engines_to_update",
    "choose_server",
    "find_suspicious_silence",
    "misses_deadline",
    "rank_preferred",
    "choose_priority",
]
