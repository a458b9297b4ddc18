"""Tests the responses to requests if endpoints have faults."""

import asyncio
import time

import pytest

from sardinewharf.testbed import gateway_harness


def inject_faults(servers, **faults):
    for server in servers:
        for name, value in faults.items():
            setattr(server.faults, name, value)


@pytest.mark.parametrize(
    "fault",
    ["reset", "garbage", "short_body", "wrong_id", "no_id", "is_unsigned"],
)
async def test_an_unsafe_request_runs_once_whatever_is_answered(harness, fault):
    inject_faults(harness.servers, **{fault: True})
    response = await harness.send_request("/book/1", body=b"pallet")
    assert response.status in (502, 504)
    assert len(harness.list_executed()) == 1


async def test_an_unresponsive_endpoint_times_out_at_the_deadline(harness):
    inject_faults(harness.servers, hang=True)
    response = await harness.send_request(
        "/book/1", x_sardinewharf_deadline_ms="400"
    )
    assert response.status == 504
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("fault", ["refuse", "moved"])
async def test_a_request_that_has_not_run_goes_to_another_endpoint(
    harness, fault
):
    inject_faults(harness.servers[:2], **{fault: True})
    responses = [
        await harness.send_request("/book/1", body=b"x") for _ in range(3)
    ]
    assert {a.status for a in responses} == {200}
    assert len(harness.list_executed()) == 3


async def test_not_run_is_stated_only_if_no_endpoint_ran_it(harness):
    inject_faults(harness.servers, refuse=True)
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert harness.list_executed() == []


@pytest.mark.parametrize(
    "fault",
    ["reset", "garbage", "short_body", "wrong_id", "no_id", "is_unsigned"],
)
async def test_a_safe_request_is_tried_at_a_second_endpoint(harness, fault):
    inject_faults(harness.servers[:2], **{fault: True})
    responses = [
        await harness.send_request("/look/1", method="GET", body=b"")
        for _ in range(4)
    ]
    assert responses[-1].status == 200
    assert all(a.body == b"an answer" for a in responses if a.status == 200)


class StaleRefusals:
    """Makes servers run requests and then write an earlier refusal.

    Args:
        servers: The servers.
        status: Status of the refusal.
        request_id: Id of the request that was refused; None for no id.
    """

    def __init__(self, servers, status, request_id):
        self._status = status
        self._request_id = request_id
        self.is_active = True
        for server in servers:
            self._wrap(server)

    def _wrap(self, server):
        respond = server.respond

        async def respond_stale(connection, request):
            if not self.is_active:
                await respond(connection, request)
                return
            headers = [
                ("x-sardinewharf-server-stamp", f"{server.id}.stamp"),
                ("keep-alive", "timeout=10"),
            ]
            if self._status in (429, 503):
                headers.append(("x-sardinewharf-not-run", "1"))
            if self._request_id is not None:
                headers.append(("x-sardinewharf-request-id", self._request_id))
            connection.reply(self._status, headers)

        server.respond = respond_stale


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_a_refusal_of_an_earlier_request_is_not_believed(harness, status):
    """A stale refusal made a booking run at three servers, and a 503 deny it.

    The gateway took the refusal for its own request's before it compared the
    request ids.
    """
    StaleRefusals(harness.servers, status, "an-earlier-request")
    response = await harness.send_request("/book/1", body=b"pallet")
    assert response.status == 502
    assert len(harness.list_executed()) == 1


@pytest.mark.parametrize("status", [503, 421])
async def test_a_refusal_without_an_id_is_not_believed_on_a_reused_connection(
    harness, status
):
    """It may be a copy of the refusal of an earlier request."""
    (server,) = harness.servers[:1]
    for other in harness.servers[1:]:
        await harness.store.remove(f"servers/{other.id}")
    await asyncio.sleep(0.1)
    stale = StaleRefusals([server], status, None)
    stale.is_active = False
    await harness.send_request("/book/1", body=b"x")
    stale.is_active = True
    response = await harness.send_request("/book/1", body=b"pallet")
    assert response.status == 502
    assert [r.body for r in server.executed] == [b"x", b"pallet"]


async def test_a_connection_with_a_stale_refusal_is_not_used_again(harness):
    """Each later response on it was taken for the next request's.

    The connection went back to the pool with the response still to come.
    """
    (server,) = harness.servers[:1]
    for other in harness.servers[1:]:
        await harness.store.remove(f"servers/{other.id}")
    await asyncio.sleep(0.1)
    stale = StaleRefusals([server], 503, "an-earlier-request")
    await harness.send_request("/book/1", body=b"x")
    stale.is_active = False
    assert not server._connections
    response = await harness.send_request("/book/1", body=b"x")
    assert (response.status, response.body) == (200, b"an answer")


@pytest.mark.parametrize("request_id", ["an-earlier-request", None])
async def test_an_error_of_an_earlier_request_is_not_passed_on(
    harness, request_id
):
    """A response without an id on a reused connection may be an earlier one."""
    (server,) = harness.servers[:1]
    for other in harness.servers[1:]:
        await harness.store.remove(f"servers/{other.id}")
    await asyncio.sleep(0.1)
    stale = StaleRefusals([server], 500, request_id)
    stale.is_active = False
    await harness.send_request("/book/1", body=b"x")
    stale.is_active = True
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 502


async def test_nothing_is_learned_from_the_response_to_another_request(harness):
    """An old response named newer weights, which the engine did not have."""
    respond_by_engine = {}

    def respond_as_another(engine):
        respond_by_engine[engine.id] = engine.respond

        async def respond(connection, request):
            headers = [
                ("x-sardinewharf-request-id", "an-earlier-request"),
                ("x-sardinewharf-server-stamp", "stamp"),
                ("x-sardinewharf-weight-versions", "9"),
            ]
            connection.reply(200, headers, b"id: 1\ndata: a\n\n")

        engine.respond = respond

    for engine in harness.engines:
        respond_as_another(engine)
    await harness.send_request("/chat/1", body=b"p")
    registry = harness.gateways[0]._replica.registry
    versions = {
        registry.find_weights(engine.id, gateway_harness.MODEL)
        for engine in harness.engines
    }
    assert versions == {1}


async def test_a_failure_of_an_endpoint_is_passed_on_unchanged(harness):
    inject_faults(harness.servers, status=500)
    response = await harness.send_request("/book/1", body=b"x")
    assert response.status == 500
    assert "x-sardinewharf-server-stamp" in response.headers


async def test_extra_answers_reach_nobody(harness):
    inject_faults(harness.servers, extra=True)
    for _ in range(6):
        response = await harness.send_request("/book/1", body=b"x")
        assert (response.status, response.body) == (200, b"an answer")


async def test_an_answer_without_length_ends_with_its_connection(harness):
    inject_faults(harness.servers, unframed=True)
    response = await harness.send_request("/book/1", body=b"x")
    assert (response.status, response.body) == (200, b"an answer")
    assert response.is_complete


async def test_a_resumable_stream_goes_on_at_another_engine(harness):
    inject_faults(harness.engines[:2], cut_after=2)
    for _ in range(4):
        response = await harness.send_request("/ask/1", body=b"p")
        ids = [
            line
            for line in response.body.split(b"\n")
            if line.startswith(b"id")
        ]
        assert response.is_complete
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]


async def test_a_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere(
    harness,
):
    """A stalled stream was read until its deadline, as it was never silent."""
    inject_faults(harness.engines[:1], trickle=True)
    started_at = time.monotonic()
    responses = await asyncio.gather(
        *(harness.send_request("/ask/1", body=b"p") for _ in range(3))
    )
    assert all(response.is_complete for response in responses)
    assert all(response.body.count(b"data:") == 4 for response in responses)
    assert time.monotonic() - started_at < 4.5


async def test_another_stream_is_cut_and_does_not_look_whole(harness):
    inject_faults(harness.engines, cut_after=2)
    response = await harness.send_request("/chat/1", body=b"p")
    assert not response.is_complete
    assert response.body.count(b"data:") == 2
    assert len(harness.list_executed()) == 1


async def test_an_endpoint_that_is_gone_is_found_by_its_connections(harness):
    await harness.servers[0].stop()
    responses = [
        await harness.send_request("/book/1", body=b"x") for _ in range(9)
    ]
    assert {a.status for a in responses} == {200}


async def test_a_draining_endpoint_gets_no_more_requests(harness):
    await harness.register(harness.servers[0], state="draining")
    await harness.store.remove("servers/s1")
    await asyncio.sleep(0.1)
    responses = [
        await harness.send_request("/book/1", body=b"x") for _ in range(5)
    ]
    assert {a.status for a in responses} == {200}
    assert [len(s.executed) for s in harness.servers] == [0, 0, 5]


async def test_retries_keep_their_budget(harness):
    inject_faults(harness.servers, refuse=True)
    for _ in range(60):
        await harness.send_request("/book/1", body=b"x")
    guarantees = harness.guarantees
    arrivals = sum(s.arrivals for s in harness.servers)
    assert arrivals - 60 <= guarantees.retry_extra + guarantees.retry_ratio * 60


async def test_a_request_that_crashes_endpoints_stops_at_the_third(harness):
    def crash_on_poison(server):
        respond = server.respond

        async def respond_or_crash(connection, request):
            if request.body == b"poison":
                await server.stop()
            else:
                await respond(connection, request)

        server.respond = respond_or_crash

    for server in harness.servers:
        crash_on_poison(server)
    for _ in range(3):
        await harness.send_request("/book/1", body=b"poison")
        for _ in range(3):
            await harness.send_request("/book/1", body=b"harmless")
    assert sum(r.body == b"poison" for r in harness.list_executed()) == 3
    for server in harness.servers:
        await server.start()
        await harness.register(server, born=2)
    await asyncio.sleep(0.1)
    again = await harness.send_request("/book/1", body=b"poison")
    other = await harness.send_request("/book/1", body=b"harmless")
    assert (again.status, other.status) == (503, 200)
    assert sum(r.body == b"poison" for r in harness.list_executed()) == 3
