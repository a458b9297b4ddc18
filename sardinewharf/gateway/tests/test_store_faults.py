"""Checks how a gateway serves while the store changes or fails."""

import asyncio

import pytest_asyncio

from sardinewharf import clocks
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.testbed import gateway_harness


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(revoke_ms=3_300)
    )
    await found.start()
    yield found
    await found.close()


async def test_a_new_configuration_is_in_force_at_once(harness):
    manifest = gateway_harness.make_manifest(version=5)
    manifest["routes"] = manifest["routes"][:2]
    manifest["tenants"] = [{"name": "org-3", "api_keys": ["key-3"]}]
    await harness.store.put("op/config", manifest)
    await asyncio.sleep(0.1)
    gone = await harness.send_request("/book/1", authorization="Token key-3")
    revoked = await harness.send_request("/chat/1", body=b"p")
    fresh = await harness.send_request(
        "/chat/1", body=b"p", authorization="Token key-3"
    )
    assert [gone.status, revoked.status, fresh.status] == [404, 401, 200]


async def test_an_older_configuration_changes_nothing(harness):
    await harness.store.put(
        "op/config", gateway_harness.make_manifest(version=9)
    )
    await asyncio.sleep(0.1)
    old = gateway_harness.make_manifest(version=8, routes=[])
    await harness.store.put("op/config", old)
    await asyncio.sleep(0.1)
    assert (await harness.send_request("/book/1", body=b"x")).status == 200


async def test_keys_are_refused_once_unconfirmed(harness):
    harness.store.faults.is_silent = True
    last_confirmed_at = clocks.read_monotonic()
    assert (await harness.send_request("/book/1", body=b"x")).status == 200

    async def is_refused() -> bool:
        return (await harness.send_request("/book/1", body=b"x")).status == 503

    await gateway_harness.wait_for(is_refused)
    # The watch in progress may have confirmed the replica for 2 s more.
    assert clocks.read_monotonic() - last_confirmed_at < 3.3
    assert not await harness.is_ready()
    assert (
        await harness.send_request("/open/1", "GET", authorization="")
    ).status == 200
    harness.store.faults.is_silent = False
    await harness.wait_until_ready()
    assert (await harness.send_request("/book/1", body=b"x")).status == 200


async def test_endpoints_that_lapsed_in_an_outage_stay_until_they_are_back(
    harness,
):
    harness.store.faults.status = 503
    await asyncio.sleep(1.8)
    for server in harness.servers:
        await harness.store.remove(f"servers/{server.id}")
    await asyncio.sleep(0.2)
    harness.store.faults.status = 0
    await asyncio.sleep(1.0)
    assert (await harness.send_request("/book/1", body=b"x")).status == 200
    await harness.register(harness.servers[0])
    await asyncio.sleep(2.5)
    assert (await harness.send_request("/book/1", body=b"x")).status == 200
    assert len(harness.servers[0].executed) >= 1
    assert len(harness.gateways[0]._replica.registry.list_ready("orders")) == 1


async def test_a_dropped_history_is_read_again(harness):
    harness.store.faults.status = 503
    await harness.store.put(
        "op/config", gateway_harness.make_manifest(version=7)
    )
    await harness.store.compact()
    harness.store.faults.status = 0

    async def is_new() -> bool:
        return harness.gateways[0]._replica.configuration.version == 7

    await gateway_harness.wait_for(is_new, 2.0)


async def test_the_store_is_called_seldom_on_a_calm_day(harness):
    await asyncio.sleep(1.0)
    before = dict(harness.store.calls)
    await asyncio.sleep(4.0)
    made = {k: n - before.get(k, 0) for k, n in harness.store.calls.items()}
    assert made.pop("kv-keep") <= 8
    assert sum(made.values()) <= 3


async def test_changes_in_quick_succession_are_read_together(harness):
    """Registrations in quick succession are returned by few watches.

    Each of 58 gateways called the store again after every registration.
    """
    replica = harness.gateways[0]._replica
    for number in range(60):
        replica.members[f"vm-{number}"] = "127.0.0.1:1"
    await harness.store.put(
        "sardinewharf/members/vm-60", {"address": "127.0.0.1:1"}
    )
    await asyncio.sleep(0.1)
    before = harness.store.calls["kv-watch"]
    for number in range(61, 81):
        await harness.store.put(
            f"sardinewharf/members/vm-{number}", {"address": "127.0.0.1:1"}
        )
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.8)
    assert harness.store.calls["kv-watch"] - before <= 4
    assert "vm-80" in replica.members
