"""Checks what the directory believes of endpoints that fail."""

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
    directory.record_report(_ENGINE, _REPORT, at=1.0)
    return directory


def test_an_answer_asked_for_before_a_failure_does_not_revive(directory):
    """A report read late brought a dead engine back, and a crashing request.

    With the death its blame was withdrawn, so that the request ran on a third
    engine.
    """
    directory.record_failure(_ENGINE, at=3.0)
    directory.record_report(_ENGINE, _REPORT, at=2.9)
    assert not directory.find(_ENGINE).is_usable
    directory.record_report(_ENGINE, _REPORT, at=3.1)
    assert directory.find(_ENGINE).is_usable


def test_news_of_unknown_delay_does_not_revive(directory):
    """A digest's age leaves out the time that the digest took to come."""
    directory.record_failure(_ENGINE, at=3.0)
    directory.record_report(_ENGINE, _REPORT, at=3.5, alive_at=1.5)
    assert not directory.find(_ENGINE).is_usable


def test_a_new_incarnation_is_usable_at_once(directory):
    """A restarted engine need not wait until doubts of the last are over."""
    directory.record_failure(_ENGINE, at=3.0)
    report = endpoints.LoadReport(running=0, incarnation=ids.Incarnation("b"))
    directory.record_report(_ENGINE, report, at=3.5, alive_at=1.5)
    assert directory.find(_ENGINE).is_usable
