"""Tests the soak's hostile clients, and the check of the gateways they meet."""

import msgspec
import pytest

from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults
from sardinewharf.soak import hostile_clients
from sardinewharf.soak import hostile_faults
from sardinewharf.soak import invariants
from sardinewharf.soak import runner
from sardinewharf.soak import schedules
from sardinewharf.soak.invariants import hostile
from sardinewharf.soak.invariants import records
from sardinewharf.soak.tests import test_invariants

# Its clients show all behaviours, on both ports of all gateways.
_SEED = 22
_SECONDS = 20.0
_PREFIX = "HOSTILE: family hostile, seed 1, g0: "
_CLIENT = hostile_clients.Client(
    hostile_clients.Behaviour.PROBES, hostile_clients.Port.READY
)


@pytest.fixture
def history(tmp_path):
    """A history whose only fault are hostile clients of its gateway."""
    created = test_invariants.History(tmp_path)
    created.faults.append(
        hostile_faults.HostileClients(1.0, 20.0, "g0", (_CLIENT,) * 3)
    )
    yield created
    created.deployment.close()


def make_check(history):
    timeline = invariants.Timeline(test_invariants.STARTED_AT, history.faults)
    return hostile.HostileCheck(
        records.Record(
            history.deployment, history.pool, history.operator, timeline
        )
    )


def list_findings(check):
    check.check()
    check.check_final(test_invariants.NOW)
    return [str(finding) for finding in check.findings]


def draw_hostile(seed, folder):
    """Returns the clients of a seed by gateway, and its other faults."""
    deployment = deployment_lib.Deployment(
        folder, deployment_lib.DeploymentSize()
    )
    drawn = schedules.draw_faults(seed, deployment, _SECONDS, "hostile")
    clients = {
        fault.gateway: fault.clients
        for fault in drawn
        if isinstance(fault, hostile_faults.HostileClients)
    }
    others = [
        fault
        for fault in drawn
        if not isinstance(fault, hostile_faults.HostileClients)
    ]
    return clients, others


def test_gateways_outlast_hostile_clients(tmp_path):
    """Guards against gateways that grow, hang or exit beside such clients."""
    settings = runner.SoakSettings(_SEED, _SECONDS, "hostile")
    outcome = runner.run_soak(settings, tmp_path)
    print((tmp_path / "hostile.txt").read_text())
    assert [str(finding) for finding in outcome.findings] == []
    assert outcome.served > 100
    # A run in which the clients sent nothing would show nothing.
    for log in tmp_path.glob("hostile-*.log"):
        rows = msgspec.json.decode(log.read_text().splitlines()[-1])
        assert all(connections and sent for _, connections, sent in rows), rows


@pytest.mark.parametrize("seed", range(20))
def test_clients_are_drawn_on_both_ports(tmp_path, seed):
    """Guards against runs that lack a port, a restart or a cut."""
    clients, others = draw_hostile(seed, tmp_path)
    assert clients
    for drawn in clients.values():
        assert {row.port for row in drawn} == set(hostile_clients.Port)
    assert {type(fault) for fault in others} == {
        faults.Restart,
        faults.LinkFault,
    }


def test_the_seed_of_ci_has_all_behaviours(tmp_path):
    """Guards against a change of the draw that empties the run in CI."""
    clients, _ = draw_hostile(_SEED, tmp_path)
    drawn = {row.behaviour for rows in clients.values() for row in rows}
    assert len(clients) == deployment_lib.DeploymentSize().gateways
    assert drawn == set(hostile_clients.Behaviour)


@pytest.mark.parametrize("behaviour", hostile_clients.Behaviour)
def test_no_script_ends_a_request_with_a_body(behaviour):
    """Guards against clients that send requests which may run."""
    script = hostile_clients.make_script(behaviour)
    sent = script.start + script.repeated
    if b"transfer-encoding" in sent:
        assert not sent.endswith(b"0\r\n\r\n")
    else:
        assert b"authorization" not in sent


def test_a_gateway_that_answers_afterwards(history):
    history.send("late", sent_at=121.0, ended_at=121.1)
    check = make_check(history)
    check.add_sample("g0", 40_000_000, 30)
    assert list_findings(check) == []


def test_a_gateway_that_answers_only_before(history):
    history.send("early", sent_at=119.0, ended_at=119.1)
    assert list_findings(make_check(history)) == [
        f"{_PREFIX}answered no request after the clients left"
    ]


def test_a_gateway_that_only_refuses_afterwards(history):
    history.send("late", sent_at=121.0, ended_at=121.1, status=503)
    assert list_findings(make_check(history)) == [
        f"{_PREFIX}answered no request after the clients left"
    ]


@pytest.mark.parametrize(
    ("size", "descriptors", "excess"),
    [
        # Half of 128 MB, and eight connections.
        (64_000_000 + 8 * 131_072, 116, []),
        (64_000_001 + 8 * 131_072, 116, ["memory"]),
        (64_000_000, 117, ["open descriptors"]),
    ],
)
def test_bounds(history, size, descriptors, excess):
    """Guards against bounds that no peak exceeds; the peak counts."""
    history.send("late", sent_at=121.0, ended_at=121.1)
    check = make_check(history)
    check.add_sample("g0", size, descriptors)
    check.add_sample("g0", 1, 1)
    assert list_findings(check) == [
        f"{_PREFIX}exceeded its {name}" for name in excess
    ]


def test_a_gateway_that_exits_by_itself(history):
    history.send("late", sent_at=121.0, ended_at=121.1)
    history.deployment.start_process("g0")
    check = make_check(history)
    check.sample()
    size, descriptors = check.peaks["g0"]
    assert size > 0
    assert descriptors > 0
    history.deployment.processes["g0"].kill()
    assert list_findings(check) == [f"{_PREFIX}ended with -9"]


def test_a_gateway_that_the_schedule_ended_is_skipped(history):
    """Guards against a sample that fails, or a finding, after a kill."""
    history.send("late", sent_at=121.0, ended_at=121.1)
    history.deployment.start_process("g0")
    history.deployment.kill("g0")
    check = make_check(history)
    check.sample()
    assert check.peaks == {}
    assert list_findings(check) == []


def test_a_run_without_hostile_clients_is_not_checked(history):
    history.faults.clear()
    assert list_findings(make_check(history)) == []
