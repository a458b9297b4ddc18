"""Checks that 408, 421, 429 and 503 are written only if nothing ran.

Callers take these statuses as the promise that their request has not run and
never will; 502 and 504 promise nothing.
"""

import pytest

from sardinewharf.gateway.tests import scripts

PROMISES = [408, 429, 503]


@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("path", ["/book/1", "/chat/1"])
async def test_a_status_of_a_run_is_no_promise(harness, path, status):
    """A booking ran and its endpoint's own 503 was passed on to the caller.

    Only a response that states it denies a run; the gateway took the stamp for
    that, and the caller booked again.
    """
    scripts.play([*harness.servers, *harness.engines], scripts.Answer(status))
    response = await harness.send_request(path, body=b"x")
    assert response.status == 502
    assert "x-sardinewharf-server-stamp" not in response.headers
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize(("path", "runs"), [("/look/1", 2), ("/ask/1", 3)])
async def test_such_a_status_is_retried_within_max_attempts(
    harness, path, runs, status
):
    """A safe request got the status although other endpoints were left."""
    scripts.play([*harness.servers, *harness.engines], scripts.Answer(status))
    response = await harness.send_request(path, body=b"x")
    assert response.status == 502
    assert len(harness.list_executed()) == runs


@pytest.mark.parametrize("status", PROMISES)
async def test_such_a_status_is_no_promise_without_retry_budget(
    harness, status
):
    """A safe request got the status once the retry budget was used up."""
    scripts.play(harness.servers, scripts.Answer(status))
    statuses = set()
    for _ in range(40):
        runs = len(harness.list_executed())
        response = await harness.send_request("/look/1", body=b"x")
        statuses.add(response.status)
        if response.status in PROMISES:
            assert len(harness.list_executed()) == runs
    assert 502 in statuses


async def test_a_status_4xx_of_a_run_does_not_eject_its_endpoint(harness):
    """One caller's own limit is no reason to keep others from the endpoint."""
    scripts.play(harness.servers, *[scripts.Answer(429)] * 20, None)
    for _ in range(60):
        await harness.send_request("/book/1", body=b"x")
    assert len(harness.list_executed()) == 60
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 200
