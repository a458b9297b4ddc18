"""Shares the quotas of organisations between gateways.

Nothing here uses the network or reads a clock; ``gateway.quotas`` connects it.

Modules:
    buckets: The tokens of a quota.
    settings: By how much quotas may be exceeded.
    messages: What gateways send each other.
    directory: What has to be known of configuration and fleet.
    presence: Which gateways are heard, and keep their quotas.
    tenures: For how long this gateway keeps a quota.
    owner: Keeps the quotas that a gateway owns.
    quorum: Whether most other gateways are in reach.
    charges: The charge of one request.
    accounts: What a gateway has of a quota.
    candidates: Which gateways are asked.
    borrower: Gets tokens from the owners.
"""

from sardinewharf.quotas.borrower import Borrower
from sardinewharf.quotas.buckets import DebtBucket
from sardinewharf.quotas.charges import Charge
from sardinewharf.quotas.charges import State
from sardinewharf.quotas.directory import Directory
from sardinewharf.quotas.messages import Ask
from sardinewharf.quotas.messages import Grant
from sardinewharf.quotas.messages import Message
from sardinewharf.quotas.messages import Probe
from sardinewharf.quotas.messages import ProbeResponse
from sardinewharf.quotas.messages import Verdict
from sardinewharf.quotas.owner import Owner
from sardinewharf.quotas.presence import PeerWatch
from sardinewharf.quotas.presence import Presence
from sardinewharf.quotas.settings import Bounds

__all__ = [
    "Ask",
    "Borrower",
    "Bounds",
    "Charge",
    "DebtBucket",
    "Directory",
    "Grant",
    "Message",
    "Owner",
    "PeerWatch",
    "Presence",
    "Probe",
    "ProbeResponse",
    "State",
    "Verdict",
]
