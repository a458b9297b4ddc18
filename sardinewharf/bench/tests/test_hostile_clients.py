"""Tests a gateway process beside clients that exceed limits.

Each test covers 8 clients that send for 4 s and read nothing. A test checks
that the process lives, that its memory stays within half of what it is told to
have, that its descriptors are bounded, and that it answers a request
afterwards, while the clients are still connected.
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
