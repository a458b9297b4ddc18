"""Holds what the overload control of a gateway knows of each service."""

import asyncio
import dataclasses

from sardinewharf import clocks
from sardinewharf import overload
from sardinewharf.gateway import requests

# Weight of the latest request in the mean time that requests take at engines,
# and in the mean deviation from it.
_TIME_WEIGHT = 0.1
# A request is expected to take the mean time and this many mean deviations more
# (after Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988).
_DEVIATIONS = 2.0
# Largest shares of the time to its target latency and to its deadline that a
# request is expected to take at an engine. It may take longer, but a measured
# time that is too long must not refuse requests that could be served.
_MAX_TARGET_SHARE = 0.75
_MAX_DEADLINE_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class Hold:
    """A call that waits.

    Attributes:
        call: The call.
        released: Resolves when it waits no longer; fails if it is refused.
    """

    call: requests.Call
    released: asyncio.Future[None]


class ServiceState:
    """What is known of one service, and its waiting requests."""

    def __init__(self) -> None:
        self.queue = overload.WaitingQueue()
        self.holds: dict[overload.Waiting, Hold] = {}
        self.credit = overload.SendCredit()
        self.demand = overload.RankDemand()
        self.sent = overload.DrainRate()
        self.ended = overload.DrainRate()
        # Mean time at an engine and mean deviation, of long requests and of
        # others, in seconds.
        self._times_s: dict[bool, tuple[float, float]] = {}
        self.room: overload.ServiceRoom | None = None
        self.room_read_at = float("-inf")
        # Requests that may be sent, but whose engine is not chosen yet.
        self.sent_since = 0
        self.task: asyncio.Task[None] | None = None

    def read_drain(self, now: float) -> overload.Drain | None:
        """Returns the rate at which waiting requests are sent; None: unknown.

        Those past their target latency get a share of the places of requests
        that end, so that it is at least that.
        """
        sent = self.sent.read(now)
        ended = self.ended.read(now)
        if sent is None or ended is None:
            return sent
        aged = overload.AGED_SHARE
        return overload.Drain(
            max(sent.requests_per_s, aged * ended.requests_per_s),
            max(sent.work_per_s, aged * ended.work_per_s),
        )

    def find_need(self, waiting: overload.Waiting, now: float) -> overload.Need:
        """Returns the room without which a request is not sent.

        Past its target latency it is a free slot: engines keep nothing for
        others, and the memory that requests share is not known.
        """
        if waiting.target_by.is_past(now) or self.room is None:
            return overload.Need(0, overload.Reserve())
        engine = self.room.engines[0]
        reserve = self.demand.read_reserve(
            waiting.rank, engine.slots, engine.capacity_tokens, now
        )
        return overload.Need(waiting.work, reserve)

    def count_places(self, now: float) -> int:
        """Returns the places for requests like the first one that waits."""
        need = overload.Need(0, overload.Reserve())
        if len(self.queue):
            need = self.find_need(self.queue.list_in_order(now)[0], now)
        return self.room.count_places(need.tokens, need.reserve)

    def update_limits(self) -> None:
        """Sets the limits of all waiting requests by the times measured."""
        for waiting, hold in self.holds.items():
            expected_s = self.read_time(waiting.is_long)
            if expected_s is not None:
                limits = find_limits(hold.call, expected_s)
                waiting.target_by = limits.target_by
                waiting.latest = limits.latest

    def record_time(self, is_long: bool, took_s: float) -> None:
        """Records how long a request was at an engine."""
        mean, deviation = self._times_s.get(is_long, (took_s, took_s / 2))
        deviation += _TIME_WEIGHT * (abs(took_s - mean) - deviation)
        mean += _TIME_WEIGHT * (took_s - mean)
        self._times_s[is_long] = (mean, deviation)

    def read_time(self, is_long: bool) -> float | None:
        """Returns the time that nearly all requests take; None if unknown."""
        if is_long not in self._times_s:
            return None
        mean, deviation = self._times_s[is_long]
        return mean + _DEVIATIONS * deviation


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Until when a request has to be sent.

    Attributes:
        target_by: To meet its target latency.
        latest: To meet its deadline.
    """

    target_by: clocks.Deadline
    latest: clocks.Deadline


def find_limits(call: requests.Call, expected_s: float) -> Limits:
    """Returns until when a request has to be sent.

    Args:
        call: The request.
        expected_s: Time that it is expected to take at an engine, in seconds.
    """
    arrived = call.request.arrived
    target_s = call.admitted.route.target_ms / 1000
    left_s = call.deadline.remaining(arrived)
    target_wait_s = target_s - min(expected_s, _MAX_TARGET_SHARE * target_s)
    wait_s = left_s - min(expected_s, _MAX_DEADLINE_SHARE * left_s)
    return Limits(
        clocks.Deadline(arrived + target_wait_s),
        clocks.Deadline(arrived + wait_s),
    )
