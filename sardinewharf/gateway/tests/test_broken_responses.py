"""Tests what callers get of responses that servers break off or garble."""

import pytest
import pytest_asyncio

from sardinewharf.standins import raw_server
from sardinewharf.testbed import gateway_harness

CLOSE = raw_server.Ending.CLOSE
RESET = raw_server.Ending.RESET


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness()
    await found.start()
    yield found
    await found.close()


def make_head(status=b"200 OK", *lines):
    """Returns a response's head, with the fields of the server's own."""
    fields = b"".join(line + b"\r\n" for line in lines)
    return b"HTTP/1.1 " + status + b"\r\n{fields}" + fields + b"\r\n"


def make_response(body, status=b"200 OK", *lines):
    length = b"content-length: %d" % len(body)
    return make_head(status, length, *lines) + body


def make_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_events(first, last):
    return b"".join(
        b"id: %d\ndata: word %d\n\n" % (n, n) for n in range(first, last + 1)
    )


EVENT_STREAM = b"content-type: text/event-stream"
CHUNKED = b"transfer-encoding: chunked"
STREAM_HEAD = make_head(b"200 OK", EVENT_STREAM, CHUNKED)
LAST_CHUNK = b"0\r\n\r\n"


def make_stream(first, last):
    """Returns a whole stream of events, in chunks."""
    return STREAM_HEAD + make_chunk(make_events(first, last)) + LAST_CHUNK


# A stream that breaks off within its third event.
BROKEN = raw_server.Script(
    (STREAM_HEAD + make_chunk(make_events(1, 2)) + make_chunk(b"id: 3\nda"),),
    RESET,
)


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
async def test_a_status_that_is_none_is_not_forwarded(harness, status):
    """Guards against an exception while the head was written to the caller."""
    raw_server.play_scripts(
        harness.servers, [raw_server.Script((make_response(b"x", status),))]
    )
    response = await harness.send_request("/book/1", body=b"x")
    assert (response.status, response.is_complete) == (502, True)
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("has_id", [True, False])
async def test_a_stamp_in_the_trailers_is_no_stamp(harness, has_id):
    """Guards against a success that is believed for its trailers."""
    fields = b"x-sardinewharf-request-id: {id}\r\n" if has_id else b""
    raw_server.play_scripts(
        harness.servers,
        [
            raw_server.Script(
                (
                    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
                    + fields
                    + b"\r\n1\r\nx\r\n0\r\n{fields}\r\n",
                )
            )
        ],
    )
    response = await harness.send_request("/book/1", body=b"x")
    assert (response.status, response.is_complete) == (502, True)


@pytest.mark.parametrize("third", [make_stream(3, 4), make_stream(1, 4)])
async def test_a_resumed_stream_that_begins_again_is_not_joined(harness, third):
    """Guards against events that come twice.

    A server ignored ``Last-Event-Id``; all its events were forwarded.
    """
    requests = raw_server.play_scripts(
        harness.engines,
        [
            BROKEN,
            raw_server.Script((make_stream(1, 4),)),
            raw_server.Script((third,)),
        ],
    )
    response = await harness.send_request("/ask/1", body=b"p")
    assert response.status == 200
    if third == make_stream(3, 4):
        assert response.body == make_events(1, 4)
        assert response.is_complete
    else:
        assert response.body == make_events(1, 2)
        assert not response.is_complete
    assert [r.headers.get("last-event-id") for r in requests] == [
        None,
        "2",
        "2",
    ]


@pytest.mark.parametrize(
    "begin",
    [
        b"data: word\n\n",
        b"id: 1\ndata: word\n\ndata: word\n\n",
        b"id: 2\ndata: word\n\nid: 1\ndata: word\n\n",
        b"id: 1\ndata: word\n\nid: 1\ndata: word\n\n",
    ],
    ids=["no id", "last without id", "id goes back", "id repeats"],
)
async def test_a_stream_whose_position_is_unknown_is_not_resumed(
    harness, begin
):
    """Guards against events that come twice.

    The stream was resumed behind its last id, though that of its last event
    was unknown, or began again if there was none.
    """
    raw_server.play_scripts(
        harness.engines,
        [
            raw_server.Script((STREAM_HEAD + make_chunk(begin),), RESET),
            raw_server.Script((make_stream(2, 4),)),
        ],
    )
    response = await harness.send_request("/ask/1", body=b"p")
    assert response.body == begin
    assert not response.is_complete
