"""Communication between daemons: gossip, configuration and claims."""

from sardinewharf.daemons.client import PeerClient
from sardinewharf.daemons.client import PeerError
from sardinewharf.daemons.digests import encode_configuration
from sardinewharf.daemons.dispatches import DispatchBoard
from sardinewharf.daemons.dispatches import DispatchSender
from sardinewharf.daemons.forwarder import PeerClaimForwarder
from sardinewharf.daemons.forwarder import commit_batch
from sardinewharf.daemons.gossip import Gossip
from sardinewharf.daemons.gossip import GossipSettings
from sardinewharf.daemons.gossip import GossipState
from sardinewharf.daemons.gossip import LoadListener
from sardinewharf.daemons.membership import Member
from sardinewharf.daemons.membership import MemberTable
from sardinewharf.daemons.server import PeerHandler
from sardinewharf.daemons.server import PeerServer

__all__ = [
    "Gossip",
    "GossipSettings",
    "GossipState",
    "LoadListener",
    "Member",
    "MemberTable",
    "DispatchBoard",
    "DispatchSender",
    "PeerClaimForwarder",
    "PeerClient",
    "PeerError",
    "PeerHandler",
    "PeerServer",
    "commit_batch",
    "encode_configuration",
]
