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


ERROR_TEXT = b"id: 3\ndata: an error\n\n"
STAY = raw_server.Ending.STAY
# Fields, body and ending of an error response.
FRAMINGS = {
    "length": (b"content-length: %d\r\n\r\n" % 24 + ERROR_TEXT, STAY),
    "short": (b"content-length: 99\r\n\r\n" + ERROR_TEXT, CLOSE),
    "no length": (b"\r\n" + ERROR_TEXT, CLOSE),
    "no length, reset": (b"\r\n" + ERROR_TEXT, RESET),
    "chunked": (
        CHUNKED + b"\r\n\r\n18\r\n" + ERROR_TEXT + b"\r\n0\r\n\r\n",
        STAY,
    ),
    "cut in a size line": (
        CHUNKED + b"\r\n\r\n18\r\n" + ERROR_TEXT + b"\r\n1",
        CLOSE,
    ),
    "cut in a head": (b"content-type: text/pl", CLOSE),
    "head alone": (b"\r\n", CLOSE),
}
OWN_FIELDS = {
    "bare": b"",
    "stamped": b"{fields}",
    "not run": b"{fields}x-sardinewharf-not-run: 1\r\n",
}


def assert_is_prefix(response, sent_events):
    """Checks that a stream is whole, or ends as incomplete where it broke."""
    assert response.status == 200
    if response.is_complete:
        assert response.body == make_events(1, 4)
    else:
        assert response.body == make_events(1, sent_events)


async def play_broken_stream(harness, *later):
    """Sends a request whose stream breaks off after two events."""
    return await play_streams(harness, BROKEN, *later)


async def play_streams(harness, *scripts):
    requests = raw_server.play_scripts(harness.engines, scripts)
    response = await harness.send_request("/ask/1", body=b"p")
    assert len(requests) <= 3
    return response


@pytest.mark.parametrize(
    ("fields", "framing"),
    [("stamped", framing) for framing in FRAMINGS]
    + [("bare", "length"), ("not run", "length")],
)
@pytest.mark.parametrize("status", [b"400", b"429", b"500", b"503"])
async def test_an_error_after_a_broken_stream_is_not_forwarded(
    harness, status, fields, framing
):
    """Guards against an error's text within a stream."""
    rest, ending = FRAMINGS[framing]
    head = b"HTTP/1.1 " + status + b" Error\r\n" + OWN_FIELDS[fields]
    error = raw_server.Script((head + rest,), ending)
    response = await play_broken_stream(harness, error)
    assert response.body == make_events(1, 2)
    assert not response.is_complete


@pytest.mark.parametrize(
    ("sent_events", "framing"),
    [(2, framing) for framing in FRAMINGS] + [(0, "length")],
)
async def test_a_stream_goes_on_behind_a_server_that_did_not_run_it(
    harness, sent_events, framing
):
    begin = make_chunk(make_events(1, 2)) if sent_events else b""
    rest, ending = FRAMINGS[framing]
    head = b"HTTP/1.1 503 Busy\r\n" + OWN_FIELDS["not run"]
    response = await play_streams(
        harness,
        raw_server.Script((STREAM_HEAD + begin,), RESET),
        raw_server.Script((head + rest,), ending),
        raw_server.Script((make_stream(sent_events + 1, 4),)),
    )
    assert_is_prefix(response, sent_events)
    assert response.is_complete


STATUS_LINES = [
    b"HTTP/1.1 503 Busy",
    b"HTTP/1.1 503 Busy\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nid: 3\ndata: word 3\n\n",
    b"HTTP/1.1 ",
    b"id: 3\ndata: word 3\n\n",
    b"\0",
    b"",
]


@pytest.mark.parametrize("ending", [CLOSE, RESET])
@pytest.mark.parametrize("line", STATUS_LINES)
async def test_a_status_line_alone_resumes_nothing(harness, line, ending):
    """Guards against a stream that ends as complete within a head."""
    response = await play_broken_stream(
        harness, raw_server.Script((line,), ending)
    )
    assert response.body == make_events(1, 2)
    assert not response.is_complete


@pytest.mark.parametrize(
    ("status", "line"),
    [
        (b"200 OK", b"content-type: text/plain"),
        (b"200 OK", b"x-no-type: 1"),
        (b"200 OK", EVENT_STREAM + b"\r\ncontent-encoding: gzip"),
        (b"200 OK", EVENT_STREAM + b"\r\ncontent-encoding: identity"),
        (b"204 Empty", b"x-no-type: 1"),
        (b"206 Partial", b"content-type: text/plain"),
        (b"302 Found", EVENT_STREAM),
        (b"304 Same", EVENT_STREAM),
    ],
)
async def test_a_success_that_is_no_plain_event_stream_resumes_nothing(
    harness, status, line
):
    """Guards against another kind of body within a stream."""
    has_body = status[:3] not in (b"204", b"304")
    body = make_events(3, 4) if has_body else b""
    response = await play_broken_stream(
        harness,
        raw_server.Script((make_response(body, status, line),)),
    )
    assert response.body == make_events(1, 2)
    assert not response.is_complete


@pytest.mark.parametrize(
    "head",
    [
        STREAM_HEAD.replace(b"{fields}", b""),
        STREAM_HEAD.replace(b"{fields}", b"x-sardinewharf-server-stamp: s\r\n"),
        STREAM_HEAD.replace(
            b"{fields}", b"x-sardinewharf-request-id: {id}\r\n"
        ),
        STREAM_HEAD.replace(
            b"{fields}",
            b"x-sardinewharf-server-stamp: s\r\n"
            b"x-sardinewharf-request-id: another\r\n",
        ),
    ],
    ids=["bare", "no id", "no stamp", "another id"],
)
async def test_a_stream_that_is_not_the_servers_own_resumes_nothing(
    harness, head
):
    """Guards against events of another request within a stream."""
    stream = head + make_chunk(make_events(3, 4)) + LAST_CHUNK
    response = await play_broken_stream(harness, raw_server.Script((stream,)))
    assert response.body == make_events(1, 2)
    assert not response.is_complete


async def test_a_resumed_stream_that_breaks_again_goes_on(harness):
    response = await play_broken_stream(
        harness,
        raw_server.Script(
            (STREAM_HEAD + make_chunk(make_events(3, 3) + b"id: 4\n"),), CLOSE
        ),
        raw_server.Script((make_stream(4, 4),)),
    )
    assert response.body == make_events(1, 4)
    assert response.is_complete


RESPONSE = make_response(b"an answer", b"200 OK", b"keep-alive: timeout=9")
CHUNKED_RESPONSE = (
    make_head(b"200 OK", CHUNKED)
    + make_chunk(b"an ")
    + make_chunk(b"answer")
    + b"0\r\ntrailer: x\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def forget_failures(harness):
    """Lets servers that failed be chosen again, as if time had passed."""
    harness.gateways[0]._health._known.clear()


@pytest.mark.parametrize("ending", [CLOSE, RESET])
@pytest.mark.parametrize(
    "response",
    [RESPONSE, CHUNKED_RESPONSE, CONTINUE + RESPONSE],
    ids=["length", "chunked", "100"],
)
async def test_a_response_that_is_cut_is_not_forwarded(
    harness, response, ending
):
    """Guards against a 200 with a short body that is framed as whole."""
    head_end = response.index(b"\r\n\r\n", len(CONTINUE))
    cuts = {*range(0, head_end, 9), *range(head_end, len(response))}
    for cut in sorted(cuts):
        parts = (
            (response[:cut],) if cut % 2 else (response[:5], response[5:cut])
        )
        forget_failures(harness)
        requests = raw_server.play_scripts(
            harness.servers, [raw_server.Script(parts, ending)]
        )
        answer = await harness.send_request("/book/1", body=b"%d" % cut)
        assert (answer.status, answer.is_complete) == (502, True), cut
        assert len(requests) == 1


@pytest.mark.parametrize("ending", [CLOSE, RESET])
async def test_a_stream_that_is_cut_at_any_byte_is_not_whole(harness, ending):
    """Guards against a stream whose break looks like its end."""
    response = make_stream(1, 2)[:-5] + b"0\r\ntrailer: x\r\n\r\n"
    events = make_events(1, 2)
    head = response.index(b"\r\n\r\n") + 4
    for cut in range(head, len(response)):
        forget_failures(harness)
        requests = raw_server.play_scripts(
            harness.engines, [raw_server.Script((response[:cut],), ending)]
        )
        answer = await harness.send_request("/chat/1", body=b"%d" % cut)
        assert answer.status == 200
        assert not answer.is_complete, cut
        assert answer.body in (b"", make_events(1, 1), events)
        assert len(requests) == 1
