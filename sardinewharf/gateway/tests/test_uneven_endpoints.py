"""Tests that gateways record what endpoints report of their slowness."""

import pytest

from sardinewharf import clocks
from sardinewharf.gateway.tests import statements
from sardinewharf.gateway.tests import test_leaving_endpoints

send_many = test_leaving_endpoints.send_many
_LOAD = "x-sardinewharf-server-load"


def report_load(server, value):
    """Makes a server report a load in each response and refusal."""
    make_headers = server.make_headers
    server.make_headers = lambda request: [
        (name, value if name == _LOAD else former)
        for name, former in make_headers(request)
    ]


def list_slowness(harness):
    return harness.gateways[0]._reports.list_slowness(clocks.read_monotonic())


@pytest.mark.parametrize("path", ["/book/1", "/ask/1"])
async def test_a_slow_endpoint_gets_fewer_requests(harness, path):
    """Guards against reports of streams or of plain services that are lost."""
    servers = harness.engines if path == "/ask/1" else harness.servers
    for server in servers:
        report_load(server, "0,0,6,100")
    report_load(servers[0], "0,0,6,800")
    await send_many(harness, 20, path)
    before = [server.arrivals for server in servers]
    responses = await send_many(harness, 20, path)
    assert {r.status for r in responses} == {200}
    arrived = [s.arrivals - b for s, b in zip(servers, before, strict=True)]
    assert arrived[0] <= min(arrived[1:]) + 1, arrived
    assert list_slowness(harness)


async def test_loads_of_three_figures_are_not_recorded(harness):
    await send_many(harness, 6)
    assert list_slowness(harness) == []


async def test_refusals_report_the_load_too(harness):
    """An endpoint that refuses most requests would never be known as slow."""
    for server in harness.servers:
        server.faults.refuse = True
    statements.Statements(harness.servers, **{_LOAD: "6,2,6,300"})
    responses = await send_many(harness, 2)
    assert {r.status for r in responses} == {503}
    assert max(list_slowness(harness)) > 1.0


@pytest.mark.parametrize("figures", ["0,0,6,100", "0,0,6"])
async def test_the_speed_is_learned_only_of_engines_that_report(
    harness, figures
):
    """The engines send the first event sooner than expected."""
    for engine in harness.engines:
        report_load(engine, figures)
    for _ in range(4):
        await harness.send_request(
            "/ask/1", body=b"x", x_sardinewharf_token_usage="2900,5"
        )
    speeds = harness.gateways[0]._reports._speeds
    learned = [
        speeds.read(engine.incarnation, clocks.read_monotonic())
        for engine in harness.gateways[0]._replica.registry.list_all()
    ]
    assert (min(learned) < 1.0) is (figures.count(",") == 3)
