"""Runs non-idempotent requests at most once, by claims on idempotency keys."""

from sardinewharf.claims.committer import CommitterSettings
from sardinewharf.claims.committer import ShardCommitter
from sardinewharf.claims.entries import Action
from sardinewharf.claims.entries import AlreadyClaimed
from sardinewharf.claims.entries import AlreadyCompleted
from sardinewharf.claims.entries import BodyDiffers
from sardinewharf.claims.entries import ClaimResult
from sardinewharf.claims.entries import ClaimsUnavailable
from sardinewharf.claims.entries import ClaimUnknown
from sardinewharf.claims.entries import Done
from sardinewharf.claims.entries import Entry
from sardinewharf.claims.entries import EntryState
from sardinewharf.claims.entries import Granted
from sardinewharf.claims.entries import KeptAnswer
from sardinewharf.claims.entries import Operation
from sardinewharf.claims.entries import make_key_digest
from sardinewharf.claims.ledger import ClaimForwarder
from sardinewharf.claims.ledger import ClaimLedger

__all__ = [
    "Action",
    "AlreadyClaimed",
    "AlreadyCompleted",
    "BodyDiffers",
    "ClaimForwarder",
    "ClaimLedger",
    "ClaimResult",
    "ClaimUnknown",
    "ClaimsUnavailable",
    "CommitterSettings",
    "Done",
    "Entry",
    "EntryState",
    "Granted",
    "KeptAnswer",
    "Operation",
    "ShardCommitter",
    "make_key_digest",
]
