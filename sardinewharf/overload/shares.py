"""Divides the free places of engines between gateways.

The load pattern: tens of gateways have requests that wait, and what they know
of each other's requests is up to a second old. If each of them sent as many as
it sees places, the places would be filled many times. If each sent only its
equal share, places would stay free while requests wait.

A gateway may send one waiting request for each of its own requests that ends,
since no other gateway knows of that place yet. Of the places that it sees free
it also takes its share, spread over a time in which the others learn of it.
Once the places are filled, a place is taken again as soon as it is free.

Examples:
    >>> credit = SendCredit(start=0.0)
    >>> credit.refill(places=2, share=1.0, now=0.0)
    >>> [credit.take() for _ in range(3)]
    [True, True, False]
    >>> credit.record_end()
    >>> credit.take(), credit.take()
    (True, False)

References:
    Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988: a new packet is
    sent when an old one has left the network.
"""

import random

# Time over which the share of the free places is sent, in seconds. It is longer
# than the age of the peers' reports, up to 1 s: gateways that do not know of
# each other's requests yet would fill idle engines beyond their slots.
_FILL_S = 1.5
# Longest time for which the share is sent at once, in seconds.
_MAX_REFILL_S = 0.25
# Share of the places of requests that end which goes to requests that have
# waited beyond their target latency, whatever is known of the engines' room. It
# keeps a rank from starving while more urgent ones fill the engines.
AGED_SHARE = 0.125
# Most requests that are sent at once by this share.
_MAX_AGED_CREDIT = 2.0


class SendCredit:
    """Number of waiting requests that this gateway may send now.

    Args:
        start: Credit at the start; a random fraction of a request by default,
            so that gateways with a small share do not send together.
    """

    def __init__(self, start: float | None = None):
        self._credit = random.random() if start is None else start
        self._aged_credit = 0.0
        # Requests that have ended since the last refill.
        self._ends = 0
        self._refilled_at = float("-inf")

    def refill(self, places: int, share: float, now: float) -> None:
        """Adds this gateway's share of the free places.

        Args:
            places: Free places, as far as known.
            share: This gateway's share of them.
            now: The present time, on the monotonic clock.
        """
        elapsed_s = min(_MAX_REFILL_S, now - self._refilled_at)
        self._refilled_at = now
        full = share * places
        # A gateway with all requests knows all of them.
        fill_s = _FILL_S * (1.0 - share)
        part = min(1.0, elapsed_s / fill_s) if fill_s > 0.0 else 1.0
        self._credit = min(
            max(1.0, full) + self._ends, self._credit + full * part
        )
        self._ends = 0

    def record_end(self) -> None:
        """Records that a request of this gateway has ended at an engine."""
        self._credit += 1.0
        self._ends += 1
        self._aged_credit = min(
            _MAX_AGED_CREDIT, self._aged_credit + AGED_SHARE
        )

    def take(self) -> bool:
        """Returns whether a request may be sent to a place that is free."""
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def take_aged(self) -> bool:
        """Returns whether a request past its target latency may be sent."""
        if self._aged_credit < 1.0:
            return False
        self._aged_credit -= 1.0
        return True


def compute_share(
    own_running: int, own_waiting: int, running: int, gateways: int
) -> float:
    """Returns this gateway's share of the free places.

    It is about the gateway's share of all requests. Of those of others only the
    ones at engines are known. Own waiting requests count up to the same number
    as own ones at engines, and the result is halved: the shares of all gateways
    add up to about one.

    Args:
        own_running: Requests of this gateway at the engines.
        own_waiting: Requests that wait here.
        running: Requests of all gateways at the engines.
        gateways: Number of gateways.

    Examples:
        >>> round(compute_share(10, 20, 600, 60), 3)
        0.016
        >>> compute_share(0, 5, 0, 1)
        1.0
    """
    if gateways <= 1:
        return 1.0
    own = own_running + min(own_waiting, own_running + 1)
    others = max(0, running - own_running) + gateways - 1
    return 0.5 * own / (own + others)
