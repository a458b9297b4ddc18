"""Key-value service with compare-and-swap, leases and watches."""

from sardinewharf.keyvalue.prefixes import Changes
from sardinewharf.keyvalue.prefixes import Entry
from sardinewharf.keyvalue.prefixes import HistoryLost
from sardinewharf.keyvalue.prefixes import Listing
from sardinewharf.keyvalue.prefixes import PrefixStore
from sardinewharf.keyvalue.store import NO_REVISION
from sardinewharf.keyvalue.store import Absent
from sardinewharf.keyvalue.store import Conflict
from sardinewharf.keyvalue.store import KeyValueStore
from sardinewharf.keyvalue.store import KvAddress
from sardinewharf.keyvalue.store import Lease
from sardinewharf.keyvalue.store import ReadResult
from sardinewharf.keyvalue.store import Record
from sardinewharf.keyvalue.store import Rejected
from sardinewharf.keyvalue.store import Unavailable
from sardinewharf.keyvalue.store import WriteResult
from sardinewharf.keyvalue.store import WriteUnknown
from sardinewharf.keyvalue.store import Written

__all__ = [
    "NO_REVISION",
    "Absent",
    "Changes",
    "Conflict",
    "Entry",
    "HistoryLost",
    "KeyValueStore",
    "KvAddress",
    "Lease",
    "Listing",
    "PrefixStore",
    "ReadResult",
    "Record",
    "Rejected",
    "Unavailable",
    "WriteResult",
    "WriteUnknown",
    "Written",
]
