"""Tests a gateway process beside clients that exceed limits.

Each test covers 8 clients that send for 4 s and read nothing. A test checks
that the process lives, that its memory stays within half of what it is told to
have, that its descriptors are bounded, and that it answers a request
afterwards, while the clients are still connected. Heads of many fields are sent
by 200 clients, which then wait.
"""

from sardinewharf.bench.tests import hostile


def pick_front(bench):
    return bench.front


def pick_ready(bench):
    return bench.ready


async def test_endless_trailers(tmp_path):
    """Guards against trailers that are kept without a limit.

    A gateway took 2,145 MB of 150.
    """
    head = hostile.encode_head("/book/1", "transfer-encoding: chunked")
    start = head + b"1\r\nx\r\n0\r\n"
    await hostile.check(tmp_path, pick_front, start, b"a: b\r\n")


async def test_pipelined_requests_whose_responses_are_not_read(tmp_path):
    """Guards against parsed requests that are queued without a limit.

    A gateway took 868 MB of 150, and answered no ordinary request.
    """
    request = b"GET / HTTP/1.1\r\n\r\n"
    await hostile.check(tmp_path, pick_front, b"", request)


async def test_pipelined_probes_whose_responses_are_not_read(tmp_path):
    """Guards against a probe's port without the limits of the callers' port.

    A gateway took 925 MB of 150.
    """
    request = b"GET /-/ready HTTP/1.1\r\n\r\n"
    await hostile.check(tmp_path, pick_ready, b"", request)


async def test_heads_of_many_fields_that_are_not_whole(tmp_path):
    """Guards against fields that are counted as bytes, and kept as objects.

    Heads within the limit took a gateway of 150 MB to 112 MB.
    """
    head = b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 3_000
    await hostile.check_slow(tmp_path, head)


async def test_heads_of_many_fields_whose_body_does_not_come(tmp_path):
    """Guards against fields that are no longer counted once a head is whole.

    Such requests took a gateway of 150 MB to 116 MB.
    """
    fields = ["a:b"] * 2_000
    head = hostile.encode_head("/book/1", "content-length: 9", *fields)
    await hostile.check_slow(tmp_path, head)
