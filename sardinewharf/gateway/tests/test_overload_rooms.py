"""Tests what a gateway takes for the room at engines."""

import types

import pytest

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf.gateway import overload_rooms
from sardinewharf.gateway import tables

SPEC = catalog.EngineSpec(8, 100_000, 1, 1.0, ("m",), 1)
CALL = types.SimpleNamespace(service="engines")
ENGINES = [
    types.SimpleNamespace(id=ids.EndpointId(name)) for name in ("e0", "e1")
]


def make_reader(loads, gateways, engines=ENGINES):
    return overload_rooms.RoomReader(
        types.SimpleNamespace(members=dict.fromkeys(range(gateways))),
        loads,
        types.SimpleNamespace(list_engines=lambda call, now: engines),
        tables.EstimatorTable(),
    )


@pytest.mark.parametrize(
    ("pattern", "gateways", "reports_at", "is_known"),
    [
        ("the only gateway", 1, [], True),
        ("no report yet", 5, [], False),
        ("half of the others report", 5, [9.5, 9.5], True),
        ("reports are old", 5, [8.0, 8.0, 8.0, 9.5], False),
    ],
)
def test_room_is_known_by_recent_reports(
    pattern, gateways, reports_at, is_known
):
    """Guards against requests that wait by loads that are out of date."""
    loads = fleet.LoadTable()
    for index, at in enumerate(reports_at):
        loads.merge_peer(f"vm-{index}", {}, at)
    room = make_reader(loads, gateways).read(CALL, SPEC, now=10.0)
    assert (room is not None) == is_known, pattern


def test_room_is_unknown_without_engines():
    """Guards against requests that wait for engines that are gone."""
    reader = make_reader(fleet.LoadTable(), 1, engines=[])
    assert reader.read(CALL, SPEC, now=10.0) is None


def test_room_counts_the_requests_of_all_gateways():
    """Guards against places that others have taken."""
    loads = fleet.LoadTable()
    ended = []
    loads.on_end = lambda endpoint_id, tokens, _: ended.append(
        (endpoint_id, tokens)
    )
    request = loads.begin(ids.EndpointId("e0"), held_tokens=500)
    loads.merge_peer(
        "vm-1", {ids.EndpointId("e1"): fleet.EndpointLoad(running=3)}, 9.5
    )
    reader = make_reader(loads, 2)
    room = reader.read(CALL, SPEC, now=10.0)
    assert (room.slots, room.running) == (16, 4)
    assert reader.compute_share(room, waiting=9) == pytest.approx(0.5 * 3 / 7)
    request.end()
    request.end()
    assert ended == [("e0", 500)]
    assert reader.read(CALL, SPEC, now=10.0).running == 3
