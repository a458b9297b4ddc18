"""Checks invariants against what callers received and servers recorded."""

from sardinewharf.soak.invariants.checker import InvariantChecker
from sardinewharf.soak.invariants.checks import Finding
from sardinewharf.soak.invariants.checks import Invariant
from sardinewharf.soak.invariants.timelines import Timeline

__all__ = ["Finding", "Invariant", "InvariantChecker", "Timeline"]
