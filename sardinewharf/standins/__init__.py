"""Stand-ins for the systems around the router, each a small program.

They keep a truthful record of what they did, which a test reads as its
oracle. ``python -m sardinewharf.standins.NAME --help`` lists the flags.
"""

from sardinewharf.standins.engine_model import EngineCosts
from sardinewharf.standins.engine_model import PrefixCache
from sardinewharf.standins.engine_model import generate_text

__all__ = ["EngineCosts", "PrefixCache", "generate_text"]
