"""Tests the overload policy of a gateway with engines."""

import asyncio
import contextlib

import pytest

from sardinewharf.gateway import settings as settings_lib
from sardinewharf.testbed import gateway_harness

ROUTE_PRIORITIES = {"chat": 0, "ask": 2}
# Slots of the three engines together.
SLOTS = 24


def make_manifest():
    """Returns a manifest whose organisations have one priority."""
    manifest = gateway_harness.make_manifest(
        version=2,
        tenants=[
            {
                "name": "org-1",
                "api_keys": [gateway_harness.KEY],
                "priority": 1,
            }
        ],
    )
    for route in manifest["routes"]:
        route["priority"] = ROUTE_PRIORITIES.get(route["name"], 5)
    return manifest


async def has_version(harness, version: int) -> bool:
    return harness.gateways[0]._replica.configuration.version == version


@contextlib.asynccontextmanager
async def run_harness(policy):
    """Runs a gateway with a policy and a configuration with two ranks."""
    harness = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(overload_policy=policy)
    )
    await harness.start()
    try:
        await harness.store.put("op/config", make_manifest())
        await gateway_harness.wait_for(lambda: has_version(harness, 2))
        yield harness
    finally:
        await harness.close()


def send(harness, path, **headers):
    """Returns the task of a request whose prompt shares no part."""
    return asyncio.ensure_future(
        harness.send_request(
            path, body=b"p", x_sardinewharf_prompt_prefix="", **headers
        )
    )


@pytest.mark.parametrize(
    ("policy", "expected"),
    [
        (settings_lib.OverloadPolicy.FORWARD, ["4", "4"]),
        (settings_lib.OverloadPolicy.RANK, ["1", "4"]),
    ],
)
async def test_the_priority_of_a_route_counts_where_requests_are_ranked(
    policy, expected
):
    """Guards against prompts of a route that wait behind less urgent ones.

    Both prompts have a medium length.
    """
    async with run_harness(policy) as harness:
        for path in ("/chat/1", "/ask/1"):
            assert (await send(harness, path)).status == 200
        priorities = {
            run.target: run.headers["x-sardinewharf-request-priority"]
            for run in harness.list_executed()
        }
        assert priorities == {"/chat/1": expected[0], "/ask/1": expected[1]}


def hold_responses(engines):
    """Makes engines respond only once the returned event is set."""
    may_end = asyncio.Event()
    for engine in engines:
        engine.respond = _respond_after(may_end, engine.respond)
    return may_end


def _respond_after(event, respond):
    async def respond_late(connection, request):
        await event.wait()
        await respond(connection, request)

    return respond_late


async def has_executed(harness, prefix: str, least: int) -> bool:
    targets = [run.target for run in harness.list_executed()]
    return sum(target.startswith(prefix) for target in targets) >= least


@pytest.mark.usefixtures("own_time")
@pytest.mark.parametrize(
    ("policy", "most_running"),
    [
        (settings_lib.OverloadPolicy.FORWARD, 60),
        (settings_lib.OverloadPolicy.RANK, SLOTS),
    ],
)
async def test_less_urgent_requests_wait_for_slots(policy, most_running):
    """Load: twice as many less urgent requests as the engines have slots.

    All are answered in time, and urgent ones are sent at once. No request ends
    before that is checked, so that each executed one has a slot.
    """
    async with run_harness(policy) as harness:
        may_end = hold_responses(harness.engines)
        for engine in harness.engines:
            engine.request_duration_s = 0.4
        waiting = [send(harness, f"/ask/{n}") for n in range(60)]
        await gateway_harness.wait_for(
            lambda: has_executed(harness, "/ask/", SLOTS - 6)
        )
        await asyncio.sleep(0.2)
        assert len(harness.list_executed()) <= most_running
        urgent = [send(harness, f"/chat/{n}") for n in range(4)]
        await gateway_harness.wait_for(
            lambda: has_executed(harness, "/chat/", len(urgent))
        )
        assert len(harness.list_executed()) <= most_running + len(urgent)
        may_end.set()
        answered = await asyncio.gather(*urgent, *waiting)
        assert {r.status for r in answered} == {200}
        runs = harness.list_executed()
        assert len(runs) == 64
        held = harness.gateways[0]._metrics.render().decode()
        is_held = 'outcome="sent"' in held
        assert is_held == (policy is settings_lib.OverloadPolicy.RANK)


async def test_what_cannot_be_served_in_time_is_refused_and_never_runs():
    """Load: far more less urgent requests than fit before their deadlines."""
    async with run_harness(settings_lib.OverloadPolicy.RANK) as harness:
        for engine in harness.engines:
            engine.request_duration_s = 0.4
        responses = await asyncio.gather(
            *(
                send(
                    harness,
                    f"/ask/{n}",
                    x_sardinewharf_deadline_ms="1500",
                    x_sardinewharf_request_id=f"late-{n}",
                )
                for n in range(300)
            )
        )
        statuses = [r.status for r in responses]
        refused = [r for r in responses if r.status == 503]
        assert set(statuses) == {200, 503}
        assert statuses.count(200) >= SLOTS
        assert all(float(r.headers["retry-after"]) > 0 for r in refused)
        assert len(harness.list_executed()) == statuses.count(200)
        metrics = harness.gateways[0]._metrics.render().decode()
        assert 'reason="overloaded"' in metrics
        assert harness.gateways[0]._overload.waiting == 0
