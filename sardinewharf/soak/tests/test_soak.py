"""Runs the soak test with four short seeds, and with more seeds on demand.

``SARDINEWHARF_SOAK=long`` adds all seeds that failed once, from seeds.toml, and
some random ones.
"""

import os
import pathlib
import random
import tomllib

import pytest

from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import families
from sardinewharf.soak import faults
from sardinewharf.soak import runner
from sardinewharf.soak import schedules

_IS_LONG = os.environ.get("SARDINEWHARF_SOAK") == "long"
_FAILED_SEEDS = pathlib.Path(__file__).parents[1] / "seeds.toml"
_RANDOM_SEEDS = 4
_SECONDS = 20.0
_SHORT_SECONDS = 12.0
_SHORT = [
    # Has refusals sent again, cut heads, broken streams, a pause of all
    # engines, gateways that restart, and changes in between.
    runner.SoakSettings(seed=5184, seconds=_SHORT_SECONDS),
    # Has engines that refuse falsely all the time, a nested entry, requests
    # late in a shutdown, a server that leaves and servers that ask for pauses.
    runner.SoakSettings(seed=59232, seconds=_SHORT_SECONDS),
    # Has three requests that crash engines, which lose or keep their entries.
    runner.SoakSettings(seed=1, seconds=_SHORT_SECONDS, family="crashes"),
    # Has two prompt parts that crash engines, beside sound requests.
    runner.SoakSettings(seed=1, seconds=_SECONDS, family="parts"),
]


def list_settings():
    if not _IS_LONG:
        return _SHORT
    failed = tomllib.loads(_FAILED_SEEDS.read_text())["seed"]
    failed_settings = [
        runner.SoakSettings(row["seed"], row["seconds"], row.get("family", ""))
        for row in failed
    ]
    random_settings = [
        runner.SoakSettings(random.randrange(1_000_000))
        for _ in range(_RANDOM_SEEDS)
    ]
    return [*_SHORT, *failed_settings, *random_settings]


@pytest.mark.parametrize(
    "settings", list_settings(), ids=lambda s: f"{s.seed}{s.family}"
)
def test_promises_hold_under_faults(settings, tmp_path):
    outcome = runner.run_soak(settings, tmp_path)
    assert [str(finding) for finding in outcome.findings] == []
    assert outcome.served > 100


@pytest.mark.parametrize("family", families.FAMILIES, ids=lambda row: row.name)
def test_a_family_is_drawn_alone(tmp_path, family):
    deployment = deployment_lib.Deployment(
        tmp_path, deployment_lib.DeploymentSize()
    )
    drawn = schedules.draw_faults(7, deployment, _SECONDS, family.name)
    assert drawn
    assert all(fault.until <= _SECONDS for fault in drawn)


def test_a_short_seed_has_all_families(tmp_path):
    deployment = deployment_lib.Deployment(
        tmp_path, deployment_lib.DeploymentSize()
    )
    settings = _SHORT[1]
    drawn = schedules.draw_faults(settings.seed, deployment, settings.seconds)
    assert {type(fault) for fault in drawn} >= {
        faults.LastingServerFault,
        faults.OddEntry,
        faults.BusyRestart,
        faults.Leave,
        faults.Backoff,
    }


def test_a_seed_draws_the_same_faults(tmp_path):
    deployment = deployment_lib.Deployment(
        tmp_path, deployment_lib.DeploymentSize()
    )
    first, second = (
        schedules.draw_faults(7, deployment, _SECONDS) for _ in range(2)
    )
    assert first == second
    assert all(fault.until <= _SECONDS for fault in first)
