"""HTTP API for operators: plan, confirm, show, history and status."""

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
