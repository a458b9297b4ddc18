"""Defines the messages by which gateways share the quotas of organisations.

They are part of the protocol of ``gateway.digests``, whose rules hold here:
MessagePack arrays whose order of fields and tags must not change. Any of them
may be lost, delayed or duplicated.
"""

import enum
from typing import Annotated

import msgspec

from sardinewharf import decoding

# Amounts are whole tokens or requests; the limit keeps sums computable.
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class Verdict(enum.IntEnum):
    """What a gateway responds to an ask.

    Attributes:
        GRANTED: The tokens were granted.
        DENIED: The quota is used up.
        REDIRECTED: A gateway of a better rank keeps the quota.
        INACTIVE: The gateway keeps no quotas now.
        UNLIMITED: The gateway's configuration has no quota.
    """

    GRANTED = 0
    DENIED = 1
    REDIRECTED = 2
    INACTIVE = 3
    UNLIMITED = 4


class Ask(msgspec.Struct, array_like=True, tag=5):
    """Asks the owner of an organisation's quota for tokens.

    An ask is repeated with the same number until it is responded to.

    Attributes:
        sender: Name of the asking gateway's VM.
        number: Identifies the ask among those of the sender's process.
        organisation: Name of the organisation.
        tokens: Granted whole or not at all, for one request.
        extra: Granted in part if there is enough, for later requests.
        returned: Tokens granted before that were not used.
        refused: Cost of the requests that the sender refused by itself since
            the owner had denied others.
    """

    sender: str
    number: decoding.Integer
    organisation: str
    tokens: Amount = 0
    extra: Amount = 0
    returned: Amount = 0
    refused: Amount = 0


class Grant(msgspec.Struct, array_like=True, tag=6):
    """Responds to an ask.

    Attributes:
        sender: Name of the responding gateway's VM.
        number: Number of the ask.
        verdict: Whether the tokens were granted.
        tokens: Tokens that were granted, with those for later requests.
        wait_ms: Time after which a request that was denied would be admitted.
            If the tokens were granted, above 0 if others were denied lately.
        blocked_ms: Time until which no request at all will be admitted.
    """

    sender: str
    number: decoding.Integer
    verdict: Verdict
    tokens: Amount = 0
    wait_ms: Amount = 0
    blocked_ms: Amount = 0


class Probe(msgspec.Struct, array_like=True, tag=7):
    """Asks a gateway whether it runs and keeps quotas."""

    sender: str


class ProbeResponse(msgspec.Struct, array_like=True, tag=8):
    """Responds to a probe.

    Attributes:
        sender: Name of the responding gateway's VM.
        is_active: Whether it keeps the quotas of which it is the owner.
    """

    sender: str
    is_active: bool


Message = Ask | Grant | Probe | ProbeResponse
