"""Checks that the quotas of organisations are decoded.

A quota that is not read is not enforced. One that is read wrongly refuses
requests within it.
"""

import json

import pytest

from sardinewharf import catalog
from sardinewharf import keyvalue
from sardinewharf import platform
from sardinewharf.gateway.tests import stores

_ROW = {"rate_per_s": 300, "burst": 600, "unit": "tokens", "plain_tokens": 7}


@pytest.mark.parametrize(
    ("row", "quota"),
    [
        ({}, None),
        ({"rate_per_s": 0, "burst": 5}, None),
        ({"rate_per_s": None, "unit": None}, None),
        (_ROW, catalog.Quota(300.0, 600.0, catalog.QuotaUnit.TOKENS, 7.0)),
        ({"rate_per_s": 0.5, "burst": 2}, catalog.Quota(0.5, 2.0)),
        (
            {"rate_per_s": 2, "burst": 2, "unit": "requests"},
            catalog.Quota(2.0, 2.0),
        ),
    ],
)
def test_a_quota_is_decoded(row, quota):
    manifest = {"version": 3, "tenants": [{"name": "org-1"} | row]}
    entry = keyvalue.Entry("op/config", json.dumps(manifest).encode(), 5)
    change = platform.EntryReader(stores.MemoryLog()).read_change(entry)
    assert change.configuration.find_quota("org-1") == quota
