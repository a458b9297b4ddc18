"""Decides which requests wait or are refused under overload.

The decisions use no network access.
"""

from sardinewharf.overload.ranks import PriorityPair
from sardinewharf.overload.ranks import Ranks
from sardinewharf.overload.ranks import RankTable
from sardinewharf.overload.ranks import make_pair

__all__ = ["PriorityPair", "RankTable", "Ranks", "make_pair"]
