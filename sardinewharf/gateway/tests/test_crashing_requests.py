"""Requests that crash the endpoints that run them, sent again and again."""

import asyncio
import contextlib

import pytest
import pytest_asyncio

from sardinewharf.gateway.tests import crashes
from sardinewharf.testbed import gateway_harness

_REMOVED = crashes.Restart(down_s=1.0, removes_entry=True)
_BACK_AT_ONCE = crashes.Restart(down_s=0.0)
_RESTARTS = {
    "its entry goes": _REMOVED,
    "back at once": _BACK_AT_ONCE,
    "its entry stays": crashes.Restart(down_s=1.0),
    "same id": crashes.Restart(down_s=1.0, keeps_id=True),
    "same id, back at once": crashes.Restart(down_s=0.0, keeps_id=True),
    "after a part of its response": crashes.Restart(
        down_s=1.0, removes_entry=True, sends_head=True
    ),
}


@pytest_asyncio.fixture
async def harness():
    """Test doubles, whose gateways a test starts."""
    found = gateway_harness.GatewayHarness(crashes.GUARANTEES)
    await found.start(gateways=0)
    yield found
    await found.close()


async def _start_gateways(harness, count):
    for number in range(count):
        await harness.start_gateway(f"vm-{number}")


@contextlib.asynccontextmanager
async def _run_beside(coroutines):
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


# A crash counted only if the same gateway happened to fail to connect to the
# crashed endpoint soon after, so that such requests went on crashing others.
@pytest.mark.parametrize("path", ["/book/1", "/look/1", "/ask/1"])
@pytest.mark.parametrize("restart", _RESTARTS.values(), ids=_RESTARTS)
async def test_a_repeated_request_crashes_few_endpoints(harness, restart, path):
    await _start_gateways(harness, 2)
    servers = crashes.CrashingServers(harness, restart)
    await servers.repeat(path)
    assert len(servers.crashes[b"poison"]) >= crashes.MAX_CRASHES
    assert servers.count_late() <= crashes.MAX_LATE


# The proof of a crash was left to other requests, whatever these were.
@pytest.mark.parametrize("path", ["/book/1", "/look/1", "/ask/1"])
async def test_other_requests_do_not_hide_a_crash(harness, path):
    await _start_gateways(harness, 3)
    servers = crashes.CrashingServers(harness, _REMOVED)
    harmless = [servers.send_harmless(path, number) for number in range(6)]
    async with _run_beside(harmless):
        await servers.repeat(path)
    assert len(servers.crashes[b"poison"]) >= crashes.MAX_CRASHES
    assert servers.count_late() <= crashes.MAX_LATE


# Crashes by several requests at once hid those of each of them.
async def test_several_such_requests_at_once_are_each_bounded(harness):
    await _start_gateways(harness, 3)
    bodies = [b"poison %d" % number for number in range(8)]
    restart = crashes.Restart(down_s=0.8)
    servers = crashes.CrashingServers(harness, restart, bodies)
    await asyncio.gather(*(servers.repeat("/look/1", body) for body in bodies))
    late = {body: servers.count_late(body) for body in bodies}
    assert max(late.values()) <= crashes.MAX_LATE, late


# A gateway that starts later was told of six crashes at most.
async def test_a_gateway_that_starts_later_learns_of_crashes(harness):
    await _start_gateways(harness, 2)
    servers = crashes.CrashingServers(harness, _REMOVED)
    harmless = [servers.send_harmless("/look/1", number) for number in range(4)]
    async with _run_beside(harmless):
        await servers.repeat("/look/1")
        await harness.start_gateway("vm-later")
        await asyncio.sleep(crashes.CONTACT_MS / 1000)
        for _ in range(6):
            await harness.send_request("/look/1", body=b"poison", gateway=2)
    assert servers.count_late() <= crashes.MAX_LATE
