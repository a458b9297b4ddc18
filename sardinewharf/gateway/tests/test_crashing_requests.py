"""Requests that crash the endpoints that run them, sent again and again."""

import asyncio
import contextlib

import pytest
import pytest_asyncio

from sardinewharf import clocks
from sardinewharf.gateway import quarantine as quarantine_lib
from sardinewharf.gateway.tests import crashes
from sardinewharf.limits import suspects as suspects_lib
from sardinewharf.testbed import gateway_harness

# When a request that was suspected wrongly is served again at the latest.
_FIRST_TRIAL_S = 3.5
_REMOVED = crashes.Restart(down_s=1.0, removes_entry=True)
_BACK_AT_ONCE = crashes.Restart(down_s=0.0)
_RESTARTS = {
    "its entry goes": _REMOVED,
    "back at once": _BACK_AT_ONCE,
    "its entry stays": crashes.Restart(down_s=1.0),
    "same id": crashes.Restart(down_s=1.0, keeps_id=True),
    "same id, back at once": crashes.Restart(down_s=0.0, keeps_id=True),
    "after a part of its response": crashes.Restart(
        down_s=1.0, removes_entry=True, ending=crashes.Ending.RESET
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


async def _count_refused(harness, path, body, count, pause_s=0.02):
    """Returns how many of some requests were not answered with 200."""
    statuses = []
    for number in range(count):
        gateway = number % len(harness.gateways)
        response = await harness.send_request(path, body=body, gateway=gateway)
        statuses.append(response.status)
        await asyncio.sleep(pause_s)
    return statuses


def _reset_two_in_five(server):
    """Makes a server reset two of five of its answers."""
    respond = server.respond

    async def respond_or_reset(connection, request):
        if len(server.executed) % 5 in (1, 3):
            connection.abort()
        else:
            await respond(connection, request)

    server.respond = respond_or_reset


# A probe must not take an endpoint that lives for one that crashed.
async def test_resets_by_endpoints_that_live_quarantine_nothing(harness):
    await _start_gateways(harness, 2)
    for server in harness.servers:
        _reset_two_in_five(server)
    statuses = await _count_refused(harness, "/book/1", b"often", 60)
    assert statuses.count(503) == 0
    assert statuses.count(200) >= 30
    for gateway in harness.gateways:
        assert not len(gateway._suspects)


# The proof of a crash must not be a planned exit, announced or not.
@pytest.mark.parametrize("is_announced", [True, False])
async def test_planned_exits_quarantine_nothing(harness, is_announced):
    await _start_gateways(harness, 2)
    for server in harness.servers:
        server.request_duration_s = 3.0
    sending = [
        asyncio.ensure_future(harness.send_request("/book/1", body=b"slow"))
        for _ in range(6)
    ]
    await asyncio.sleep(0.3)
    for server in harness.servers:
        if is_announced:
            await harness.register(server, state="draining")
        else:
            await harness.store.remove(f"servers/{server.id}")
    # An endpoint serves on for the time in which it gets no new requests.
    await asyncio.sleep(harness.guarantees.endpoint_drain_ms / 1000)
    for server in harness.servers:
        await server.stop()
    await asyncio.gather(*sending)
    await asyncio.sleep(0.7)
    for gateway in harness.gateways:
        assert not len(gateway._suspects)


# Requests that many callers send were lost whenever an endpoint crashed for
# another reason.
async def test_a_request_that_also_completes_stays_served(harness):
    await _start_gateways(harness, 2)
    servers = crashes.CrashingServers(harness, _BACK_AT_ONCE)
    popular = [
        asyncio.ensure_future(_count_refused(harness, "/look/1", b"often", 60))
        for _ in range(3)
    ]
    for number in range(9):
        await asyncio.sleep(0.1)
        await servers.crash(harness.servers[number % 3])
    statuses = [s for result in await asyncio.gather(*popular) for s in result]
    assert statuses[-3:] == [200] * 3
    assert statuses.count(503) <= len(statuses) // 20
    again = await _count_refused(harness, "/look/1", b"often", 20)
    assert again == [200] * 20


async def _repeat_until_quarantined(harness, servers):
    for _ in range(40):
        await harness.send_request("/look/1", body=b"poison")
        suspects = harness.gateways[0]._suspects
        if suspects.count_quarantined():
            return
        await asyncio.sleep(0.15)
    raise TimeoutError("the request was not quarantined")


# A request that was suspected wrongly would be refused for good.
async def test_a_quarantined_request_is_tried_and_then_free(
    harness, monkeypatch
):
    await _start_gateways(harness, 2)
    servers = crashes.CrashingServers(harness, _BACK_AT_ONCE)
    await _repeat_until_quarantined(harness, servers)
    refused = await harness.send_request("/look/1", body=b"poison")
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) >= 1.0
    assert b"3 endpoints crashed" in refused.body
    arrivals = len(servers.arrivals[b"poison"])
    servers.heal()
    monkeypatch.setattr(suspects_lib, "_TRIAL_INTERVALS_S", (0.5, 1.0))
    async with asyncio.timeout(10.0):
        while True:
            response = await harness.send_request("/look/1", body=b"poison")
            if response.status == 200:
                break
            await asyncio.sleep(0.05)
    assert len(servers.arrivals[b"poison"]) == arrivals + 1
    await asyncio.sleep(0.2)
    statuses = await _count_refused(harness, "/look/1", b"poison", 6)
    assert statuses == [200] * 6


# A second key of the organisation made another request of it.
async def test_a_request_is_the_same_under_each_key_and_query(harness):
    manifest = gateway_harness.make_manifest(2)
    manifest["tenants"][0]["api_keys"] = [gateway_harness.KEY, "key-1b"]
    await harness.store.put("op/config", manifest)
    await _start_gateways(harness, 1)
    servers = crashes.CrashingServers(harness, _BACK_AT_ONCE)
    await _repeat_until_quarantined(harness, servers)
    arrivals = len(servers.arrivals[b"poison"])
    await harness.send_request(
        "/look/1?again=1", body=b"poison", authorization="Token key-1b"
    )
    assert len(servers.arrivals[b"poison"]) == arrivals


# It passed the check, waited for a connection, and was sent to a fourth.
async def test_a_request_is_checked_again_before_it_is_sent(
    harness, monkeypatch
):
    await _start_gateways(harness, 1)
    servers = crashes.CrashingServers(harness, _BACK_AT_ONCE)
    await _repeat_until_quarantined(harness, servers)
    gateway = harness.gateways[0]
    table = gateway._suspects
    quarantined = [False, True]
    monkeypatch.setattr(
        table,
        "is_quarantined",
        lambda *_: quarantined.pop(0) if quarantined else True,
    )
    arrivals = len(servers.arrivals[b"poison"])
    response = await harness.send_request("/look/1", body=b"poison")
    assert response.status == 503
    assert len(servers.arrivals[b"poison"]) == arrivals


# What one gateway knew was lost with it, and what all knew with a restart.
async def test_a_restarted_gateway_is_told_by_its_peers(harness):
    await _start_gateways(harness, 2)
    servers = crashes.CrashingServers(harness, _BACK_AT_ONCE)
    await _repeat_until_quarantined(harness, servers)
    await asyncio.sleep(0.3)
    restarted = await harness.start_gateway("vm-restarted")

    async def is_told():
        return restarted._suspects.count_quarantined() == 1

    await gateway_harness.wait_for(is_told, crashes.CONTACT_MS / 1000 + 1.0)


# Endpoints that crash one after the other for another reason make all that ran
# there suspect.
async def test_other_crashes_hold_up_no_request_for_long(harness):
    await _start_gateways(harness, 2)
    servers = crashes.CrashingServers(harness, crashes.Restart(down_s=1.0))
    for engine in harness.engines:
        engine.event_interval_s = 0.3
    for _ in harness.engines:
        running = asyncio.ensure_future(
            harness.send_request("/chat/1", body=b"often")
        )
        await asyncio.sleep(0.2)
        assert len(harness.list_executed()) == 1
        engine = next(e for e in harness.engines if e.executed)
        engine.executed.clear()
        crash = asyncio.ensure_future(servers.crash(engine))
        await running
        await asyncio.sleep(0.2)
    await crash
    for engine in harness.engines:
        engine.event_interval_s = 0.0
    # The request, and the part of its prompt.
    assert harness.gateways[0]._suspects.count_quarantined() == 2
    await asyncio.sleep(_FIRST_TRIAL_S)
    statuses = await _count_refused(harness, "/chat/1", b"often", 40)
    assert statuses[-20:] == [200] * 20


# Registrations of gateways that have gone stay in the store, so that a gateway
# that waited for most of them would never find out what is sound.
async def test_a_gateway_whose_peers_have_gone_begins_trials_later(
    harness, monkeypatch
):
    await _start_gateways(harness, 1)
    for number in range(5):
        await harness.store.put(
            f"sardinewharf/members/gone-{number}",
            {"address": f"127.0.0.1:{number + 1}", "failure_domain": "fd-1"},
        )
    monkeypatch.setattr(suspects_lib, "_TRIAL_INTERVALS_S", (0.3, 1.0))
    monkeypatch.setattr(quarantine_lib, "_CUT_OFF_TRIAL_DELAY_S", 1.5)
    monkeypatch.setattr(quarantine_lib, "_TRIAL_STAGGER_S", 0.0)
    servers = crashes.CrashingServers(harness, _BACK_AT_ONCE)
    await _repeat_until_quarantined(harness, servers)
    servers.heal()
    began = clocks.read_monotonic()
    async with asyncio.timeout(10.0):
        while True:
            response = await harness.send_request("/look/1", body=b"poison")
            if response.status == 200:
                break
            await asyncio.sleep(0.05)
    assert clocks.read_monotonic() - began > 1.0
