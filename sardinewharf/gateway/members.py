"""Encodes the registrations by which gateways discover one another."""

import msgspec

from sardinewharf import addresses
from sardinewharf import decoding
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


def make_removal(entry: keyvalue.Entry) -> changes.MemberChange:
    """Returns the removal of the gateway whose registration an entry was."""
    return changes.MemberChange(entry.key.removeprefix(KEY_PREFIX), "")


def read_member(entry: keyvalue.Entry) -> changes.MemberChange:
    """Returns the gateway that an entry registers or removes.

    Raises:
        DecodeError: If the entry holds no registration.
        AddressError: If the gateway's address is none.
    """
    name = entry.key.removeprefix(KEY_PREFIX)
    if entry.value is None:
        return make_removal(entry)
    registration = decoding.decode_json(entry.value, Registration)
    # Datagrams are sent to it, and no host name may be looked up for each.
    addresses.parse_ip_address(registration.address)
    return changes.MemberChange(
        name, registration.address, registration.failure_domain
    )
