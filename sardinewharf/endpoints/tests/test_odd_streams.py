"""Checks that odd data of an engine or caller raise the errors stated."""

import pytest

from sardinewharf import decoding
from sardinewharf import outcomes
from sardinewharf import relay
from sardinewharf.callers import messages
from sardinewharf.endpoints import engine_http
from sardinewharf.endpoints import frames

NESTED = b"[" * 5_000 + b"]" * 5_000


@pytest.mark.parametrize(
    "event",
    [b"{", NESTED, b'{"choices":' + NESTED + b"}", b'{"x":' + NESTED + b"}"],
)
def test_an_event_that_cannot_be_decoded_fails_its_request(event):
    """Guards against 500 for an event of an engine."""
    with pytest.raises(outcomes.RequestError):
        relay.read_text(b"data: " + event + b"\n\n")


@pytest.mark.parametrize("body", [b"{", NESTED, b'{"x":' + NESTED + b"}"])
@pytest.mark.parametrize("is_chat", [True, False])
def test_a_body_that_cannot_be_decoded_is_refused(body, is_chat):
    """Guards against 500 for the body of a caller (RecursionError)."""
    with pytest.raises(outcomes.RequestError):
        messages.parse_body(body, is_chat)


@pytest.mark.parametrize("number", [b"9" * 5_000, b"\xff", b"\xd9\xa1", b"-1"])
def test_an_events_number_that_cannot_be_read_is_out_of_sequence(number):
    """Guards against errors of int() and of decoding an id line."""
    checker = frames.FrameChecker("a", 3)
    with pytest.raises(frames.SequenceError):
        checker.feed(b"id: a/" + number + b"\ndata: 1\n\n")


@pytest.mark.parametrize("number", ["", "x", "9" * 5_000, "1.5"])
@pytest.mark.parametrize(
    "name", ["X-Load", "X-Cached-Tokens", "X-Computed-Tokens"]
)
def test_a_header_that_cannot_be_read_is_a_decode_error(name, number):
    """Guards against a ValueError that no caller of an engine expects."""
    with pytest.raises(decoding.DecodeError):
        engine_http._read_head({name: number})
