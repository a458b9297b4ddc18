"""Tests which reports make a failed endpoint usable again."""

import pytest

from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import inventory

_ENGINE = ids.EndpointId("engine-1")
_REPORT = endpoints.LoadReport(running=0, incarnation=ids.Incarnation("a"))


@pytest.fixture
def directory():
    directory = endpoints.Directory()
    vm = inventory.Vm(
        ids.VmId("engine-1"),
        "127.0.0.1:1",
        inventory.EndpointKind.MODEL_ENGINE,
        ids.FailureDomainId("fd1"),
    )
    directory.merge([vm])
    directory.record_report(_ENGINE, _REPORT, requested_at=1.0)
    return directory


def test_an_answer_asked_for_before_a_failure_does_not_revive(directory):
    """A report requested before a failure must not make the engine usable.

    Such a report, read late, made a crashed engine usable again. The recorded
    crash was withdrawn too, so that the request which had caused it ran on a
    third engine.
    """
    directory.record_failure(_ENGINE, at=3.0)
    directory.record_report(_ENGINE, _REPORT, requested_at=2.9)
    assert not directory.find(_ENGINE).is_usable
    directory.record_report(_ENGINE, _REPORT, requested_at=3.1)
    assert directory.find(_ENGINE).is_usable


def test_an_update_of_unknown_delay_does_not_revive(directory):
    """The age in a digest does not include the digest's own transfer time."""
    directory.record_failure(_ENGINE, at=3.0)
    directory.record_report(_ENGINE, _REPORT, requested_at=3.5, alive_at=1.5)
    assert not directory.find(_ENGINE).is_usable


def test_a_new_incarnation_is_usable_at_once(directory):
    """A restarted engine is not delayed by an earlier incarnation's failure."""
    directory.record_failure(_ENGINE, at=3.0)
    report = endpoints.LoadReport(running=0, incarnation=ids.Incarnation("b"))
    directory.record_report(_ENGINE, report, requested_at=3.5, alive_at=1.5)
    assert directory.find(_ENGINE).is_usable
