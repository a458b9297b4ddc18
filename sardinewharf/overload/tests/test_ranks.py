"""Tests how engine priorities are derived from the configured ones."""

import pytest

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import overload

SERVICE = "engines"
SPLIT = balancing.EngineEstimates().split
SHORT, MEDIUM, LONG = 300, 2_000, 17_000


def make_route(name, priority, service=SERVICE, is_public=False):
    return catalog.Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=catalog.RouteKind.STREAM,
        timeout_ms=6_000,
        target_ms=1_000,
        priority=priority,
        splits=(catalog.Split(service, 1.0),),
        is_public=is_public,
    )


def make_configuration(route_priorities, organisation_priorities):
    """Returns a configuration with each of the given priorities."""
    return catalog.Configuration(
        version=1,
        routes=(
            *(make_route(f"r{p}", p) for p in route_priorities),
            make_route("elsewhere", 99, service="other"),
        ),
        organisations=tuple(
            catalog.Organisation(f"o{p}", (f"k{p}",), p)
            for p in organisation_priorities
        ),
    )


def list_priorities(configuration, tokens):
    """Returns the engine priorities of all pairs, in the order of pairs."""
    ranks = overload.RankTable().find(configuration, SERVICE)
    return [ranks.choose_priority(p, tokens, SPLIT) for p in ranks.pairs]


@pytest.mark.parametrize(
    ("pattern", "routes", "organisations", "short", "medium", "long"),
    [
        # Without the route's priority, the long prompts of route 0 would be
        # queued behind the short ones of route 2.
        ("one level of organisations", [0, 2], [1], [0, 3], [1, 4], [2, 5]),
        ("routes only", [0, 1, 2], [], [0, 3, 6], [1, 4, 7], [2, 5, 8]),
        ("one pair", [4], [7], [0], [1], [2]),
        (
            "four pairs",
            [0, 2],
            [0, 1],
            [0, 2, 5, 7],
            [0, 3, 5, 8],
            [1, 4, 6, 9],
        ),
        (
            "as many pairs as priorities",
            range(5),
            [0, 1],
            list(range(10)),
            list(range(10)),
            list(range(10)),
        ),
        (
            "more pairs than priorities",
            range(6),
            [0, 1],
            [0, 0, 1, 2, 3, 4, 5, 5, 6, 7, 8, 9],
            [0, 0, 1, 2, 3, 4, 5, 5, 6, 7, 8, 9],
            [0, 0, 1, 2, 3, 4, 5, 5, 6, 7, 8, 9],
        ),
    ],
)
def test_priorities_keep_the_order_of_the_pairs(
    pattern, routes, organisations, short, medium, long
):
    configuration = make_configuration(routes, organisations)
    assert list_priorities(configuration, SHORT) == short, pattern
    assert list_priorities(configuration, MEDIUM) == medium, pattern
    assert list_priorities(configuration, LONG) == long, pattern


def test_an_organisation_without_priority_has_that_of_its_route():
    """Guards against ranks that differ from the priorities without ranks."""
    configuration = make_configuration([0, 2], [None, 1])
    ranks = overload.RankTable().find(configuration, SERVICE)
    assert ranks.pairs == (
        overload.PriorityPair(0, 0),
        overload.PriorityPair(1, 0),
        overload.PriorityPair(1, 2),
        overload.PriorityPair(2, 2),
    )


def test_public_routes_have_one_pair_each():
    """Guards against priorities that are kept for pairs without requests."""
    route = make_route("open", 3, is_public=True)
    configuration = catalog.Configuration(
        1, (route,), organisations=(catalog.Organisation("o", ("k",), 1),)
    )
    ranks = overload.RankTable().find(configuration, SERVICE)
    assert ranks.pairs == (overload.make_pair(route, None),)


def test_a_pair_that_was_removed_is_ranked_among_the_others():
    """Guards against a request that is refused since its route was changed."""
    ranks = overload.Ranks(
        (overload.PriorityPair(1, 0), overload.PriorityPair(1, 2))
    )
    removed = [overload.PriorityPair(1, p) for p in (-1, 1, 9)]
    assert [ranks.find_rank(pair) for pair in removed] == [0, 1, 1]
    assert overload.Ranks(()).choose_priority(removed[0], LONG, SPLIT) == 2


def test_a_new_configuration_has_new_ranks():
    """Guards against ranks of an earlier version of the configuration."""
    table = overload.RankTable()
    before = table.find(make_configuration([0], [1]), SERVICE)
    after = table.find(make_configuration([0, 2], [1]), SERVICE)
    assert (len(before.pairs), len(after.pairs)) == (1, 2)
