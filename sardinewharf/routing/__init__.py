"""Chooses an engine for each model request."""

from sardinewharf.routing.cache_index import CacheIndex
from sardinewharf.routing.demand import DemandTable
from sardinewharf.routing.policies import AdaptivePolicy
from sardinewharf.routing.policies import Candidate
from sardinewharf.routing.policies import CostPolicy
from sardinewharf.routing.policies import LeastLoadedPolicy
from sardinewharf.routing.policies import Policy
from sardinewharf.routing.policies import RandomPolicy
from sardinewharf.routing.policies import RendezvousPolicy
from sardinewharf.routing.policies import RoundRobinPolicy
from sardinewharf.routing.policies import RouteRequest
from sardinewharf.routing.prefixes import BLOCK_TOKENS
from sardinewharf.routing.prefixes import BlockChain
from sardinewharf.routing.prefixes import PrefixBlock
from sardinewharf.routing.prefixes import build_block_chain
from sardinewharf.routing.prefixes import make_salt
from sardinewharf.routing.ring import HashRing
from sardinewharf.routing.router import Choice
from sardinewharf.routing.router import DispatchUpdate
from sardinewharf.routing.router import Pool
from sardinewharf.routing.router import Router
from sardinewharf.routing.router import make_dispatch_update
from sardinewharf.routing.urgency import URGENT_TOKENS
from sardinewharf.routing.urgency import make_urgent_bucket
from sardinewharf.routing.views import EngineView

__all__ = [
    "BLOCK_TOKENS",
    "URGENT_TOKENS",
    "AdaptivePolicy",
    "BlockChain",
    "CacheIndex",
    "Candidate",
    "Choice",
    "CostPolicy",
    "DemandTable",
    "DispatchUpdate",
    "EngineView",
    "HashRing",
    "LeastLoadedPolicy",
    "Policy",
    "Pool",
    "PrefixBlock",
    "RandomPolicy",
    "RendezvousPolicy",
    "RoundRobinPolicy",
    "RouteRequest",
    "Router",
    "build_block_chain",
    "make_dispatch_update",
    "make_salt",
    "make_urgent_bucket",
]
