"""Tests how streams are split into events."""

import pytest

from sardinewharf.gateway import streams


def test_an_event_without_end_is_not_buffered_for_ever():
    """An endpoint may send bytes that are no event until it is closed."""
    framer = streams.EventFramer()
    with pytest.raises(streams.EventTooLargeError):
        for _ in range(100):
            framer.feed(b"data: x\n" * 8_000)


def test_large_complete_events_pass():
    framer = streams.EventFramer()
    event = b"id: 1\ndata: " + b"x" * 900_000 + b"\n\n"
    assert framer.feed(event * 3) == event * 3
