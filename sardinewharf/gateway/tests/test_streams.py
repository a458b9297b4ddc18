"""Tests how streams are split into events."""

import hypothesis
from hypothesis import strategies
import pytest

from sardinewharf import http1
from sardinewharf.gateway import streams

# Line ends that the standard allows.
LINE_ENDS = (b"\n", b"\r\n", b"\r")


def feed_in_parts(framer, data, cuts):
    """Feeds bytes that are cut at positions; returns what comes out."""
    edges = [0, *sorted(cuts), len(data)]
    parts = zip(edges, edges[1:], strict=False)
    return [framer.feed(data[a:b]) for a, b in parts if a < b]


def make_events(line_end, count=3):
    """Returns the bytes of events; each has an id and two lines of data."""
    lines = (
        (b"id: %d" % n, b"data: word", b"data:%d" % n, b"")
        for n in range(1, count + 1)
    )
    return [line_end.join(event) + line_end for event in lines]


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


@pytest.mark.parametrize("line_end", LINE_ENDS)
@hypothesis.given(cuts=strategies.sets(strategies.integers(1, 90)))
def test_events_cut_anywhere_pass_whole(line_end, cuts):
    """Guards against streams with other line ends than LF.

    Events that ended with CR were buffered until the stream ended, and then
    counted as incomplete.
    """
    events = make_events(line_end)
    whole = b"".join(events)
    framer = streams.EventFramer()
    passed = b""
    for part in feed_in_parts(framer, whole, {c % len(whole) for c in cuts}):
        passed += part
        assert any(passed == b"".join(events[:n]) for n in range(4))
    assert passed == whole
    assert framer.is_at_event_end


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_an_event_passes_with_its_last_byte(line_end):
    """Guards against events that are held back until the next one comes."""
    framer = streams.EventFramer()
    for event in make_events(line_end):
        assert framer.feed(event[:-1]) == b""
        assert framer.feed(event[-1:]) == event


@pytest.mark.parametrize(
    "end", [b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\r\n", b"\r\n\n"]
)
@pytest.mark.parametrize("extra", [b"", b"\n", b"\r\n", b"\n\n", b"\r\n\r\n"])
def test_blank_lines_between_events_pass(end, extra):
    """Guards against a whole stream that counts as broken off.

    A blank line after the last event came in a segment of its own and was
    taken for the begin of an event.
    """
    whole = b"data: a" + end + extra + b"data: b" + end + extra
    for cut in range(1, len(whole)):
        framer = streams.EventFramer()
        assert b"".join(feed_in_parts(framer, whole, [cut])) == whole, cut
        assert framer.is_at_event_end, cut


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_a_stream_cut_within_an_event_is_not_at_its_end(line_end):
    events = make_events(line_end)
    whole = b"".join(events)
    ends = {0, *(len(b"".join(events[:n])) for n in (1, 2, 3))}
    for cut in range(len(whole)):
        framer = streams.EventFramer()
        passed = framer.feed(whole[:cut])
        assert framer.is_at_event_end == (cut in ends), cut
        assert len(passed) == max(end for end in ends if end <= cut)


@pytest.mark.parametrize(
    ("event", "last_id"),
    [
        (b"id:7\ndata:a\n\n", 7),
        (b"id: 7\r\ndata: a\r\n\r\n", 7),
        (b"id: 7\rdata: a\r\r", 7),
        (b"data: a\nid: 7\n\n", 7),
        (b"id: 6\nid: 7\ndata: a\n\n", 7),
        (b"x-versions:2\nid: 7\ndata: a\n\n", 7),
        (b"data: id: 7\n\n", None),
        (b"data: a\ndata:id: 7\n\n", None),
        (b"id: 7x\ndata: a\n\n", None),
        (b"id: -7\ndata: a\n\n", None),
        (b"id\ndata: a\n\n", None),
        (b"id: " + b"9" * 5_000 + b"\ndata: a\n\n", None),
    ],
)
def test_the_last_id_is_that_of_the_last_complete_event(event, last_id):
    """Guards against a resumption behind the wrong event.

    The second of two ids, and one that ended with CR, were not found, and one
    with over 4,300 digits raised an exception.
    """
    for cut in range(1, min(len(event), 40)):
        framer = streams.EventFramer()
        feed_in_parts(framer, event, [cut])
        assert framer.last_id == last_id, cut
        framer.feed(b"id: 8\ndata")
        assert framer.last_id == last_id, cut


@pytest.mark.parametrize("first", [1, 2])
@pytest.mark.parametrize("begin", [b"", b": ping\n\n"])
def test_a_resumed_stream_may_not_repeat_events(first, begin):
    """Guards against events that come twice after a resumption."""
    framer = streams.EventFramer()
    framer.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
    framer.drop_partial_event()
    with pytest.raises(http1.ResponseLostError):
        framer.feed(begin + b"id: %d\ndata: b\n\nid: 3\n\n" % first)
    framer.drop_partial_event()
    assert framer.last_id == 2
    event = b"id: 3\ndata: c\n\n"
    assert framer.feed(begin + event) == begin + event


def test_a_resumed_stream_may_go_on_behind_a_gap_of_ids():
    """Ids increase, not always by one."""
    framer = streams.EventFramer()
    framer.feed(b"id: 10\ndata: a\n\n")
    framer.drop_partial_event()
    assert framer.feed(b"id: 20\ndata: b\n\n")
    assert framer.last_id == 20


@pytest.mark.parametrize(
    ("begin", "is_resumable"),
    [
        (b"", True),
        (b": ping\n\n", True),
        (b"retry: 100\n\n", True),
        (b"id: 1\ndata: a\n\n", True),
        (b"data: a\nid: 1\n\n", True),
        (b"id: 1\ndata: a\n\n: ping\n\n", True),
        (b"data: a\n\nid: 1\ndata: a\n\n", True),
        (b"id: 1\r\ndata: a\r\n\r\n", True),
        (b"data: a\n\n", False),
        (b"id: one\ndata: a\n\n", False),
        (b"id: 1\ndata: a\n\ndata: b\n\n", False),
        (b"id: 1\rdata: a\r\rdata: b\r\r", False),
        (b"id: 2\ndata: a\n\nid: 1\ndata: b\n\n", False),
        (b"id: 1\ndata: a\n\nid: 1\ndata: b\n\n", False),
        (b"id: 2\n\nid: 1\n\nid: 3\n\n", False),
    ],
)
def test_a_stream_is_resumable_only_behind_an_event_with_an_id(
    begin, is_resumable
):
    """Guards against events that come twice after a resumption."""
    for cut in range(max(1, len(begin))):
        framer = streams.EventFramer()
        feed_in_parts(framer, begin + b"id: 9\nda", [cut])
        assert framer.is_resumable == is_resumable, cut
        framer.drop_partial_event()
        if is_resumable:
            assert framer.feed(b"id: 10\n\n") == b"id: 10\n\n"
        else:
            with pytest.raises(http1.ResponseLostError):
                framer.feed(b"id: 10\n\n")


def test_a_resumed_stream_may_begin_with_an_event_without_id():
    """Guards against a resumed stream that is given up behind its begin.

    Its first event had data but no id, and came in a segment of its own.
    """
    framer = streams.EventFramer()
    framer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    framer.drop_partial_event()
    assert framer.feed(b"data: b\n\n") == b"data: b\n\n"
    assert not framer.is_resumable
    assert framer.feed(b"id: 2\ndata: c\n\n") == b"id: 2\ndata: c\n\n"
    assert framer.is_resumable


PIECES = (
    b"\n",
    b"\r\n",
    b"\r",
    b"id: 1",
    b"id:2",
    b"id: 3\n\n",
    b"data",
    b": ",
    b"word",
    b"\xff",
)


def feed_until_error(framer, parts):
    """Returns the bytes that come out, and the error that ends them."""
    passed = b""
    try:
        for part in parts:
            passed += framer.feed(part)
    except http1.ResponseLostError as error:
        return passed, type(error)
    return passed, None


@pytest.mark.parametrize("is_resumed", [False, True])
@hypothesis.given(
    pieces=strategies.lists(strategies.sampled_from(PIECES), max_size=12),
    cuts=strategies.sets(strategies.integers(0, 60)),
)
def test_segments_change_nothing_in_a_stream(is_resumed, pieces, cuts):
    """Guards against a stream whose end or position depends on segments."""
    data = b"".join(pieces)
    whole = streams.EventFramer()
    cut = streams.EventFramer()
    edges = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    parts = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    for framer in (whole, cut):
        if is_resumed:
            framer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
            framer.drop_partial_event()
    at_once, error = feed_until_error(whole, [data])
    in_parts, error_in_parts = feed_until_error(cut, parts)
    assert error == error_in_parts
    if error is not None:
        return
    assert at_once == in_parts == data[: len(at_once)]
    assert whole.last_id == cut.last_id
    assert whole.is_at_event_end == cut.is_at_event_end
    assert whole.is_resumable == cut.is_resumable
    assert whole.is_at_event_end == (at_once == data)
