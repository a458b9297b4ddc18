"""Tests what a gateway makes of the work that its peers tell of.

The load pattern: 85 gateways share 30 engines. Each has one prompt or two at an
engine and is heard every two seconds, and the line there is that of them all.
"""

from sardinewharf import fleet
from sardinewharf import ids

ENGINE = ids.EndpointId("e1")
TOKENS = 17_000


def make_table(peers, at=0.0):
    table = fleet.LoadTable()
    for number in range(peers):
        load = fleet.EndpointLoad(1, TOKENS, TOKENS)
        table.merge_peer(f"vm-{number}", {ENGINE: load}, now=at)
    return table


def test_an_engine_reads_the_prompts_of_many_peers_one_after_the_other():
    """Each peer's prompt once shrank as if the engine read for it alone."""
    table = make_table(peers=20)
    read = fleet.PREFILL_TOKENS_PER_MS * 500
    left = table.read(ENGINE, now=0.5).prompt_tokens
    assert abs(left - (20 * TOKENS - read)) < 20
    assert table.read(ENGINE, now=2.5).prompt_tokens > 10 * TOKENS


def test_a_single_prompt_is_read_in_its_time():
    table = make_table(peers=1)
    assert table.read(ENGINE, now=0.5).prompt_tokens == 0


def test_peers_that_are_heard_every_two_seconds_count():
    table = make_table(peers=10)
    assert table.read(ENGINE, now=2.0).running == 10
    assert table.read(ENGINE, now=3.5).running == 0


def test_a_peer_is_counted_by_what_it_told_last():
    table = make_table(peers=2)
    table.merge_peer("vm-0", {}, now=0.1)
    assert table.read(ENGINE, now=0.1).running == 1
