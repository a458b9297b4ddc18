"""Provides admission control, fair queueing, quarantine and retry budgets."""

from sardinewharf.limits.admission import Admission
from sardinewharf.limits.admission import AdmissionSettings
from sardinewharf.limits.buckets import TokenBucket
from sardinewharf.limits.fairness import FairGate
from sardinewharf.limits.fairness import Waiter
from sardinewharf.limits.retries import RetryBudget
from sardinewharf.limits.slots import SuspectSlots
from sardinewharf.limits.suspects import Crash
from sardinewharf.limits.suspects import Suspect
from sardinewharf.limits.suspects import SuspectTable
from sardinewharf.limits.suspects import make_fingerprint
from sardinewharf.limits.windows import BudgetShare
from sardinewharf.limits.windows import WindowBudget

__all__ = [
    "Admission",
    "AdmissionSettings",
    "BudgetShare",
    "Crash",
    "FairGate",
    "RetryBudget",
    "Suspect",
    "SuspectSlots",
    "SuspectTable",
    "Waiter",
    "TokenBucket",
    "WindowBudget",
    "make_fingerprint",
]
