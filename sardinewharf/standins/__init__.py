"""Test doubles of the systems around the router, and models of engines.

The test doubles record what they did, so that tests can compare the router's
responses with it. Most are small programs:
``python -m sardinewharf.standins.NAME --help`` lists the flags.
"""

from sardinewharf.standins.engine_model import EngineCosts
from sardinewharf.standins.engine_model import PrefixCache
from sardinewharf.standins.engine_model import generate_text

__all__ = ["EngineCosts", "PrefixCache", "generate_text"]
