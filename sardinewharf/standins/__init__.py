"""Test doubles of the systems around the router, and models of engines.

Most are small programs: ``python -m sardinewharf.standins.NAME --help`` lists
the flags. They record what they did, so that tests can compare what callers
received with what really ran.
"""

from sardinewharf.standins.engine_model import EngineCosts
from sardinewharf.standins.engine_model import PrefixCache
from sardinewharf.standins.engine_model import generate_text

__all__ = ["EngineCosts", "PrefixCache", "generate_text"]
