"""Tests that no cached prompt of an isolated organisation is shared."""

import random

import pytest

from sardinewharf import catalog
from sardinewharf.gateway import cache_scopes
from sardinewharf.gateway import freshness
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.testbed import gateway_harness

_NAMES = ("a", "b", "ab", "c")
_GATEWAYS = 3
_STEPS = 400


def make_organisation(name, is_isolated):
    return catalog.Organisation(name, (), is_isolated=is_isolated)


def make_configuration(version, isolated, present=_NAMES):
    return catalog.Configuration(
        version,
        organisations=tuple(
            make_organisation(name, name in isolated) for name in present
        ),
    )


def draw_configuration(rng, version):
    """Returns a configuration in which any organisation may be gone."""
    present = rng.sample(_NAMES, rng.randint(1, len(_NAMES)))
    isolated = rng.sample(present, rng.randint(0, len(present)))
    return make_configuration(version, isolated, present)


def find(configuration, name):
    for organisation in configuration.organisations:
        if organisation.name == name:
            return organisation
    return None


@pytest.mark.parametrize("seed", range(20))
def test_no_scope_is_shared_with_an_isolated_organisation(seed):
    """Guards against scopes that hold what was made before an isolation.

    Gateways apply changes late and in no order, restart, and admit requests
    that wait while the configuration changes. Whoever uses a scope under the
    newest configuration must not meet what another organisation made if one
    of the two is isolated now.
    """
    rng = random.Random(seed)
    applied = [make_configuration(1, ())] * _GATEWAYS
    newest = applied[0]
    # Which organisations wrote to a scope under any configuration.
    writers = {}
    for version in range(2, _STEPS):
        newest = draw_configuration(rng, version)
        applied[rng.randrange(_GATEWAYS)] = newest
        for configuration in applied:
            admitted_under = rng.choice(applied)
            for name in _NAMES:
                organisation = find(admitted_under, name)
                if organisation is None:
                    continue
                scope = cache_scopes.make_cache_scope(
                    configuration, organisation, "m", 1
                )
                if configuration is newest:
                    check_writers(newest, name, writers.get(scope, set()))
                writers.setdefault(scope, set()).add(name)


def check_writers(newest, name, writers):
    """Checks whose cached prompts an organisation would meet."""
    if newest.is_isolated(name):
        assert writers <= {name}
    else:
        assert not any(newest.is_isolated(writer) for writer in writers)


def test_the_names_of_organisations_are_not_run_together():
    """Guards against two sets of organisations with the same digest."""
    apart = make_configuration(1, ("a", "b"))
    joined = make_configuration(1, ("ab",))
    assert apart.isolation_digest != joined.isolation_digest


async def wait_for_version(harness, version):
    replica = harness.gateways[0]._replica

    async def is_applied():
        return replica.configuration.version == version

    await gateway_harness.wait_for(is_applied)


async def isolate(harness, version, *names):
    """Writes a configuration in which these organisations are isolated."""
    tenants = [
        {
            "name": f"org-{number}",
            "api_keys": [f"key-{number}"],
            "isolated": f"org-{number}" in names,
        }
        for number in (1, 2, 3)
    ]
    manifest = gateway_harness.make_manifest(version, tenants=tenants)
    await harness.store.put("op/config", manifest)
    await wait_for_version(harness, version)


async def send(harness, number):
    """Sends a request of an organisation; returns the scope it was run in."""
    before = len(harness.list_executed())
    response = await harness.send_request(
        "/chat/1", body=b"p", authorization=f"Token key-{number}"
    )
    assert response.status == 200
    assert len(harness.list_executed()) == before + 1
    by_id = {row.request_id: row for row in harness.list_executed()}
    ran = by_id[response.headers["x-sardinewharf-request-id"]]
    return ran.headers["x-sardinewharf-cache-salt"]


async def test_a_new_isolation_leaves_the_old_scope(harness):
    """Guards against others that go on from what an organisation made.

    After a manifest that isolated an organisation, requests of others went on
    from the KV cache that it had made before.
    """
    await isolate(harness, 2)
    shared = {await send(harness, 1), await send(harness, 2)}
    assert len(shared) == 1
    await isolate(harness, 3, "org-1")
    own = await send(harness, 1)
    after = {await send(harness, 2), await send(harness, 3)}
    assert len(after) == 1
    assert len({own} | after | shared) == 3
    await isolate(harness, 4)
    assert {await send(harness, n) for n in (1, 2, 3)} == shared


async def test_nothing_is_shared_once_an_isolation_may_be_unknown():
    """Guards against a gateway that shares prompts by an outdated set.

    A gateway without contact with the store served an organisation in the
    shared scope for as long as keys were valid, though it had been isolated.
    """
    # Keys stay valid long after that, however slow the test runs.
    guarantees = settings_lib.Guarantees(revoke_ms=60_000)
    max_age_s = freshness.split_guarantees(guarantees).max_unknown_age_s
    harness = gateway_harness.GatewayHarness(guarantees)
    await harness.start()
    try:
        await isolate(harness, 2)
        shared = {await send(harness, 1), await send(harness, 2)}
        assert len(shared) == 1
        harness.store.faults.is_silent = True
        replica = harness.gateways[0]._replica

        async def may_be_outdated():
            return replica.count_age() > max_age_s

        await gateway_harness.wait_for(may_be_outdated)
        scopes = [await send(harness, number) for number in (1, 2, 3)]
        assert len(set(scopes)) == 3
        assert not set(scopes) & shared
    finally:
        await harness.close()
