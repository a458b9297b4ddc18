"""Provides admission control, fair queueing, quarantine and retry budgets."""

from sardinewharf.limits.admission import Admission
from sardinewharf.limits.admission import AdmissionSettings
from sardinewharf.limits.buckets import TokenBucket
from sardinewharf.limits.causes import Cause
from sardinewharf.limits.causes import make_content_causes
from sardinewharf.limits.causes import make_fingerprint
from sardinewharf.limits.causes import make_part_cause
from sardinewharf.limits.causes import make_part_causes
from sardinewharf.limits.causes import make_request_cause
from sardinewharf.limits.fairness import FairGate
from sardinewharf.limits.fairness import Waiter
from sardinewharf.limits.retries import RetryBudget
from sardinewharf.limits.slots import SuspectSlots
from sardinewharf.limits.suspect_table import SuspectTable
from sardinewharf.limits.suspects import Crash
from sardinewharf.limits.suspects import Suspect
from sardinewharf.limits.windows import BudgetShare
from sardinewharf.limits.windows import WindowBudget

__all__ = [
    "Admission",
    "AdmissionSettings",
    "BudgetShare",
    "Cause",
    "Crash",
    "FairGate",
    "RetryBudget",
    "Suspect",
    "SuspectSlots",
    "SuspectTable",
    "Waiter",
    "TokenBucket",
    "WindowBudget",
    "make_content_causes",
    "make_fingerprint",
    "make_part_cause",
    "make_part_causes",
    "make_request_cause",
]
