"""Parses the addresses that other processes state.

Examples:
    >>> parse_address("10.0.0.1:7000")
    Address(host='10.0.0.1', port=7000)
    >>> parse_address("10.0.0.1:70000")
    Traceback (most recent call last):
        ...
    sardinewharf.addresses.AddressError: '10.0.0.1:70000' is no address; state \
HOST:PORT with a port of 1 to 65535
    >>> parse_ip_address("gateway.example:7000")
    Traceback (most recent call last):
        ...
    sardinewharf.addresses.AddressError: 'gateway.example:7000' has no IP \
address; state IP:PORT
"""

import ipaddress
import re
from typing import NamedTuple

# A host name, an IPv4 address or an IPv6 address, with the length of the
# longest host name (RFC 1035, section 2.3.4).
_HOST = re.compile(r"[A-Za-z0-9._:-]{1,253}", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_MAX_PORT = 65_535
_MAX_QUOTED_CHARS = 80


class AddressError(ValueError):
    """Raised if a text is no address that can be connected to."""


class Address(NamedTuple):
    """A host and a port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Returns the address that ``HOST:PORT`` states.

    Raises:
        AddressError: If no connection to it is possible.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    is_valid = _HOST.fullmatch(host) and _PORT.fullmatch(port)
    if not is_valid or not 1 <= int(port) <= _MAX_PORT:
        raise AddressError(
            f"{text[:_MAX_QUOTED_CHARS]!r} is no address; state HOST:PORT with"
            f" a port of 1 to {_MAX_PORT}"
        )
    return Address(host, int(port))


def parse_ip_address(text: str) -> Address:
    """Returns the address that ``IP:PORT`` states.

    Raises:
        AddressError: If it states none, or a host name.
    """
    address = parse_address(text)
    try:
        ipaddress.ip_address(address.host)
    except ValueError as error:
        raise AddressError(
            f"{text[:_MAX_QUOTED_CHARS]!r} has no IP address; state IP:PORT"
        ) from error
    return address
