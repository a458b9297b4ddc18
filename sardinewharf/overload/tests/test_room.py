"""Tests the room of engines, by load pattern."""

import pytest

from sardinewharf import fleet
from sardinewharf import overload

SLOTS = 8
CAPACITY = 100_000


def make_room(*loads):
    """Returns the room of engines with (running, held tokens) each."""
    return overload.ServiceRoom(
        tuple(
            overload.EngineRoom(
                f"e{i}",
                SLOTS,
                CAPACITY,
                fleet.EndpointLoad(running=running, held_tokens=held),
            )
            for i, (running, held) in enumerate(loads)
        )
    )


@pytest.mark.parametrize(
    ("pattern", "loads", "tokens", "reserve", "places"),
    [
        ("idle", [(0, 0), (0, 0)], 400, (0, 0), 16),
        ("slots are taken", [(8, 3_200), (7, 2_800)], 400, (0, 0), 1),
        ("the last slot is reserved", [(8, 0), (7, 0)], 400, (1, 0), 0),
        ("one engine is overfull", [(20, 0), (4, 0)], 400, (0, 0), 4),
        ("long prompts take the memory", [(5, 85_000)], 17_000, (0, 0), 0),
        ("short ones fit beside them", [(5, 85_000)], 400, (0, 0), 3),
        ("memory is reserved", [(5, 80_000)], 400, (1, 17_000), 0),
        ("past the target, memory is left out", [(5, 99_000)], 0, (0, 0), 3),
        ("a prompt as large as an engine", [(0, 0)], 99_000, (2, 17_000), 1),
    ],
)
def test_places(pattern, loads, tokens, reserve, places):
    """Guards against requests that are sent to engines without room."""
    room = make_room(*loads)
    found = room.count_places(tokens, overload.Reserve(*reserve))
    assert found == places, pattern


def test_room_is_kept_for_more_urgent_ranks_that_send():
    """Guards against slots that are kept for ranks without requests."""
    demand = overload.RankDemand()
    demand.record(0, 17_000, now=0.0)
    demand.record(1, 400, now=8.0)
    for rank, now, expected in [
        (0, 9.0, (0, 0)),
        (1, 9.0, (1, 17_000)),
        (2, 9.0, (2, 17_000)),
        (2, 15.0, (1, 400)),
        (2, 20.0, (0, 0)),
    ]:
        found = demand.read_reserve(rank, SLOTS, CAPACITY, now)
        assert found == overload.Reserve(*expected), (rank, now)


def test_a_request_that_ends_leaves_its_place():
    room = make_room((8, 8_000), (8, 8_000)).remove_request("e1", 1_000)
    assert room.list_places(400, overload.Reserve()) == {"e1": 1}
    assert (room.slots, room.running, room.taken) == (16, 15, 15)


@pytest.mark.parametrize(
    ("pattern", "held", "tokens", "has_share"),
    [
        # Six of them fill an engine: one place is an eighth of that.
        ("few long prompts fit beside others", 65_000, 15_000, True),
        ("no long prompt fits", 80_000, 15_000, False),
        ("short prompts fit in the same memory", 80_000, 400, True),
    ],
)
def test_the_share_of_free_places_is_that_for_the_size(
    pattern, held, tokens, has_share
):
    """Guards against long prompts that wait since few fit in any case."""
    room = make_room((4, held), (4, held))
    need = overload.Need(tokens, overload.Reserve())
    assert room.has_share(0.125, need, taken=0) == has_share, pattern
    assert not room.has_share(0.125, need, taken=8), pattern
