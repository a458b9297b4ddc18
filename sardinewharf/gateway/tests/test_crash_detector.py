from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf.gateway import crashes
from sardinewharf.gateway.tests import stores

_ENDPOINT = fleet.Endpoint(
    ids.EndpointId("e"),
    "s",
    "127.0.0.1:1",
    "fd",
    4,
    fleet.EndpointState.READY,
    started_ms=1,
)


class Detector:
    """A detector, and what it finds."""

    def __init__(self):
        self.registry = fleet.Registry()
        self.registry.put(_ENDPOINT)
        self.suspects = limits.SuspectTable(600.0)
        self.detector = crashes.CrashDetector(
            stores.make_settings("vm-1"),
            self.registry,
            fleet.NoticeTable(),
            self.suspects,
            stores.MemoryLog(),
        )

    def lose(self, fingerprint, at, sent_at=0.0):
        loss = crashes.Loss(
            ids.RequestId("r"),
            (limits.Cause(fingerprint),),
            _ENDPOINT,
            sent_at,
            at,
        )
        return self.detector.record_loss(loss)

    def count(self, fingerprint, now=10.0):
        return self.suspects.count_crashes(fingerprint, now)


# A reset by an endpoint that lived counted as soon as it crashed later.
def test_a_loss_long_before_a_crash_does_not_count():
    found = Detector()
    found.lose(b"early", 1.0)
    found.lose(b"late", 5.0)
    found.detector.record_unreachable(_ENDPOINT.incarnation, 5.1)
    assert (found.count(b"early"), found.count(b"late")) == (0, 1)


def test_a_request_that_was_sent_after_the_crash_does_not_count():
    found = Detector()
    found.lose(b"f", 5.0)
    found.detector.record_unreachable(_ENDPOINT.incarnation, 5.1)
    found.lose(b"beside", 5.2, sent_at=4.0)
    found.lose(b"after", 5.2, sent_at=5.05)
    assert (found.count(b"beside"), found.count(b"after")) == (1, 0)


# A lost connection was noticed after the failure to connect that proves it.
def test_a_loss_that_is_noticed_after_a_failed_connect_counts():
    found = Detector()
    found.detector.record_unreachable(_ENDPOINT.incarnation, 5.0)
    found.lose(b"f", 5.1, sent_at=4.0)
    assert found.count(b"f") == 1


def test_a_crash_that_a_peer_found_counts():
    found = Detector()
    assert found.lose(b"f", 5.0)
    found.detector.record_peer_crash(_ENDPOINT.incarnation)
    assert found.count(b"f") == 1


def test_an_endpoint_that_announces_its_exit_after_a_loss_has_not_crashed():
    found = Detector()
    found.lose(b"f", 5.0)
    leaving = fleet.Endpoint(
        _ENDPOINT.id,
        _ENDPOINT.service,
        _ENDPOINT.address,
        _ENDPOINT.failure_domain,
        _ENDPOINT.slots,
        fleet.EndpointState.LEAVING,
        started_ms=1,
    )
    found.registry.put(leaving)
    found.detector.check_registry()
    found.registry.remove(leaving.id)
    found.detector.check_registry()
    found.detector.record_unreachable(_ENDPOINT.incarnation, 5.5)
    assert found.count(b"f") == 0


# Losses within the time of a proof had no limit.
def test_the_losses_that_are_kept_are_limited(monkeypatch):
    monkeypatch.setattr(crashes, "_MAX_LOSSES", 5)
    found = Detector()
    for number in range(20):
        found.lose(b"%d" % number, 5.0)
    found.detector.record_unreachable(_ENDPOINT.incarnation, 5.1)
    assert sum(found.count(b"%d" % number) for number in range(20)) == 5


def _end(found, at, is_complete=True):
    loss = crashes.Loss(
        ids.RequestId("r"),
        (limits.Cause(b"f"), limits.make_part_cause("aa")),
        _ENDPOINT,
        0.0,
        at,
        is_complete,
    )
    return found.detector.record_loss(loss)


# A response without a length or chunks looked whole, so that the crash that had
# ended it was not counted.
def test_an_end_without_framing_counts_if_the_endpoint_has_crashed():
    found = Detector()
    _end(found, 5.0)
    found.detector.record_unreachable(_ENDPOINT.incarnation, 5.1)
    assert found.count(b"f") == 1
    assert found.count(limits.make_part_cause("aa").fingerprint) == 1


# What is only answered without framing could never be free again.
def test_an_end_without_framing_is_a_completion_if_it_has_not():
    found = Detector()
    for number in range(3):
        crash = limits.Crash(b"f", f"other-{number}", 1.0)
        found.suspects.record_crash(crash, 1.0)
    _end(found, 5.0)
    found.detector.forget_old(5.1)
    assert found.count(b"f", 5.1) == 3
    found.detector.forget_old(100.0)
    assert found.count(b"f", 100.0) == 0
    _end(found, 101.0, is_complete=False)
    assert not found.suspects.is_unproven(b"f", 101.0)
