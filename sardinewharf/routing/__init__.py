"""Chooses an engine for each model request."""

from sardinewharf.routing.heat import HeatTable
from sardinewharf.routing.knowledge import CacheIndex
from sardinewharf.routing.policies import AdaptivePolicy
from sardinewharf.routing.policies import Candidate
from sardinewharf.routing.policies import CostPolicy
from sardinewharf.routing.policies import LeastLoadedPolicy
from sardinewharf.routing.policies import Policy
from sardinewharf.routing.policies import RandomPolicy
from sardinewharf.routing.policies import RendezvousPolicy
from sardinewharf.routing.policies import RoundRobinPolicy
from sardinewharf.routing.policies import RouteRequest
from sardinewharf.routing.prefixes import PIECE_TOKENS
from sardinewharf.routing.prefixes import Chain
from sardinewharf.routing.prefixes import Piece
from sardinewharf.routing.prefixes import build_chain
from sardinewharf.routing.prefixes import make_salt
from sardinewharf.routing.ring import HashRing
from sardinewharf.routing.router import Choice
from sardinewharf.routing.router import DispatchNews
from sardinewharf.routing.router import Pool
from sardinewharf.routing.router import Router
from sardinewharf.routing.router import make_news
from sardinewharf.routing.urgency import URGENT_TOKENS
from sardinewharf.routing.urgency import make_urgent_bucket
from sardinewharf.routing.views import EngineView

__all__ = [
    "PIECE_TOKENS",
    "URGENT_TOKENS",
    "AdaptivePolicy",
    "CacheIndex",
    "Candidate",
    "Chain",
    "Choice",
    "CostPolicy",
    "DispatchNews",
    "EngineView",
    "HashRing",
    "HeatTable",
    "LeastLoadedPolicy",
    "Piece",
    "Policy",
    "Pool",
    "RandomPolicy",
    "RendezvousPolicy",
    "RoundRobinPolicy",
    "RouteRequest",
    "Router",
    "build_chain",
    "make_news",
    "make_salt",
    "make_urgent_bucket",
]
