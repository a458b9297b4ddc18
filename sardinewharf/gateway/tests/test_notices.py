"""Tests which responses state something about further requests."""

import types

import pytest

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf.fleet.tests import test_departures
from sardinewharf.gateway import messages
from sardinewharf.gateway import notices as notices_lib
from sardinewharf.gateway import settings as settings_lib


class Recorder:
    """A recorder whose table and records a test can look at."""

    def __init__(self):
        self.table = fleet.NoticeTable()
        self.records = []
        log = types.SimpleNamespace(write=self.records.append)
        self._recorder = notices_lib.NoticeRecorder(
            settings_lib.Guarantees(endpoint_drain_ms=1_000), self.table, log
        )
        self._endpoint = test_departures.make_endpoint()

    def record(self, status, **stated):
        """Records a response that states something."""
        head = messages.ResponseHead(
            **{
                "status": status,
                "request_id": "r",
                "is_stamped": True,
                "is_not_run": False,
                "is_event_stream": False,
                "is_encoded": False,
                "weights": 0,
                "load": None,
                "is_leaving": False,
                "retry_after_s": None,
                "forwarded_headers": (),
            }
            | stated
        )
        target = types.SimpleNamespace(endpoint=self._endpoint)
        attempt = types.SimpleNamespace(head=head, target=target)
        headers = types.SimpleNamespace(request_id="r")
        request = types.SimpleNamespace(headers=headers)
        self._recorder.record(types.SimpleNamespace(request=request), attempt)

    def count_wait(self):
        """Returns the seconds until the endpoint may be sent requests."""
        return self.table.count_wait(
            self._endpoint.incarnation, clocks.read_monotonic()
        )

    def is_leaving(self):
        """Returns whether the endpoint counts as leaving."""
        return self.table.departures.is_leaving(self._endpoint.incarnation)


@pytest.mark.parametrize("status", [200, 404, 429, 500, 503, 504])
def test_a_response_of_any_status_may_say_that_its_endpoint_leaves(status):
    recorder = Recorder()
    recorder.record(status, is_leaving=True)
    assert recorder.is_leaving()


def test_a_misdirected_request_says_nothing_of_its_endpoint():
    """Another endpoint at the address may have sent the response."""
    recorder = Recorder()
    recorder.record(421, is_leaving=True, is_not_run=True, retry_after_s=9.0)
    assert not recorder.is_leaving()
    assert recorder.count_wait() == 0.0


@pytest.mark.parametrize(
    ("status", "is_not_run", "is_pause"),
    [
        (503, True, True),
        (503, False, True),
        (429, True, True),
        (429, False, False),
        (200, False, False),
        (500, False, False),
        (400, True, False),
    ],
)
def test_only_an_endpoint_that_turns_requests_away_pauses(
    status, is_not_run, is_pause
):
    recorder = Recorder()
    recorder.record(status, is_not_run=is_not_run, retry_after_s=3.0)
    assert (2.5 < recorder.count_wait() <= 3.0) is is_pause


def test_a_pause_of_no_time_is_none():
    recorder = Recorder()
    recorder.record(503, retry_after_s=0.0)
    assert recorder.count_wait() == 0.0
    assert recorder.records == []


def test_a_pause_is_bounded():
    """An odd value must not take an endpoint away for hours."""
    recorder = Recorder()
    recorder.record(503, retry_after_s=1e18)
    assert 119 < recorder.count_wait() <= 120


# The pause was cut at two minutes each time, so that an endpoint that asked for
# an hour got thirty requests within it.
def test_a_long_pause_that_is_stated_again_holds_to_its_end(monkeypatch):
    recorder = Recorder()
    now = clocks.read_monotonic()
    recorder.record(503, retry_after_s=3_600.0)
    monkeypatch.setattr(clocks, "read_monotonic", lambda: now + 121.0)
    assert recorder.count_wait() == 0.0
    recorder.record(503, retry_after_s=3_479.0)
    assert recorder.count_wait() > 3_400


def test_a_long_pause_after_the_end_of_another_is_bounded(monkeypatch):
    recorder = Recorder()
    now = clocks.read_monotonic()
    recorder.record(503, retry_after_s=100.0)
    monkeypatch.setattr(clocks, "read_monotonic", lambda: now + 121.0)
    recorder.record(503, retry_after_s=3_600.0)
    assert recorder.count_wait() <= 120


def test_only_the_first_statement_is_logged():
    recorder = Recorder()
    for _ in range(3):
        recorder.record(503, is_leaving=True, retry_after_s=3.0)
    kinds = [type(record).__name__ for record in recorder.records]
    assert kinds == ["EndpointLeaving", "EndpointPaused"]
