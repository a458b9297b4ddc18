"""Registers gateways in the store, so that they find one another."""

import msgspec

from sardinewharf import keyvalue
from sardinewharf.gateway import changes

KEY_PREFIX = "sardinewharf/members/"


class Registration(msgspec.Struct):
    """What a gateway says of itself.

    Attributes:
        address: ``IP:PORT`` for other gateways.
        failure_domain: Where it stands.
    """

    address: str
    failure_domain: str = ""


def make_entry(name: str, address: str, failure_domain: str) -> keyvalue.Entry:
    """Returns a gateway's entry.

    Examples:
        >>> read_member(make_entry("vm-1", "10.0.0.1:7000", "fd1")).address
        '10.0.0.1:7000'
    """
    value = msgspec.json.encode(Registration(address, failure_domain))
    return keyvalue.Entry(KEY_PREFIX + name, value, 0)


def read_member(entry: keyvalue.Entry) -> changes.MemberChange:
    """Returns the gateway that an entry names."""
    name = entry.key.removeprefix(KEY_PREFIX)
    if entry.value is None:
        return changes.MemberChange(name, "")
    try:
        registration = msgspec.json.decode(entry.value, type=Registration)
    except msgspec.MsgspecError:
        # A gateway that cannot be read is one that cannot be reached.
        return changes.MemberChange(name, "")
    return changes.MemberChange(
        name, registration.address, registration.failure_domain
    )
