"""Values of the platform's store that no client should write.

Examples:
    >>> make_value(Oddity.NO_PORT, MEMBERS_PREFIX)
    b'{"address":"127.0.0.1","failure_domain":"fd-0"}'
    >>> len(make_value(Oddity.DEEP, MEMBERS_PREFIX)) > 2 * 5_000
    True
"""

import enum

from sardinewharf.gateway import members
from sardinewharf.testbed import gateway_harness

SERVERS_PREFIX = "servers/"
MEMBERS_PREFIX = members.KEY_PREFIX
PREFIXES = (SERVERS_PREFIX, MEMBERS_PREFIX)
_DEEP_LEVELS = 5_000
_VERY_DEEP_LEVELS = 100_000
_MANY_DIGITS = "9" * 5_000
_HUGE_NUMBER = str(1 << 70)


class Oddity(enum.Enum):
    """What is odd about an entry."""

    DEEP = "an unknown field is nested deeply"
    VERY_DEEP = "an unknown field is nested very deeply"
    DEEP_VALUE = "the whole value is nested deeply"
    VERY_DEEP_VALUE = "the whole value is nested very deeply"
    HUGE_NUMBERS = "numbers have more than 64 bits"
    INFINITE_NUMBERS = "numbers are larger than any float"
    MANY_DIGITS = "numbers have thousands of digits"
    HIGH_PORT = "the port is too high"
    NEGATIVE_PORT = "the port is negative"
    HUGE_PORT = "the port has more than 64 bits"
    LONG_PORT = "the port has thousands of digits"
    NO_PORT = "there is no port"
    WRONG_TYPES = "fields have other types"
    NO_OBJECT = "the value is no object"
    NO_TEXT = "the value is not UTF-8"


# Fields as JSON; sound ones first, then what each oddity changes.
_SERVER_FIELDS = {
    "address": '"127.0.0.1:9"',
    "zone": '"fd-0"',
    "slots": "8",
    "state": '"ready"',
    "models": f'[{{"name":"{gateway_harness.MODEL}","version":1}}]',
    "born": "1",
}
_MEMBER_FIELDS = {"address": '"127.0.0.1:9"', "failure_domain": '"fd-0"'}
_ADDRESSES = {
    Oddity.HIGH_PORT: "127.0.0.1:70000",
    Oddity.NEGATIVE_PORT: "127.0.0.1:-1",
    Oddity.HUGE_PORT: f"127.0.0.1:{_HUGE_NUMBER}",
    Oddity.LONG_PORT: f"127.0.0.1:{_MANY_DIGITS}",
    Oddity.NO_PORT: "127.0.0.1",
}
_NUMBERS = {
    Oddity.HUGE_NUMBERS: _HUGE_NUMBER,
    Oddity.INFINITE_NUMBERS: "1e400",
    Oddity.MANY_DIGITS: _MANY_DIGITS,
}
_LEVELS = {
    Oddity.DEEP: _DEEP_LEVELS,
    Oddity.VERY_DEEP: _VERY_DEEP_LEVELS,
    Oddity.DEEP_VALUE: _DEEP_LEVELS,
    Oddity.VERY_DEEP_VALUE: _VERY_DEEP_LEVELS,
}


def make_value(
    oddity: Oddity, prefix: str, service: str = gateway_harness.ORDERS
) -> bytes:
    """Returns the value of an odd entry.

    Args:
        oddity: What is odd about it.
        prefix: Prefix of its key, which says what kind of entry it is.
        service: Service of a server's entry.
    """
    if oddity in (Oddity.DEEP_VALUE, Oddity.VERY_DEEP_VALUE):
        return _nest(_LEVELS[oddity]).encode()
    if oddity is Oddity.NO_OBJECT:
        return b"[1, 2"
    is_server = prefix == SERVERS_PREFIX
    fields = dict(_MEMBER_FIELDS)
    if is_server:
        fields = {"service": f'"{service}"'} | _SERVER_FIELDS
    if oddity in _ADDRESSES:
        fields["address"] = f'"{_ADDRESSES[oddity]}"'
    elif oddity in _NUMBERS:
        numbers = ("slots", "born") if is_server else ("failure_domain",)
        fields |= dict.fromkeys(numbers, _NUMBERS[oddity])
    elif oddity in _LEVELS:
        fields["extra"] = _nest(_LEVELS[oddity])
    elif oddity is Oddity.WRONG_TYPES:
        fields = dict.fromkeys(fields, '{"a":[null]}')
    text = ",".join(f'"{name}":{value}' for name, value in fields.items())
    value = f"{{{text}}}".encode()
    if oddity is Oddity.NO_TEXT:
        return value.replace(b"fd-0", b"\xff\xfe")
    return value


def _nest(levels: int) -> str:
    return '{"a":' * levels + "1" + "}" * levels
