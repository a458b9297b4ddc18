"""Tests the overload policy of a gateway with engines."""

import pytest

from sardinewharf.gateway import settings as settings_lib
from sardinewharf.testbed import gateway_harness

ROUTE_PRIORITIES = {"chat": 0, "ask": 2}


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
    harness = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(overload_policy=policy)
    )
    await harness.start()
    try:
        await harness.store.put("op/config", make_manifest())
        await gateway_harness.wait_for(lambda: has_version(harness, 2))
        for path in ("/chat/1", "/ask/1"):
            response = await harness.send_request(
                path, body=b"p", x_sardinewharf_prompt_prefix=""
            )
            assert response.status == 200
        priorities = {
            run.target: run.headers["x-sardinewharf-request-priority"]
            for run in harness.list_executed()
        }
        assert priorities == {"/chat/1": expected[0], "/ask/1": expected[1]}
    finally:
        await harness.close()
