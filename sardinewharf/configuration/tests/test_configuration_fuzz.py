"""Fuzzes concurrent operators on a store that loses responses.

A commit whose response was lost is confirmed again. It must not create a second
version, and no confirmed plan may be missing from the history.
"""

import asyncio
import random

import pytest

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import keyvalue
from sardinewharf.claims.tests import test_claims_fuzz


def make_document(number):
    model = configuration.Model("m", f"w{number}")
    return configuration.Document(models=(model,))


async def run_operator(store, name, rng, confirmed):
    for number in range(6):
        known = configuration.ConfigurationHolder().snapshot
        current = await store.load(known, clocks.Deadline.after(1.0))
        if current is None:
            continue
        wanted = make_document(f"{name}-{number}")
        plan = configuration.make_plan(
            current.version, current.document, wanted
        )
        result = None
        for _ in range(rng.randrange(1, 4)):
            # An operator who got no response confirms again.
            result = await store.commit(plan, name, clocks.Deadline.after(0.5))
        if isinstance(result, configuration.Committed):
            confirmed[plan.plan] = result.commit.version


@pytest.mark.parametrize("seed", range(8))
async def test_fuzz_each_confirmed_plan_is_one_version(seed):
    kv = test_claims_fuzz.FaultyStore(seed)
    store = configuration.ConfigurationStore(kv)
    confirmed = {}
    rng = random.Random(seed)
    await asyncio.gather(
        *(run_operator(store, f"o{n}", rng, confirmed) for n in range(3))
    )
    await asyncio.sleep(0.1)
    key = "sardinewharf/configuration/manifest"
    record = kv.records.get(key)
    assert isinstance(record, keyvalue.Record)
    manifest = configuration.Manifest.decode(record.value)
    versions = [commit.version for commit in manifest.history]
    assert versions == list(range(1, manifest.version + 1))
    plans = [commit.plan for commit in manifest.history]
    assert len(set(plans)) == len(plans)
    for plan, version in confirmed.items():
        assert manifest.find_plan(plan).version == version


def test_a_snapshot_with_a_missing_shard_is_refused():
    manifest = configuration.Manifest(1, {"base": "00"})
    with pytest.raises(configuration.ManifestError, match="Fetch it again"):
        configuration.Snapshot(manifest, ())


def test_the_version_never_goes_back():
    holder = configuration.ConfigurationHolder()
    newer = configuration.Snapshot(configuration.Manifest(5), ())
    older = configuration.Snapshot(configuration.Manifest(4), ())
    assert holder.adopt(newer)
    assert not holder.adopt(older)
    assert holder.snapshot.version == 5
