import asyncio

import pytest
from uvicorn.protocols.http import httptools_impl

from sardinewharf import http1
from sardinewharf import memory


class Transport(asyncio.Transport):
    """Discards what is written and records whether it was closed."""

    def __init__(self):
        super().__init__()
        self.is_ended = False

    def write(self, data):
        pass

    def abort(self):
        self.is_ended = True

    close = abort

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def is_closing(self):
        return self.is_ended

    def get_write_buffer_size(self):
        return 0


def make_response(name, body):
    return b"HTTP/1.1 200 OK\r\nstamp: %b\r\ncontent-length: %d\r\n\r\n%b" % (
        name,
        len(body),
        body,
    )


def open_exchange():
    connection = http1.Connection()
    connection.connection_made(Transport())
    return connection, connection.start(b"POST", b"request")


async def test_headers_of_a_second_response_do_not_join_the_first():
    """Guards against headers of an unrequested second response.

    Both responses arrived in one TCP segment, and the caller got the stamp
    headers of both.
    """
    connection, exchange = open_exchange()
    connection.data_received(
        make_response(b"own", b"one") + make_response(b"foreign", b"two")
    )
    head = await exchange.read_head()
    assert [v for n, v in head.headers if n == b"stamp"] == [b"own"]
    assert await exchange.read() == b"one"
    assert await exchange.read() == b""
    assert not connection.is_open


async def test_bytes_after_a_response_end_the_connection():
    connection, exchange = open_exchange()
    connection.data_received(make_response(b"own", b"one"))
    assert exchange.is_complete and connection.is_open
    connection.data_received(make_response(b"foreign", b"two"))
    assert not connection.is_open


async def test_a_second_response_in_parts_joins_nothing():
    connection, exchange = open_exchange()
    extra = make_response(b"foreign", b"two")
    connection.data_received(make_response(b"own", b"one") + extra[:20])
    head = await exchange.read_head()
    connection.data_received(extra[20:])
    assert [v for n, v in head.headers if n == b"stamp"] == [b"own"]
    assert not connection.is_open


async def test_a_response_cut_short_is_lost():
    connection, exchange = open_exchange()
    connection.data_received(make_response(b"own", b"one")[:-1])
    connection.eof_received()
    connection.connection_lost(None)
    await exchange.read_head()
    assert await exchange.read() == b"on"
    try:
        await exchange.read()
    except http1.ResponseLostError:
        return
    raise AssertionError("a truncated response was taken as complete")


CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("begin", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"x-name: value\r\n" * 500),
        (b"HTTP/1.1 200 OK\r\nx-name: ", b"v" * 8_000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
        (CHUNKED + b"1;", b"name=value;" * 700),
        (CHUNKED + b"0\r\n", b"x-name: value\r\n" * 500),
    ],
    ids=["headers", "value", "interim", "extension", "trailers"],
)
async def test_bytes_without_end_are_not_collected(begin, repeated):
    """They were kept until the deadline, and filled the memory of a VM."""
    connection, exchange = open_exchange()
    connection.data_received(begin + repeated)
    received = 0
    while connection.is_open:
        connection.data_received(repeated)
        received += len(repeated)
        assert received < 200_000, received
    with pytest.raises(http1.ResponseLostError):
        if begin.startswith(CHUNKED):
            await exchange.read_head()
            await exchange.read()
            await exchange.read()
        await exchange.read_head()


async def test_a_large_body_is_not_taken_for_headers():
    connection, exchange = open_exchange()
    connection.data_received(CHUNKED)
    for _ in range(400):
        connection.data_received(b"4000\r\n" + b"b" * 0x4000 + b"\r\n")
        assert len(await exchange.read()) == 0x4000
    connection.data_received(b"0\r\n\r\n")
    assert await exchange.read() == b""


async def read_all(exchange):
    """Returns the status and the body of a response that has arrived."""
    head = await exchange.read_head()
    chunks = []
    while chunk := await exchange.read():
        chunks.append(chunk)
    return head.status, b"".join(chunks)


@pytest.mark.parametrize("status", [100, 101, 102, 103, 104, 150, 199])
@pytest.mark.parametrize(
    "rest",
    [
        b"content-length: 3\r\n\r\nbad",
        CHUNKED.partition(b"\r\n")[2] + b"3\r\nbad\r\n0\r\n\r\n",
    ],
    ids=["length", "chunked"],
)
async def test_a_body_of_an_interim_response_joins_nothing(status, rest):
    """Guards against a body that begins with another response's bytes.

    An interim response has no body. One that had was forwarded in front of the
    body of the final response, which looked complete.
    """
    connection, exchange = open_exchange()
    interim = b"HTTP/1.1 %d Interim\r\n" % status + rest
    connection.data_received(interim + make_response(b"own", b"one"))
    with pytest.raises(http1.ResponseLostError):
        await read_all(exchange)
    assert not connection.is_open


@pytest.mark.parametrize("status", [0, 20, 99, 600, 700, 999])
async def test_a_status_that_is_none_is_no_response(status):
    """Guards against a status that cannot be sent to a caller.

    Writing its status line failed, and the caller got a closed connection
    without a byte.
    """
    connection, exchange = open_exchange()
    connection.data_received(
        b"HTTP/1.1 %03d Odd\r\ncontent-length: 1\r\n\r\n." % status
    )
    with pytest.raises(http1.ResponseLostError):
        await exchange.read_head()
    assert not connection.is_open


@pytest.mark.parametrize("status", [200, 299, 300, 451, 599])
async def test_an_unknown_status_passes(status):
    connection, exchange = open_exchange()
    connection.data_received(
        b"HTTP/1.1 %d Odd\r\ncontent-length: 1\r\n\r\n." % status
    )
    assert await read_all(exchange) == (status, b".")


@pytest.mark.parametrize("parts", [1, 2])
async def test_trailers_do_not_join_the_headers(parts):
    """Guards against a stamp or a refusal that stands behind a body.

    Trailers were added to the headers if they arrived before the headers had
    been read, so that what a response said depended on its segments.
    """
    connection, exchange = open_exchange()
    trailers = b"0\r\nstamp: late\r\nnot-run: 1\r\n\r\n"
    if parts == 1:
        connection.data_received(CHUNKED + b"1\r\n.\r\n" + trailers)
        head = await exchange.read_head()
    else:
        connection.data_received(CHUNKED + b"1\r\n.\r\n")
        head = await exchange.read_head()
        connection.data_received(trailers)
    assert head.headers == [(b"transfer-encoding", b"chunked")]
    assert await read_all(exchange) == (200, b".")
    assert connection.is_open


async def test_a_connection_whose_reading_is_paused_is_not_used_again():
    """Guards against a request whose response is never read.

    The reader of a large response left before it had read all of it. The
    connection went back to the pool, and nothing more was read from it.
    """
    connection, exchange = open_exchange()
    connection.data_received(make_response(b"own", b"x" * 300_000))
    assert exchange.is_complete
    exchange.close()
    assert not connection.is_open


async def test_a_large_response_that_is_read_leaves_its_connection_usable():
    connection, exchange = open_exchange()
    connection.data_received(make_response(b"own", b"x" * 300_000))
    status, body = await read_all(exchange)
    exchange.close()
    assert (status, len(body)) == (200, 300_000)
    assert connection.is_open


BAD_HEADS = {
    "two lengths": b"content-length: 1\r\ncontent-length: 2\r\n",
    "two equal lengths": b"content-length: 1\r\ncontent-length: 1\r\n",
    "a list of lengths": b"content-length: 1, 1\r\n",
    "length and coding": (
        b"content-length: 1\r\ntransfer-encoding: chunked\r\n"
    ),
    "coding and length": (
        b"transfer-encoding: chunked\r\ncontent-length: 1\r\n"
    ),
    "length and identity": (
        b"content-length: 1\r\ntransfer-encoding: identity\r\n"
    ),
    "negative length": b"content-length: -1\r\n",
    "signed length": b"content-length: +1\r\n",
    "hexadecimal length": b"content-length: 0x1\r\n",
    "length over 64 bits": b"content-length: 18446744073709551617\r\n",
    "long length": b"content-length: " + b"9" * 5_000 + b"\r\n",
    "no length": b"content-length:\r\n",
    "spaced length": b"content-length : 1\r\n",
    "folded length": b"content-length: 1\r\n 1\r\n",
    "folded with a space": b"content-length: 1\r\nx-name: a\r\n b\r\n",
    "folded with a tab": b"content-length: 1\r\nx-name: a\r\n\tb\r\n",
    "folded at once": b" x-name: a\r\ncontent-length: 1\r\n",
    "no name": b": a\r\ncontent-length: 1\r\n",
    "no colon": b"x-name\r\ncontent-length: 1\r\n",
    "bare LF": b"content-length: 1\nx-name: a\r\n",
    "bare CR": b"content-length: 1\rx-name: a\r\n",
    "long keep-alive": (
        b"content-length: 1\r\nkeep-alive: timeout=" + b"9" * 400 + b"\r\n"
    ),
}


@pytest.mark.parametrize("kind", BAD_HEADS)
async def test_an_ambiguous_head_is_no_response(kind):
    """Guards against a response that two readers would split differently."""
    connection, exchange = open_exchange()
    connection.data_received(
        b"HTTP/1.1 200 OK\r\n" + BAD_HEADS[kind] + b"\r\n.\r\n0\r\n\r\n"
    )
    with pytest.raises(http1.ResponseLostError):
        await exchange.read_head()
    assert not connection.is_open


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.2 200 OK",
        b"HTTP/1 200 OK",
        b"HTTPS/1.1 200 OK",
        b" HTTP/1.1 200 OK",
        b"\0HTTP/1.1 200 OK",
        b"junk\r\nHTTP/1.1 200 OK",
        b"HTTP/1.1 200 OK\n",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 -20 OK",
        b"HTTP/1.1 2x0 OK",
        b"HTTP/1.1 101 Switch\r\nupgrade: x\r\nconnection: upgrade",
        b"HTTP/1.1 101 Switch",
    ],
)
async def test_bytes_that_are_no_status_line_are_no_response(line):
    """Guards against bytes in front of a response, or an upgrade."""
    connection, exchange = open_exchange()
    for part in (
        line + b"\r\n",
        b"content-length: 1\r\n\r\n.",
        make_response(b"own", b"one"),
    ):
        if connection.is_open:
            connection.data_received(part)
    with pytest.raises(http1.ResponseLostError):
        await exchange.read_head()
    assert not connection.is_open


def list_accepted(make_line):
    """Returns the bytes with which a line is accepted."""
    accepted = []
    for number in range(256):
        connection, exchange = open_exchange()
        connection.data_received(
            b"HTTP/1.1 200 OK\r\n"
            + make_line(bytes([number]))
            + b"\r\ncontent-length: 0\r\n\r\n"
        )
        if exchange.is_complete:
            accepted.append(number)
    return accepted


async def test_no_header_passes_that_cannot_be_written():
    """Guards against an exception while a head is written to a caller.

    The server refuses to write some bytes that a client might let through.
    """
    names = list_accepted(lambda byte: b"x" + byte + b"y: value")
    values = list_accepted(lambda byte: b"x-name: x" + byte + b"y")
    # A colon ends the name.
    written_names = bytes(n for n in names if n != ord(":"))
    assert not httptools_impl.HEADER_RE.search(written_names)
    assert not httptools_impl.HEADER_VALUE_RE.search(bytes(values))
    assert len(written_names) == 77 and len(values) == 256 - 32


CHUNKED_BAD = [
    b"-1\r\n.\r\n",
    b"0x1\r\n.\r\n",
    b"\r\n.\r\n",
    b"1 \r\n.\r\n",
    b"1\n.\n",
    b"1\r\n.x\r\n",
    b"1\r\n..\r\n",
    b"11111111111111111\r\n.\r\n",
    b"HTTP/1.1 500 Error\r\n\r\n",
]


@pytest.mark.parametrize("chunk", CHUNKED_BAD)
async def test_an_ambiguous_chunk_ends_a_body(chunk):
    """Guards against bytes that are no chunk within a body."""
    connection, exchange = open_exchange()
    connection.data_received(CHUNKED + b"3\r\none\r\n")
    assert (await exchange.read_head()).status == 200
    assert await exchange.read() == b"one"
    connection.data_received(chunk + b"0\r\n\r\n")
    with pytest.raises(http1.ResponseLostError):
        while await exchange.read():
            pass
    assert not connection.is_open


@pytest.mark.parametrize("cut", range(1, 40))
async def test_extra_bytes_in_parts_are_not_the_next_response(cut):
    """Guards against a late response that is split around the next request.

    The rest of it comes with or after the next request, and is no response.
    """
    connection, exchange = open_exchange()
    extra = make_response(b"foreign", b"two")
    connection.data_received(make_response(b"own", b"one"))
    assert exchange.is_complete and connection.is_open
    connection.data_received(extra[:cut])
    assert not connection.is_open
    assert await read_all(exchange) == (200, b"one")


@pytest.mark.parametrize("end", [b"\r\n", b"x", b"H", b"HTTP/1.1 ", b"\0"])
async def test_bytes_behind_a_response_change_nothing_in_it(end):
    connection, exchange = open_exchange()
    connection.data_received(make_response(b"own", b"one") + end)
    assert await read_all(exchange) == (200, b"one")
    # A blank line is no begin of a response (RFC 9112, section 2.2).
    assert connection.is_open == (end == b"\r\n")


async def test_an_evicted_response_frees_what_its_reader_holds():
    """Guards against memory that is counted as free while it is still held.

    The pieces of a response lived until its reader ran, and others took their
    place in the account before.
    """
    account = memory.MemoryAccount(1_000)
    connection = http1.Connection(account)
    connection.connection_made(Transport())
    exchange = connection.start(b"GET", b"request")
    connection.data_received(CHUNKED + b"384\r\n" + b"b" * 900 + b"\r\n")
    await exchange.read_head()
    held = [await exchange.read()]
    exchange.retain(900, held.clear)
    account.open(memory.Use.REQUEST, lambda: None).resize(200)
    assert held == []
    with pytest.raises(http1.ResponseLostError):
        await exchange.read()
