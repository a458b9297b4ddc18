"""Checks that a gateway logs when its replica is stale, and from where it read.

A late configuration could not be traced: no record told where a gateway had its
updates from, nor when its replica was older than a change may take.
"""

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import records
from sardinewharf.gateway import changes
from sardinewharf.gateway import feeds
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import staleness
from sardinewharf.gateway.tests import stores


def test_a_stale_replica_is_logged_once_and_its_end_too(monkeypatch):
    now = 100.0
    monkeypatch.setattr(clocks, "read_monotonic", lambda: now)
    log = stores.MemoryLog()
    replica = replica_lib.Replica(log)
    feed = feeds.Feed(stores.make_settings("vm-1"), replica)
    monitor = staleness.StalenessMonitor(
        replica, feed, settings_lib.Guarantees(apply_ms=3_000), log
    )
    replica.replace([])
    replica.record_confirmation(now)
    for seconds in (0.0, 2.9, 0.2, 0.2):
        now += seconds
        monitor.check()
    replica.record_confirmation(now)
    monitor.check()
    kinds = [type(event) for event in log.events]
    assert kinds == [
        records.events.ReplicaStale,
        records.events.ReplicaConfirmed,
    ]
    assert log.events[0].age_s == 3.1


def test_a_configuration_is_logged_with_its_source():
    log = stores.MemoryLog()
    replica = replica_lib.Replica(log)
    change = changes.ConfigurationChange(catalog.Configuration(version=7))
    replica.apply(change, None, "vm-2")
    assert [event.source for event in log.events] == ["vm-2"]
