"""Tests responses of endpoints that are unusual, or cannot be forwarded."""

import pytest
import pytest_asyncio

from sardinewharf.gateway.tests import callers


@pytest_asyncio.fixture
async def caller(harness):
    opened = await callers.RawCaller.connect(harness)
    yield opened
    opened.close()


def answer_with(servers, status, headers, body):
    """Lets servers write these bytes as their responses."""

    async def respond(connection, request):
        lines = [f"{n}: {v}" for n, v in server.make_headers(request)]
        connection.transport.write(
            b"HTTP/1.1 " + status + b"\r\n" + "\r\n".join(lines).encode()
        )
        connection.transport.write(b"\r\n" + headers + b"\r\n" + body)

    for server in servers:
        server.respond = respond


LENGTH_2 = b"content-length: 2\r\n"


@pytest.mark.parametrize("path", ["/book/1", "/look/1", "/chat/1", "/ask/1"])
@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (b"799 Odd", LENGTH_2),
        (b"600 Odd", LENGTH_2),
        (b"999 Odd", LENGTH_2),
        (b"099 Odd", LENGTH_2),
        (b"000 Odd", LENGTH_2),
        (b"200 OK", LENGTH_2 + b"x-odd: a\x01b\r\n"),
        (b"200 OK", LENGTH_2 + b"x-odd: a\x7fb\r\n"),
        (b"200 OK", LENGTH_2 + b"x-odd: a\x00b\r\n"),
        (b"200 OK", LENGTH_2 + b"x-odd: a\x0cb\r\n"),
        (b"200 OK", LENGTH_2 + b"x odd: ab\r\n"),
        (b"200 OK", LENGTH_2 + b"x(odd): ab\r\n"),
        (b"200 OK", LENGTH_2 + b"x-\xc3\xa4: ab\r\n"),
        (b"500 Odd", LENGTH_2 + b"x-odd: a\x01b\r\n"),
        (b"404 Odd", LENGTH_2 + b"x@odd: ab\r\n"),
    ],
)
async def test_what_cannot_be_forwarded_is_refused(
    harness, caller, path, status, headers
):
    """Guards against a connection that is closed without a byte."""
    answer_with([*harness.servers, *harness.engines], status, headers, b"ok")
    request, _ = callers.encode(harness, path)
    await caller.send(request)
    response = await caller.read_response()
    assert response.status == 502
    assert "x-sardinewharf-server-stamp" not in response.headers


@pytest.mark.parametrize("position", ["name", "value"])
async def test_no_byte_of_a_header_ends_a_response_unseen(harness, position):
    """Guards against header bytes that only the server side finds wrong."""
    for number in range(256):
        odd = b"a" + bytes([number]) + b"b"
        header = odd + b": x" if position == "name" else b"x-odd: " + odd
        answer_with(
            harness.servers, b"200 OK", LENGTH_2 + header + b"\r\n", b"ok"
        )
        response = await harness.send_request("/open/1")
        assert response.status in (200, 502, 503, 504), number


@pytest.mark.parametrize("path", ["/book/1", "/look/1", "/chat/1"])
@pytest.mark.parametrize("status", [b"204 None", b"304 None"])
@pytest.mark.parametrize("headers", [b"", LENGTH_2])
@pytest.mark.parametrize("body", [b"", b"ok"])
async def test_a_response_without_a_body_has_none(
    harness, caller, path, status, headers, body
):
    """Guards against body bytes behind a response that has no body."""
    answer_with([*harness.servers, *harness.engines], status, headers, body)
    for _ in range(2):
        request, _ = callers.encode(harness, path)
        await caller.send(request)
        response = await caller.read_response()
        assert response.status == int(status[:3])
        assert "content-length" not in response.headers
        assert "transfer-encoding" not in response.headers


@pytest.mark.parametrize("path", ["/book/1", "/look/1", "/chat/1"])
@pytest.mark.parametrize("body", [b"", b"ok"])
async def test_a_response_to_head_states_no_wrong_length(
    harness, caller, path, body
):
    """Guards against "content-length: 0" where a GET would give a body.

    RFC 9110, section 8.6.
    """
    answer_with([*harness.servers, *harness.engines], b"200 OK", LENGTH_2, body)
    for _ in range(2):
        request, _ = callers.encode(harness, path, b"", "HEAD")
        await caller.send(request)
        response = await caller.read_head()
        assert response.status == 200
        assert response.headers.get("content-length", "2") == "2"
