"""Checks quotas of organisations in gateways that run.

Each gateway by itself would admit a whole quota. Requests beyond it reached
engines that other organisations need.
"""

import asyncio

import pytest_asyncio

from sardinewharf.gateway import settings as settings_lib
from sardinewharf.testbed import gateway_harness

_OTHER = {"authorization": "Token key-2"}
# A request to /chat/ costs 1,520 tokens.
_QUOTA = {"rate_per_s": 500, "burst": 6_500, "unit": "tokens"}
_PLAIN = {"rate_per_s": 1, "burst": 3}


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(quota_over=0.0, quota_slack=0.0)
    )
    await found.start(gateways=2)
    yield found
    await found.close()


async def _apply(harness, quota, gateways=2):
    manifest = gateway_harness.make_manifest(version=2)
    manifest["tenants"][0] |= quota
    await harness.store.put("op/config", manifest)

    async def is_applied():
        return all(
            gateway._replica.configuration.version == 2
            and len(gateway._replica.members) == gateways
            and gateway._quota_gate._owner._active_since is not None
            for gateway in harness.gateways
        )

    await gateway_harness.wait_for(is_applied)


async def _send_to_each(harness, count, path="/chat/x", **headers):
    return await asyncio.gather(
        *(
            harness.send_request(path, gateway=number % 2, **headers)
            for number in range(count)
        )
    )


async def test_an_organisation_over_its_quota_is_refused(harness):
    await _apply(harness, _QUOTA)
    await asyncio.sleep(0.5)
    responses = await _send_to_each(harness, 12)
    refused = [r for r in responses if r.status == 429]
    assert {r.status for r in responses} == {200, 429}
    assert 4 <= len(harness.list_executed()) <= 5
    assert len(harness.list_executed()) == 12 - len(refused)
    assert all(b"over_quota" in r.body for r in refused)
    waits = sorted(float(r.headers["retry-after"]) for r in refused)
    assert 0.5 < waits[0] < 6.0
    assert waits[-1] > 15.0
    others = await _send_to_each(harness, 12, **_OTHER)
    assert {r.status for r in others} == {200}


async def test_a_quota_of_requests_is_kept(harness):
    await _apply(harness, _PLAIN)
    await asyncio.sleep(0.5)
    responses = await _send_to_each(harness, 8, "/book/x")
    assert 3 <= sum(r.status == 200 for r in responses) <= 4


async def test_a_request_that_has_not_run_is_not_charged(harness):
    await _apply(harness, _PLAIN)
    for server in harness.servers:
        await harness.register(server, state="draining")
    await asyncio.sleep(0.5)
    for _ in range(3):
        responses = await _send_to_each(harness, 2, "/look/x")
        assert {r.status for r in responses} == {503}
        await asyncio.sleep(0.3)


async def test_a_killed_owner_refuses_no_request_within_a_quota(harness):
    """Its registration stays, and no other gateway knew its tokens."""
    await harness.start_gateway("vm-2")
    await _apply(harness, {"rate_per_s": 100, "burst": 100}, gateways=3)
    await asyncio.sleep(0.5)
    gate = harness.gateways[0]._quota_gate
    owner = gate._directory.rank("org-1")[0]
    names = [gateway._settings.name for gateway in harness.gateways]
    await harness.kill_gateway(names.index(owner))
    for _ in range(3):
        responses = await _send_to_each(harness, 8, "/book/x")
        assert {r.status for r in responses} == {200}


async def test_no_messages_are_sent_without_a_quota(harness):
    sent = []
    for gateway in harness.gateways:
        gateway._quota_gate.send = lambda address, message: sent.append(message)
    responses = await _send_to_each(harness, 8)
    assert {r.status for r in responses} == {200}
    assert not sent
