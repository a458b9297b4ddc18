"""Decides which requests wait or are refused under overload.

The decisions use no network access. Most modules handle one load pattern, which
their docstrings describe.
"""

from sardinewharf.overload.drain import Drain
from sardinewharf.overload.drain import DrainRate
from sardinewharf.overload.drain import choose_retry_after
from sardinewharf.overload.queue import Waiting
from sardinewharf.overload.queue import WaitingQueue
from sardinewharf.overload.ranks import PriorityPair
from sardinewharf.overload.ranks import Ranks
from sardinewharf.overload.ranks import RankTable
from sardinewharf.overload.ranks import make_pair
from sardinewharf.overload.room import EngineRoom
from sardinewharf.overload.room import Need
from sardinewharf.overload.room import RankDemand
from sardinewharf.overload.room import Reserve
from sardinewharf.overload.room import ServiceRoom
from sardinewharf.overload.shares import AGED_SHARE
from sardinewharf.overload.shares import SendCredit
from sardinewharf.overload.shares import compute_share

__all__ = [
    "AGED_SHARE",
    "Drain",
    "DrainRate",
    "EngineRoom",
    "Need",
    "PriorityPair",
    "RankDemand",
    "RankTable",
    "Ranks",
    "Reserve",
    "SendCredit",
    "ServiceRoom",
    "Waiting",
    "WaitingQueue",
    "choose_retry_after",
    "compute_share",
    "make_pair",
]
