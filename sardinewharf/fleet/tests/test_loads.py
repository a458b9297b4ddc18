"""Tests how a gateway estimates load from the reports of its peers.

The load pattern: 85 gateways share 30 engines. Each has one or two prompts at
an engine and reports every two seconds, and the engine's queue holds the
prompts of all of them.
"""

from sardinewharf import fleet
from sardinewharf import ids

ENGINE = ids.EndpointId("e1")
TOKENS = 17_000
TOKENS_PER_MS = 50.0


def make_table(peers, at=0.0):
    table = fleet.LoadTable()
    for number in range(peers):
        load = fleet.EndpointLoad(1, TOKENS, TOKENS)
        table.merge_peer(f"vm-{number}", {ENGINE: load}, now=at)
    return table


def test_an_engine_prefills_the_prompts_of_many_peers_in_turn():
    """Each peer's load must shrink at the rate of the whole queue.

    It once shrank as if the engine prefilled that peer's prompts alone.
    """
    table = make_table(peers=20)
    prefilled = TOKENS_PER_MS * 500
    remaining = table.read(ENGINE, 0.5, TOKENS_PER_MS).prompt_tokens
    assert abs(remaining - (20 * TOKENS - prefilled)) < 20
    assert table.read(ENGINE, 2.5, TOKENS_PER_MS).prompt_tokens > 10 * TOKENS


def test_a_single_prompt_is_prefilled_in_its_time():
    table = make_table(peers=1)
    assert table.read(ENGINE, 0.5, TOKENS_PER_MS).prompt_tokens == 0


def test_peers_that_report_every_two_seconds_count():
    table = make_table(peers=10)
    assert table.read(ENGINE, now=2.0).running == 10
    assert table.read(ENGINE, now=3.5).running == 0


def test_a_peer_is_counted_by_its_last_report():
    table = make_table(peers=2)
    table.merge_peer("vm-0", {}, now=0.1)
    assert table.read(ENGINE, now=0.1).running == 1
