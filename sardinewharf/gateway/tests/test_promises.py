"""Checks that 408, 421, 429 and 503 are written only if nothing ran.

Callers take these statuses as the promise that their request has not run and
never will; 502 and 504 promise nothing.
"""

import asyncio

import pytest

from sardinewharf.gateway.tests import scripts
from sardinewharf.standins import server_faults

# Set-up and retries must not time out while the process waits for a processor.
pytestmark = pytest.mark.usefixtures("own_time")

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


@pytest.mark.parametrize("status", [200, 204, 302, 500, 502, 504])
async def test_a_status_that_is_no_refusal_is_not_believed(harness, status):
    """A booking ran at all servers, as each one's 200 also denied the run.

    The gateway read the statement alone, and callers were told 503 at the end.
    """
    scripts.play(harness.servers, scripts.Answer(status, states_not_run=True))
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 502
    assert "x-sardinewharf-not-run" not in response.headers
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
async def test_a_refusal_behind_the_begin_of_work_is_not_believed(
    harness, status
):
    """Early hints showed that a booking had begun, and it was sent again."""
    answer = scripts.Answer(
        status,
        states_not_run=True,
        interim=b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
    )
    scripts.play(harness.servers, answer)
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 502
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_a_refusal_that_names_no_request_is_not_believed(harness, status):
    """On a new connection it was, though it may greet each connection.

    A 408 without an id may mean that the connection was idle for too long.
    """
    answer = scripts.Answer(status, request_id=None, states_not_run=True)
    scripts.play(harness.servers, answer)
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 502
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
async def test_a_refusal_that_names_the_request_is_believed(harness, status):
    """Guards against 502 for what each endpoint refused before it ran."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    answer = scripts.Answer(status, states_not_run=True, interim=interim)
    scripts.play(harness.servers, answer)
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


async def test_a_statement_in_a_trailer_is_not_believed(harness):
    """Guards against trailers that are read as headers of a refusal."""
    headers = [("trailer", "x-sardinewharf-not-run")]
    for server in harness.servers:
        server.respond = _respond_with_trailer(server, headers)
    response = await harness.send_request("/book/1", body=b"x")
    assert (response.status, response.body) == (200, b"an answer")
    assert len(harness.list_executed()) == 1


def _respond_with_trailer(server, headers):
    async def respond(connection, request):
        made = server.make_headers(request) + headers
        connection.write_head(200, made, None, is_chunked=True)
        connection.write_chunk(b"an answer")
        connection.write(b"0\r\nx-sardinewharf-not-run: 1\r\n\r\n")

    return respond


async def test_no_connection_carries_a_request_twice(harness):
    """An earlier refusal, written once more, has the right id there.

    Endpoints that refused while another was stalled are tried again later.
    """
    carried = []

    async def refuse(connection, request):
        carried.append((connection, request.request_id))
        is_stalled = len(carried) == 1
        answer = scripts.Answer(503, states_not_run=True)
        await asyncio.sleep(1.2 if is_stalled else 0.0)
        headers = answer.make_headers(harness.servers[0], request)
        connection.reply(answer.status, headers)

    for server in harness.servers:
        server.respond = refuse
    response = await harness.send_request(
        "/look/1", body=b"x", x_sardinewharf_deadline_ms="2000"
    )
    assert response.status == 503
    assert len(carried) > len(harness.servers)
    assert len(set(carried)) == len(carried)


@pytest.mark.parametrize("status", [421, 503])
@pytest.mark.parametrize("place", list(server_faults.RefusalPlace))
@pytest.mark.parametrize("is_named", [True, False])
async def test_an_earlier_refusal_on_a_connection_in_use_is_not_believed(
    harness, status, place, is_named
):
    """Bookings ran and were refused, as servers wrote earlier refusals again.

    They came instead of the response, before it, or behind a good one, at once,
    once the connection was idle, or in part with the next request.
    """
    for server in harness.servers:
        server.faults.stale_refusal = server_faults.StaleRefusal(
            status, place, is_named
        )
    statuses = set()
    # The first request is truly refused by all servers, which are paused then.
    await harness.send_request("/book/1", body=b"first")
    await asyncio.sleep(0.2 if status == 503 else 1.1)
    for number in range(12):
        response = await harness.send_request("/book/1", body=b"%d" % number)
        statuses.add(response.status)
        bodies = [request.body for request in harness.list_executed()]
        assert bodies.count(b"%d" % number) <= 1
        if response.status in (408, 421, 429, 503):
            assert b"%d" % number not in bodies
        await asyncio.sleep(0.03)
    is_late = place in (
        server_faults.RefusalPlace.BEHIND,
        server_faults.RefusalPlace.LATER,
        server_faults.RefusalPlace.PIECES,
    )
    assert (200 if is_late else 502) in statuses


async def test_a_late_refusal_does_not_deny_the_run_of_another_attempt(harness):
    """Guards against a count of runs that a stalled endpoint's refusal ends.

    Both attempts are open when it comes; the other endpoint has begun.
    """
    arrivals = []

    async def respond(connection, request):
        arrivals.append(request)
        if len(arrivals) == 1:
            await asyncio.sleep(1.2)
            answer = scripts.Answer(503, states_not_run=True)
            headers = answer.make_headers(harness.servers[0], request)
            connection.reply(503, headers)
            return
        await asyncio.sleep(0.4)
        connection.abort()

    for server in harness.servers:
        server.respond = respond
    response = await harness.send_request(
        "/look/1", body=b"x", x_sardinewharf_deadline_ms="2000"
    )
    assert response.status == 502
    assert len(arrivals) > 1


@pytest.mark.parametrize("is_true", [True, False])
async def test_a_refusal_without_its_body_is_still_one(harness, is_true):
    """Guards against a promise that depends on bytes behind the statement."""

    async def refuse(connection, request):
        request_id = request.request_id if is_true else "another"
        answer = scripts.Answer(503, states_not_run=True, request_id=request_id)
        headers = answer.make_headers(harness.servers[0], request)
        connection.write_head(503, headers, 100)
        connection.abort()

    for server in harness.servers:
        server.respond = refuse
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == (503 if is_true else 502)


async def test_a_request_whose_time_ends_between_two_attempts_says_so(harness):
    """Guards against 504 for what no endpoint ran, and 503 for what one did."""

    async def refuse(connection, request):
        await asyncio.sleep(0.5)
        answer = scripts.Answer(503, states_not_run=True)
        headers = answer.make_headers(harness.servers[0], request)
        connection.reply(503, headers)

    for server in harness.servers:
        server.respond = refuse
    response = await harness.send_request(
        "/book/1", body=b"x", x_sardinewharf_deadline_ms="700"
    )
    # The second endpoint has neither run nor refused it by then.
    assert response.status == 504
    assert sum(server.arrivals for server in harness.servers) == 2
