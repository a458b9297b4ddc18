"""Identifies operators by their tokens.

Examples:
    >>> from sardinewharf import configuration
    >>> tokens = parse_tokens("ana=" + configuration.hash_api_key("secret"))
    >>> tokens.find_operator("secret")
    'ana'
    >>> tokens.find_operator("other") is None
    True
"""

import dataclasses
import hmac
import re

from sardinewharf import configuration

_ENTRY = re.compile(r"([a-z0-9._-]+)=([0-9a-f]{64})")


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorTokens:
    """Names of the operators and hashes of their tokens.

    Attributes:
        hashes: Pairs of a name and the SHA-256 of a token, in hexadecimal.
    """

    hashes: tuple[tuple[str, str], ...] = ()

    def find_operator(self, token: str) -> str | None:
        """Returns the name of the operator with this token, if any."""
        token_hash = configuration.hash_api_key(token)
        found = None
        for name, known_hash in self.hashes:
            if hmac.compare_digest(token_hash, known_hash):
                found = name
        return found


def parse_tokens(text: str) -> OperatorTokens:
    """Parses operators in the form ``NAME=SHA256,NAME=SHA256``.

    Raises:
        ValueError: If an entry does not have this form.
    """
    entries = []
    for entry in filter(None, text.split(",")):
        match = _ENTRY.fullmatch(entry.strip())
        if match is None:
            raise ValueError(
                "must be NAME=SHA256,NAME=SHA256; make the hashes with"
                " 'sardinewharf hash-key'"
            )
        entries.append((match[1], match[2]))
    return OperatorTokens(tuple(entries))
