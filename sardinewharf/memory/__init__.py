"""Accounts for the memory that a process uses for its peers' data.

One limit holds for all buffers of a process together. Each buffer has a
``Reservation`` in a ``MemoryAccount``, which evicts the largest when the limit
would be exceeded.
"""

from sardinewharf.memory.accounts import MemoryAccount
from sardinewharf.memory.accounts import Reservation
from sardinewharf.memory.accounts import Use
from sardinewharf.memory.accounts import find_capacity

__all__ = ["MemoryAccount", "Reservation", "Use", "find_capacity"]
