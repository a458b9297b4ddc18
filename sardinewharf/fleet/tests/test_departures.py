"""Tests which endpoints may be sent requests after they said they leave."""

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids


def make_endpoint(name="e", started_ms=1):
    return fleet.Endpoint(
        ids.EndpointId(name),
        "s",
        "10.0.0.1:80",
        "fd",
        4,
        fleet.EndpointState.READY,
        started_ms=started_ms,
    )


def test_a_later_statement_does_not_move_the_deadline():
    """Otherwise an endpoint that says so in each response is used for ever."""
    table = fleet.DepartureTable()
    endpoint = make_endpoint()
    assert table.record(endpoint, clocks.Deadline(2.0), 0.0)
    assert not table.record(endpoint, clocks.Deadline(9.0), 7.0)
    assert table.may_send(endpoint.incarnation, 1.9)
    assert not table.may_send(endpoint.incarnation, 2.0)


def test_an_endpoint_that_started_again_is_another_one():
    table = fleet.DepartureTable()
    table.record(make_endpoint(), clocks.Deadline(2.0), 0.0)
    restarted = make_endpoint(started_ms=2)
    assert not table.is_leaving(restarted.incarnation)
    assert table.may_send(restarted.incarnation, 9.0)


def test_an_endpoint_whose_registration_comes_back_is_still_leaving():
    """The store may drop a registration in an outage and have it again."""
    table = fleet.DepartureTable()
    endpoint = make_endpoint()
    table.record(endpoint, clocks.Deadline(2.0), 0.0)
    table.forget_old(fleet.Registry(), 30.0)
    assert not table.may_send(endpoint.incarnation, 30.0)


def test_a_registered_endpoint_is_never_forgotten():
    table = fleet.DepartureTable()
    endpoint = make_endpoint()
    registry = fleet.Registry()
    registry.put(endpoint)
    table.record(endpoint, clocks.Deadline(2.0), 0.0)
    table.forget_old(registry, 50_000.0)
    assert not table.may_send(endpoint.incarnation, 50_000.0)


def test_endpoints_that_are_gone_or_replaced_are_forgotten_in_the_end():
    table = fleet.DepartureTable()
    registry = fleet.Registry()
    registry.put(make_endpoint("restarted", started_ms=2))
    for name in ("gone", "restarted"):
        table.record(make_endpoint(name), clocks.Deadline(2.0), 0.0)
    table.forget_old(registry, 5_000.0)
    assert len(table) == 0


# An endpoint started again, said at once that it leaves, and only then was its
# entry read: the time in which it may be used began anew.
def test_a_statement_before_the_new_incarnation_is_known_counts_if_repeated():
    table = fleet.DepartureTable()
    former, current = make_endpoint(), make_endpoint(started_ms=2)
    table.record(former, clocks.Deadline(2.0), 0.0)
    table.carry_over(former, current, since=-1.0)
    assert not table.is_leaving(current.incarnation)
    table.record(current, clocks.Deadline(3.0), 1.0)
    assert table.may_send(current.incarnation, 1.9)
    assert not table.may_send(current.incarnation, 2.0)


def test_an_old_statement_of_the_former_incarnation_is_not_carried_over():
    table = fleet.DepartureTable()
    former, current = make_endpoint(), make_endpoint(started_ms=2)
    table.record(former, clocks.Deadline(2.0), 0.0)
    table.carry_over(former, current, since=1.0)
    table.record(current, clocks.Deadline(9.0), 7.0)
    assert table.may_send(current.incarnation, 8.0)
