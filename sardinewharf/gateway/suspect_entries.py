"""Encodes what is known of suspects as entries of the store.

An entry has no lease, since it must outlive the gateway that wrote it. It holds
digests and numbers, and no text of callers.
"""

import msgspec

from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import keyvalue
from sardinewharf import limits
from sardinewharf.gateway import changes
from sardinewharf.gateway import digests
from sardinewharf.gateway import suspect_reports

KEY_PREFIX = "sardinewharf/suspects/"


class SuspectRecord(msgspec.Struct):
    """A suspect in the store, as JSON.

    Attributes:
        written_ms: When it was written, on the writer's wall clock, since the
            epoch. Clocks of two VMs may differ by some seconds.
        suspect: The suspect; its ages are those at that time.
    """

    written_ms: decoding.Integer
    suspect: digests.SuspectUpdate


def make_key(fingerprint: bytes) -> str:
    """Returns the key of a suspect's entry.

    Examples:
        >>> make_key(bytes([1, 171]))
        'sardinewharf/suspects/01ab'
    """
    return KEY_PREFIX + fingerprint.hex()


def encode(suspect: limits.Suspect) -> bytes:
    """Returns the value of a suspect's entry."""
    now = clocks.read_monotonic()
    return msgspec.json.encode(
        SuspectRecord(
            int(clocks.read_wall() * 1000),
            suspect_reports.encode_suspect(suspect, now),
        )
    )


def decode(value: bytes) -> limits.Suspect:
    """Returns the suspect that an entry's value holds.

    Raises:
        DecodeError: If it holds none.
    """
    record = decoding.decode_json(value, SuspectRecord)
    elapsed_s = max(0.0, clocks.read_wall() - record.written_ms / 1000)
    return suspect_reports.decode_suspect(
        record.suspect, clocks.read_monotonic() - elapsed_s
    )


def read_entry(entry: keyvalue.Entry) -> changes.SuspectChange:
    """Returns the change that an entry of a suspect holds.

    Raises:
        DecodeError: If the entry cannot be decoded.
    """
    suspect = None if entry.value is None else decode(entry.value)
    return changes.SuspectChange(entry.key, entry.revision, suspect)


def make_removal(entry: keyvalue.Entry) -> changes.SuspectChange:
    """Returns the change for an entry that holds no suspect."""
    return changes.SuspectChange(entry.key, entry.revision, None)
