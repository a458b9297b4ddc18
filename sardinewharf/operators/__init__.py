"""Speaks to operators over HTTP: plan, confirm, show, history, status."""

from sardinewharf.operators.app import OperatorApp
from sardinewharf.operators.app import OperatorDependencies
from sardinewharf.operators.tokens import OperatorTokens
from sardinewharf.operators.tokens import parse_tokens

__all__ = [
    "OperatorApp",
    "OperatorDependencies",
    "OperatorTokens",
    "parse_tokens",
]
