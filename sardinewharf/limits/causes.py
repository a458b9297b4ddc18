"""Names what may make requests crash the endpoints that run them.

It may be one request, which its caller repeats, or a part of a prompt, which
requests that differ in all else have in common.

Examples:
    >>> request = make_request_cause("org-1", b"a body")
    >>> request == make_request_cause("org-1", b"a body")
    True
    >>> make_part_cause("5C1E") == make_part_cause("5c1e")
    True

See Also:
    ``suspect_table.SuspectTable``, which decides which of them is to blame.
"""

from collections.abc import Iterable
import dataclasses

import xxhash

# Sets parts apart from requests, none of whose callers has this name.
_PART_PREFIX = "\0part"


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """What may make a request crash the endpoints that run it.

    Attributes:
        fingerprint: Digest that identifies it in all processes.
        part: Id of the prompt part; empty if it is the request itself.
    """

    fingerprint: bytes
    part: str = ""


def make_fingerprint(organisation: str, body: bytes | bytearray) -> bytes:
    """Returns a digest that is the same for all retries of a request."""
    digest = xxhash.xxh3_128(organisation.encode() + b"\x00")
    digest.update(body)
    return digest.digest()


def make_request_cause(caller: str, body: bytes | bytearray) -> Cause:
    """Returns the cause that all repeats of a request share.

    Args:
        caller: Name of the caller's organisation, and what else tells requests
            with the same body apart.
        body: The body.
    """
    return Cause(make_fingerprint(caller, body))


def make_part_cause(part: str) -> Cause:
    """Returns the cause that all requests with a prompt part share.

    It is the same for all organisations, models and lengths: what they vary
    does not change the content of the part.

    Args:
        part: Id of the part's content.
    """
    folded = part.lower()
    return Cause(make_fingerprint(_PART_PREFIX, folded.encode()), folded)


def make_content_causes(contents: Iterable[bytes]) -> tuple[Cause, ...]:
    """Returns the causes of prompt parts whose content is known, each once."""
    ids = (xxhash.xxh3_128_hexdigest(content) for content in contents)
    return make_part_causes(ids)


def make_part_causes(parts: Iterable[str]) -> tuple[Cause, ...]:
    """Returns the causes of several parts, each once."""
    return tuple(dict.fromkeys(make_part_cause(part) for part in parts))
