"""Tests a process of the product's daemon beside clients that exceed limits.

Each test covers 8 clients that send for 4 s and read nothing, at the port of
the callers or at that of the operators. A test checks that the daemon lives,
that its memory stays 75 MB above that of an idle one (60 MB) at most, that its
descriptors stay below 100, and that it answers a request afterwards, while the
clients are still connected. They share one daemon, so that its memory is that
of those before, too.
"""

import asyncio
import contextlib
import pathlib

import pytest

from sardinewharf import testbed
from sardinewharf.bench.tests import hostile

_MAX_PEAK_BYTES = 135e6
_MAX_DESCRIPTORS = 100
_SAMPLE_INTERVAL_S = 0.01
_CHUNKED = (
    b"POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n"
    b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
)
_REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


@pytest.fixture(scope="module")
def deployment():
    with testbed.TestDeployment() as found:
        found.plan_engine("engine-1", "fd1")
        found.plan_daemon("daemon-1", "fd1")
        found.start()
        found.wait_ready(found.apply(testbed.write_sample()))
        yield found


def count_descriptors(process):
    return len(list(pathlib.Path(f"/proc/{process.popen.pid}/fd").iterdir()))


async def sample(process, peaks):
    """Keeps the most memory and descriptors that were seen."""
    while process.is_live:
        peaks[0] = max(peaks[0], process.read_memory())
        peaks[1] = max(peaks[1], count_descriptors(process))
        await asyncio.sleep(_SAMPLE_INTERVAL_S)


async def check(deployment, address, start, repeated):
    """Plays clients that send bytes again and again, and checks the daemon."""
    daemon = deployment.processes["daemon-1"]
    peaks = [0, 0]
    sampling = asyncio.ensure_future(sample(daemon, peaks))
    with contextlib.ExitStack() as sockets:
        await hostile.play(sockets, address, start, repeated)
        status = await asyncio.to_thread(deployment.read_status, daemon)
    sampling.cancel()
    print(f"{peaks[0] / 1e6:.0f} MB, {peaks[1]} fds")
    assert daemon.is_live
    assert peaks[0] <= _MAX_PEAK_BYTES
    assert peaks[1] <= _MAX_DESCRIPTORS
    assert status["daemon"] == "daemon-1"


async def test_pipelined_requests_of_callers(deployment):
    """Guards against the faults of the gateway's ports in the daemon."""
    address = deployment.processes["daemon-1"].address
    await check(deployment, address, b"", _REQUEST)


async def test_pipelined_requests_of_operators(deployment):
    """Guards against an administration API without the callers' limits."""
    address = deployment.processes["daemon-1"].admin
    await check(deployment, address, b"", _REQUEST)


async def test_endless_trailers_of_callers(deployment):
    """Guards against trailers that are kept without a limit."""
    address = deployment.processes["daemon-1"].address
    await check(deployment, address, _CHUNKED, b"a: b\r\n")
