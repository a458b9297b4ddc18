"""Tests what callers get of responses that servers break off or garble."""

import asyncio

import pytest
import pytest_asyncio

from sardinewharf.gateway import settings
from sardinewharf.standins import raw_server
from sardinewharf.testbed import gateway_harness

CLOSE = raw_server.Ending.CLOSE
RESET = raw_server.Ending.RESET


@pytest_asyncio.fixture
async def harness():
    # The cases of a test may not use up the retry budget.
    found = gateway_harness.GatewayHarness(
        settings.Guarantees(retry_ratio=1.0, retry_extra=1_000.0)
    )
    await found.start()
    yield found
    await found.close()


def forget_failures(harness):
    """Lets servers that failed be chosen again, as if time had passed."""
    harness.gateways[0]._health._known.clear()


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


# Each engine is asked once. One that says that it is full is asked again after
# pauses that double, for as long as a caller waits.
_SENDS = range(2, 4)
_SENDS_TO_FULL = range(2, 7)


async def assert_resumes_nothing(harness, script, case, sends=_SENDS):
    """Checks that a stream ends as incomplete behind its second event.

    It breaks off there, and the engines asked next play the script.
    """
    forget_failures(harness)
    requests = raw_server.play_scripts(harness.engines, [BROKEN, script])
    response = await send_once(harness, "/ask/1")
    assert response.body == make_events(1, 2), case
    assert not response.is_complete, case
    assert len(requests) in sends, case


async def assert_goes_on(harness, scripts, case):
    """Checks that a stream is whole, though it breaks off at times."""
    forget_failures(harness)
    raw_server.play_scripts(harness.engines, scripts)
    response = await send_once(harness, "/ask/1")
    assert response.body == make_events(1, 4), case
    assert response.is_complete, case


async def send_once(harness, path):
    """Sends a request that differs from all others."""
    return await harness.send_request(path, body=harness.make_id().encode())


@pytest.mark.parametrize("fields", OWN_FIELDS)
@pytest.mark.parametrize("status", [b"400", b"429", b"500", b"503"])
async def test_an_error_after_a_broken_stream_is_not_forwarded(
    harness, status, fields
):
    """Guards against an error's text within a stream."""
    head = b"HTTP/1.1 " + status + b" Error\r\n" + OWN_FIELDS[fields]
    is_full = fields == "not run" and status in (b"429", b"503")
    for framing, (rest, ending) in FRAMINGS.items():
        has_head = framing != "cut in a head"
        sends = _SENDS_TO_FULL if is_full and has_head else _SENDS
        error = raw_server.Script((head + rest,), ending)
        await assert_resumes_nothing(harness, error, framing, sends)


async def test_a_stream_goes_on_behind_a_server_that_did_not_run_it(harness):
    head = b"HTTP/1.1 503 Busy\r\n" + OWN_FIELDS["not run"]
    for framing, (rest, ending) in FRAMINGS.items():
        busy = raw_server.Script((head + rest,), ending)
        last = raw_server.Script((make_stream(3, 4),))
        await assert_goes_on(harness, [BROKEN, busy, last], framing)


async def test_a_stream_goes_on_that_broke_off_before_its_first_event(harness):
    broken = raw_server.Script((STREAM_HEAD,), RESET)
    last = raw_server.Script((make_stream(1, 4),))
    await assert_goes_on(harness, [broken, broken, last], "no event")


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
async def test_a_status_line_alone_resumes_nothing(harness, ending):
    """Guards against a stream that ends as complete within a head."""
    for line in STATUS_LINES:
        script = raw_server.Script((line,), ending)
        await assert_resumes_nothing(harness, script, line)


OTHER_SUCCESSES = [
    (b"200 OK", b"content-type: text/plain"),
    (b"200 OK", b"x-no-type: 1"),
    (b"200 OK", EVENT_STREAM + b"\r\ncontent-encoding: gzip"),
    (b"200 OK", EVENT_STREAM + b"\r\ncontent-encoding: identity"),
    (b"204 Empty", b"x-no-type: 1"),
    (b"206 Partial", b"content-type: text/plain"),
    (b"302 Found", EVENT_STREAM),
    (b"304 Same", EVENT_STREAM),
]


async def test_what_is_no_plain_event_stream_resumes_nothing(harness):
    """Guards against another kind of body within a stream."""
    for status, line in OTHER_SUCCESSES:
        has_body = status[:3] not in (b"204", b"304")
        body = make_events(3, 4) if has_body else b""
        script = raw_server.Script((make_response(body, status, line),))
        await assert_resumes_nothing(harness, script, (status, line))


FOREIGN_FIELDS = [
    b"",
    b"x-sardinewharf-server-stamp: s\r\n",
    b"x-sardinewharf-request-id: {id}\r\n",
    b"x-sardinewharf-server-stamp: s\r\nx-sardinewharf-request-id: other\r\n",
]


async def test_a_stream_that_is_not_the_servers_own_resumes_nothing(harness):
    """Guards against events of another request within a stream."""
    for fields in FOREIGN_FIELDS:
        stream = make_stream(3, 4).replace(b"{fields}", fields)
        script = raw_server.Script((stream,))
        await assert_resumes_nothing(harness, script, fields)


async def test_a_resumed_stream_that_breaks_again_goes_on(harness):
    again = STREAM_HEAD + make_chunk(make_events(3, 3) + b"id: 4\n")
    scripts = [
        BROKEN,
        raw_server.Script((again,), CLOSE),
        raw_server.Script((make_stream(4, 4),)),
    ]
    await assert_goes_on(harness, scripts, "again")


RESPONSE = make_response(b"an answer", b"200 OK", b"keep-alive: timeout=9")
CHUNKED_RESPONSE = (
    make_head(b"200 OK", CHUNKED)
    + make_chunk(b"an ")
    + make_chunk(b"answer")
    + b"0\r\ntrailer: x\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


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


UNFRAMED = make_head(b"200 OK", EVENT_STREAM)


@pytest.mark.parametrize("path", ["/chat/1", "/ask/1"])
@pytest.mark.parametrize("is_in_parts", [False, True])
async def test_a_stream_without_length_ends_with_a_fin(
    harness, path, is_in_parts
):
    """A server's answer may have no length and end with its channel."""
    parts = (UNFRAMED + make_events(1, 2), make_events(3, 4))
    if not is_in_parts:
        parts = (b"".join(parts),)
    requests = raw_server.play_scripts(
        harness.engines, [raw_server.Script(parts, CLOSE)]
    )
    answer = await harness.send_request(path, body=b"p")
    assert (answer.body, answer.is_complete) == (make_events(1, 4), True)
    assert len(requests) == 1


@pytest.mark.parametrize("is_in_parts", [False, True])
async def test_a_stream_without_length_that_breaks_is_not_whole(
    harness, is_in_parts
):
    """Guards against a reset, or half an event, taken for a stream's end."""
    for end, ending in [
        (b"", RESET),
        (b"id: 3\n", RESET),
        (b"id: 3\ndata: word 3\n", CLOSE),
        (b"id: 3", CLOSE),
        (b"i", CLOSE),
    ]:
        parts = (UNFRAMED + make_events(1, 2), end)
        if not is_in_parts:
            parts = (b"".join(parts),)
        broken = raw_server.Script(parts, ending)
        forget_failures(harness)
        raw_server.play_scripts(harness.engines, [broken])
        answer = await send_once(harness, "/chat/1")
        assert answer.body == make_events(1, 2), end
        assert not answer.is_complete, end
        last = raw_server.Script((make_stream(3, 4),))
        await assert_goes_on(harness, [broken, last], end)


async def test_a_body_without_length_that_is_reset_is_not_forwarded(harness):
    """One that is reset on the way isn't complete."""
    for parts in ((make_head() + b"an answer",), (make_head(), b"an answer")):
        raw_server.play_scripts(
            harness.servers, [raw_server.Script(parts, RESET)]
        )
        answer = await harness.send_request("/book/1", body=b"x")
        assert (answer.status, answer.is_complete) == (502, True)


KEPT = b"keep-alive: timeout=9"
EXTRA = make_response(b"an extra answer", b"200 OK", KEPT)
EXTRA_ERROR = make_response(b"an extra error", b"500 Error", KEPT)


@pytest.mark.parametrize("extra", [EXTRA, EXTRA_ERROR], ids=["200", "500"])
@pytest.mark.parametrize("cut", [0, 5, 60, -1])
async def test_a_second_response_on_one_request_reaches_nobody(
    harness, extra, cut
):
    """Guards against a late response, whole or in parts.

    It carries the id of the request before, and comes in the same segment,
    before, with or after the next request.
    """
    script = raw_server.Script((RESPONSE + extra[:cut], extra[cut:]))
    raw_server.play_scripts(harness.servers, [script])
    for pause_s in (0, 0, 0.005, 0.009, 0.01, 0.011, 0.02):
        forget_failures(harness)
        answer = await harness.send_request("/book/1", body=b"x")
        assert answer.is_complete
        if answer.status == 200:
            assert answer.body == b"an answer"
        else:
            assert answer.status == 502
        assert b"extra" not in answer.body
        await asyncio.sleep(pause_s)


@pytest.mark.parametrize("status", [b"200 OK", b"204 Empty", b"500 Error"])
@pytest.mark.parametrize("is_in_parts", [False, True])
async def test_a_late_response_is_not_taken_for_the_next_one(
    harness, status, is_in_parts
):
    """Guards against an extra response where the next one is expected."""
    foreign = (
        b"HTTP/1.1 " + status + b"\r\nx-sardinewharf-request-id: before\r\n"
        b"x-sardinewharf-server-stamp: s\r\nkeep-alive: timeout=9\r\n"
    )
    foreign += b"\r\n" if b"204" in status else b"content-length: 0\r\n\r\n"
    parts = (foreign, RESPONSE) if is_in_parts else (foreign + RESPONSE,)
    first, late = raw_server.Script((RESPONSE,)), raw_server.Script(parts)
    for _ in range(4):
        forget_failures(harness)
        raw_server.play_scripts(harness.servers, [first, late, first])
        answers = [await send_once(harness, "/book/1") for _ in range(6)]
        assert {answer.status for answer in answers} <= {200, 502}
        assert answers[1].status == 502
        for answer in answers:
            assert answer.is_complete
            assert (answer.status == 200) == (answer.body == b"an answer")


AMBIGUOUS = (
    [
        make_head(b"200 OK", *lines) + b"an answer"
        for lines in [
            (b"content-length: 1", b"content-length: 9"),
            (b"content-length: 9", CHUNKED),
            (b"content-length: -1",),
            (b"content-length: 99999999999999999999",),
            (b"content-length: 9", b"x-name: a\r\n b"),
            (b"content-length: 9", b"x-name: a\x01b"),
            (b"content-length: 9", b"x name: a"),
        ]
    ]
    + [b"HTTP/1.1 199 Odd\r\ncontent-length: 3\r\n\r\nbad" + RESPONSE]
    + [front + RESPONSE for front in (b"junk\r\n", b"\0", b" ", EXTRA[:9])]
)


async def test_an_ambiguous_head_is_not_forwarded(harness):
    """Guards against a response that two readers would split differently."""
    for response in AMBIGUOUS:
        forget_failures(harness)
        requests = raw_server.play_scripts(
            harness.servers, [raw_server.Script((response,))]
        )
        answer = await send_once(harness, "/book/1")
        assert (answer.status, answer.is_complete) == (502, True), response
        assert len(requests) == 1


PLAIN = [
    make_response(b"an answer", b"200 OK", line)
    for line in (b"x-name: \x80\xff", b"x-name: a\tb", b"!#$%&'*+-.^_`|~9: a")
]
WITH_FRONT = [
    front + RESPONSE
    for front in (
        b"HTTP/1.1 103 Hints\r\nx-hint: 1\r\n\r\n",
        CONTINUE * 3,
        b"\r\n\r\n",
    )
]


async def test_odd_responses_are_forwarded(harness):
    """Guards against an exception while a head is written to a caller."""
    for response in PLAIN + WITH_FRONT:
        raw_server.play_scripts(
            harness.servers,
            [raw_server.Script((response[:9], response[9:]))],
        )
        answer = await send_once(harness, "/book/1")
        assert (answer.status, answer.body) == (200, b"an answer"), response
        assert "x-hint" not in answer.headers


async def test_interim_responses_without_end_are_no_response(harness):
    """Guards against a request that is held by a server that never answers."""
    raw_server.play_scripts(
        harness.servers, [raw_server.Script((CONTINUE * 4_000,))]
    )
    answer = await harness.send_request("/book/1", body=b"x")
    assert (answer.status, answer.is_complete) == (502, True)


@pytest.mark.parametrize("ending", [STAY, CLOSE])
async def test_http_1_0_responses_are_forwarded(harness, ending):
    response = RESPONSE.replace(b"HTTP/1.1", b"HTTP/1.0")
    if ending is CLOSE:
        response = response.replace(b"content-length", b"x-length")
    raw_server.play_scripts(
        harness.servers, [raw_server.Script((response,), ending)]
    )
    for _ in range(3):
        answer = await harness.send_request("/book/1", body=b"x")
        assert (answer.status, answer.body) == (200, b"an answer")


def make_odd_events(first, last, line_end, field):
    return b"".join(
        line_end.join((field % n, b"data: word %d" % n, b"", b""))
        for n in range(first, last + 1)
    )


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("field", [b"id: %d", b"id:%d", b"id: 0%d"])
async def test_a_stream_cut_anywhere_is_resumed_behind_its_last_event(
    harness, line_end, field
):
    """Guards against events that come twice or not at all."""
    begin = make_odd_events(1, 2, line_end, field)
    whole = make_odd_events(1, 4, line_end, field)
    first_event = len(make_odd_events(1, 1, line_end, field))
    for cut in range(first_event, len(begin) + 1, 4):
        events = 2 if cut == len(begin) else 1
        rest = whole[len(make_odd_events(1, events, line_end, field)) :]
        forget_failures(harness)
        requests = raw_server.play_scripts(
            harness.engines,
            [
                raw_server.Script(
                    (STREAM_HEAD + make_chunk(begin[:cut]),), RESET
                ),
                raw_server.Script((STREAM_HEAD + make_chunk(rest), LAST_CHUNK)),
            ],
        )
        answer = await send_once(harness, "/ask/1")
        assert (answer.body, answer.is_complete) == (whole, True), cut
        assert requests[1].headers["last-event-id"] == str(events)


async def test_a_stream_that_goes_on_behind_a_blank_line_is_whole(harness):
    """Guards against a whole stream that counts as broken off."""
    requests = raw_server.play_scripts(
        harness.engines,
        [
            raw_server.Script(
                (
                    STREAM_HEAD + make_chunk(make_events(1, 4)),
                    make_chunk(b"\n"),
                    LAST_CHUNK,
                )
            )
        ],
    )
    answer = await send_once(harness, "/ask/1")
    assert answer.body == make_events(1, 4) + b"\n"
    assert answer.is_complete
    assert len(requests) == 1
