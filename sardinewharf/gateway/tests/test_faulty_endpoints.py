"""Tests the responses to requests if endpoints have faults."""

import asyncio

import pytest
import pytest_asyncio

from sardinewharf.testbed import platform_rig


@pytest_asyncio.fixture
async def rig():
    found = platform_rig.Rig()
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
async def test_an_unsafe_request_runs_once_whatever_is_answered(rig, fault):
    inject_faults(rig.servers, **{fault: True})
    answer = await rig.ask("/book/1", body=b"pallet")
    assert answer.status in (502, 504)
    assert len(rig.list_ran()) == 1


async def test_an_unresponsive_endpoint_times_out_at_the_deadline(rig):
    inject_faults(rig.servers, hang=True)
    answer = await rig.ask("/book/1", x_sardinewharf_deadline_ms="400")
    assert answer.status == 504
    assert len(rig.list_ran()) == 1


@pytest.mark.parametrize("fault", ["refuse", "moved"])
async def test_a_request_that_has_not_run_goes_to_another_endpoint(rig, fault):
    inject_faults(rig.servers[:2], **{fault: True})
    answers = [await rig.ask("/book/1", body=b"x") for _ in range(3)]
    assert {a.status for a in answers} == {200}
    assert len(rig.list_ran()) == 3


async def test_not_run_is_stated_only_if_no_endpoint_ran_it(rig):
    inject_faults(rig.servers, refuse=True)
    answer = await rig.ask("/book/1", body=b"x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert rig.list_ran() == []


@pytest.mark.parametrize(
    "fault",
    ["reset", "garbage", "short_body", "wrong_id", "no_id", "is_unsigned"],
)
async def test_a_safe_request_is_tried_at_a_second_endpoint(rig, fault):
    inject_faults(rig.servers[:2], **{fault: True})
    answers = [
        await rig.ask("/look/1", method="GET", body=b"") for _ in range(4)
    ]
    assert answers[-1].status == 200
    assert all(a.body == b"an answer" for a in answers if a.status == 200)


async def test_a_failure_of_an_endpoint_is_passed_on_unchanged(rig):
    inject_faults(rig.servers, status=500)
    answer = await rig.ask("/book/1", body=b"x")
    assert answer.status == 500
    assert "x-sardinewharf-server-stamp" in answer.headers


async def test_extra_answers_reach_nobody(rig):
    inject_faults(rig.servers, extra=True)
    for _ in range(6):
        answer = await rig.ask("/book/1", body=b"x")
        assert (answer.status, answer.body) == (200, b"an answer")


async def test_an_answer_without_length_ends_with_its_connection(rig):
    inject_faults(rig.servers, unframed=True)
    answer = await rig.ask("/book/1", body=b"x")
    assert (answer.status, answer.body) == (200, b"an answer")
    assert answer.is_whole


async def test_a_resumable_stream_goes_on_at_another_engine(rig):
    inject_faults(rig.engines[:2], cut_after=2)
    for _ in range(4):
        answer = await rig.ask("/ask/1", body=b"p")
        ids = [
            line for line in answer.body.split(b"\n") if line.startswith(b"id")
        ]
        assert answer.is_whole
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]


async def test_another_stream_is_cut_and_does_not_look_whole(rig):
    inject_faults(rig.engines, cut_after=2)
    answer = await rig.ask("/chat/1", body=b"p")
    assert not answer.is_whole
    assert answer.body.count(b"data:") == 2
    assert len(rig.list_ran()) == 1


async def test_an_endpoint_that_is_gone_is_found_by_its_connections(rig):
    await rig.servers[0].stop()
    answers = [await rig.ask("/book/1", body=b"x") for _ in range(9)]
    assert {a.status for a in answers} == {200}


async def test_a_draining_endpoint_gets_no_more_requests(rig):
    await rig.register(rig.servers[0], state="draining")
    await rig.store.remove("servers/s1")
    await asyncio.sleep(0.1)
    answers = [await rig.ask("/book/1", body=b"x") for _ in range(5)]
    assert {a.status for a in answers} == {200}
    assert [len(s.executed) for s in rig.servers] == [0, 0, 5]


async def test_retries_keep_their_budget(rig):
    inject_faults(rig.servers, refuse=True)
    for _ in range(60):
        await rig.ask("/book/1", body=b"x")
    guarantees = rig.promises
    arrivals = sum(s.arrivals for s in rig.servers)
    assert arrivals - 60 <= guarantees.retry_extra + guarantees.retry_ratio * 60


async def test_a_request_that_crashes_endpoints_stops_at_the_third(rig):
    def crash_on_poison(server):
        respond = server.respond

        async def respond_or_crash(connection, request):
            if request.body == b"poison":
                await server.stop()
            else:
                await respond(connection, request)

        server.respond = respond_or_crash

    for server in rig.servers:
        crash_on_poison(server)
    for _ in range(3):
        await rig.ask("/book/1", body=b"poison")
        for _ in range(3):
            await rig.ask("/book/1", body=b"harmless")
    assert sum(r.body == b"poison" for r in rig.list_ran()) == 3
    for server in rig.servers:
        await server.start()
        await rig.register(server, born=2)
    await asyncio.sleep(0.1)
    again = await rig.ask("/book/1", body=b"poison")
    other = await rig.ask("/book/1", body=b"harmless")
    assert (again.status, other.status) == (503, 200)
    assert sum(r.body == b"poison" for r in rig.list_ran()) == 3
