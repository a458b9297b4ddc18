"""Encodes the registrations by which gateways discover one another."""

import msgspec

from sardinewharf import keyvalue
from sardinewharf.gateway import changes

KEY_PREFIX = "sardinewharf/members/"


class Registration(msgspec.Struct):
    """A gateway's registration in the store, stored as JSON.

    Attributes:
        address: ``IP:PORT`` at which other gateways reach it.
        failure_domain: Failure domain of its VM.
    """

    address: str
    failure_domain: str = ""


def make_entry(name: str, address: str, failure_domain: str) -> keyvalue.Entry:
    """Returns the store's entry for a gateway's registration.

    Examples:
        >>> read_member(make_entry("vm-1", "10.0.0.1:7000", "fd1")).address
        '10.0.0.1:7000'
    """
    value = msgspec.json.encode(Registration(address, failure_domain))
    return keyvalue.Entry(KEY_PREFIX + name, value, 0)


def read_member(entry: keyvalue.Entry) -> changes.MemberChange:
    """Returns the gateway that an entry registers or removes."""
    name = entry.key.removeprefix(KEY_PREFIX)
    if entry.value is None:
        return changes.MemberChange(name, "")
    try:
        registration = msgspec.json.decode(entry.value, type=Registration)
    except msgspec.MsgspecError:
        # Without a readable address the gateway cannot be reached.
        return changes.MemberChange(name, "")
    return changes.MemberChange(
        name, registration.address, registration.failure_domain
    )
