"""Tests the responses to requests if endpoints have faults."""

import asyncio
import time

import pytest
import pytest_asyncio

from sardinewharf.testbed import gateway_harness


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness()
    await found.start()
    yield found
    await found.close()


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
