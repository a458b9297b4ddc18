"""Tests how gateways that know little of each other divide free places.

Each gateway knows its own requests, and those of others as of their last
report, which is up to a second old.
"""

import random

import pytest

from sardinewharf import overload

SLOTS = 960
REQUEST_S = 1.0
TICK_S = 0.05
REPORT_TICKS = 20


class Gateway:
    """A gateway with requests of one kind.

    Args:
        arrivals_per_s: Requests that callers send.
    """

    def __init__(self, arrivals_per_s: float, rng: random.Random):
        self.arrivals_per_tick = arrivals_per_s * TICK_S
        self.credit = overload.SendCredit(rng.random())
        self.waiting = 0.0
        self.ends_at: list[int] = []
        self.reported = 0
        self.report_phase = rng.randrange(REPORT_TICKS)

    def step(self, tick: int, others: int, gateways: int) -> None:
        """Ends and sends requests."""
        self.waiting += self.arrivals_per_tick
        running = [at for at in self.ends_at if at > tick]
        for _ in range(len(self.ends_at) - len(running)):
            self.credit.record_end()
        self.ends_at = running
        places = max(0, SLOTS - len(running) - others)
        share = overload.compute_share(
            len(running), int(self.waiting), len(running) + others, gateways
        )
        self.credit.refill(places, share, tick * TICK_S)
        while places and self.waiting >= 1 and self.credit.take():
            places -= 1
            self.waiting -= 1
            self.ends_at.append(tick + round(REQUEST_S / TICK_S))
        if tick % REPORT_TICKS == self.report_phase:
            self.reported = len(self.ends_at)


def run(arrivals_per_s, seconds):
    """Returns the number of running requests at the end of each tick."""
    rng = random.Random(1)
    gateways = [Gateway(rate, rng) for rate in arrivals_per_s]
    running = []
    for tick in range(round(seconds / TICK_S)):
        reported = sum(g.reported for g in gateways)
        for gateway in gateways:
            gateway.step(tick, reported - gateway.reported, len(gateways))
        running.append(sum(len(g.ends_at) for g in gateways))
    return running


@pytest.mark.parametrize(
    ("pattern", "arrivals_per_s"),
    [
        ("one gateway", [2_000]),
        ("all gateways alike", [32] * 60),
        ("a third of them with most requests", [80] * 20 + [8] * 40),
        ("few of them with all requests", [400] * 5 + [0] * 55),
        ("a tenth more than the engines can run", [17.6] * 60),
    ],
)
def test_places_are_filled_once(pattern, arrivals_per_s):
    """Guards against engines that are overfilled, or idle while requests wait.

    Callers send twice as many requests as the engines can run, but in one case,
    and begin while the engines are idle.
    """
    running = run(arrivals_per_s, seconds=12)
    settled = running[round(6 / TICK_S) :]
    mean = sum(settled) / len(settled)
    assert max(running) <= 1.3 * SLOTS, pattern
    assert mean >= 0.95 * SLOTS, pattern
    assert max(settled) <= 1.05 * SLOTS, pattern
