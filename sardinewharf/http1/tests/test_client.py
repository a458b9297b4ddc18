import asyncio

import pytest

from sardinewharf import http1


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
