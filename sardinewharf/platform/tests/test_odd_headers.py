"""Checks that a number in a header is usable, or that the header is refused."""

import math

import msgspec
import pytest

from sardinewharf import http1
from sardinewharf import platform
from sardinewharf.gateway import messages
from sardinewharf.platform import headers

NUMBERS = [b"nan", b"9" * 5_000, b"\xd9\xa1", b"1_0", b"-1", b"", b"1e400"]


@pytest.mark.parametrize("value", NUMBERS)
@pytest.mark.parametrize(
    "name",
    [headers.TIME_LEFT, headers.TOKENS, headers.PREFIX, headers.LAST_EVENT_ID],
)
def test_a_callers_number_is_usable_or_malformed(name, value):
    """Guards against a deadline of NaN, and tokens beyond 64 bits."""
    codec = platform.PlatformHeaderCodec()
    sent = value if name != headers.PREFIX else b"a:" + value
    try:
        found = codec.read_request([(name, sent)], 0.0)
    except messages.MalformedError:
        return
    assert math.isfinite(found.deadline.at)
    assert 0 <= (found.resume_after or 0) < 2**63
    if found.prompt is not None:
        counts = [p.tokens for p in found.prompt.parts]
        msgspec.msgpack.encode([found.prompt.tokens, *counts])
        assert min([found.prompt.tokens, *counts]) >= 0


@pytest.mark.parametrize("value", NUMBERS)
def test_an_endpoints_number_is_usable(value):
    """Guards against numbers that no message to other gateways can hold."""
    codec = platform.PlatformHeaderCodec()
    sent = [(headers.WEIGHTS, value), (headers.LOAD, value + b",0,1")]
    found = codec.read_response(http1.Head(200, sent))
    assert 0 <= found.weights < 2**63
    assert found.load is None or 0 <= found.load.running < 2**63
