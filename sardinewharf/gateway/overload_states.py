"""Holds what the overload control of a gateway knows of each service."""

import asyncio
import dataclasses

from sardinewharf import overload
from sardinewharf.gateway import requests

# Weight of the latest request in the mean time that requests take at engines.
_TIME_WEIGHT = 0.1


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
        # Mean time at an engine of long requests and of others, in seconds.
        self.times_s: dict[bool, float] = {}
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

    def record_time(self, is_long: bool, took_s: float) -> None:
        """Records how long a request was at an engine."""
        mean = self.times_s.get(is_long, took_s)
        self.times_s[is_long] = mean + _TIME_WEIGHT * (took_s - mean)
