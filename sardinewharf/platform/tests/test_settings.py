"""Tests how the platform's settings file is read."""

import json

import pytest

from sardinewharf import platform
from sardinewharf.gateway import settings as settings_lib

SETTINGS = {
    "node": "vm-1",
    "zone": "a",
    "ip": "127.0.0.1",
    "listen": {"front": "127.0.0.1:8000", "ready": "127.0.0.1:8001"},
    "platform": {"address": "127.0.0.1:8002"},
}


@pytest.mark.parametrize(
    ("entries", "policy"),
    [
        ({}, settings_lib.OverloadPolicy.FORWARD),
        ({"contracts": ["other"]}, settings_lib.OverloadPolicy.FORWARD),
        (
            {"contracts": ["other", "pressure"]},
            settings_lib.OverloadPolicy.RANK,
        ),
    ],
)
def test_requests_are_ranked_where_the_contract_asks_for_it(
    tmp_path, entries, policy
):
    """Guards against ranks in deployments that have not asked for them."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS | entries))
    assert platform.read_settings(path).guarantees.overload_policy is policy
