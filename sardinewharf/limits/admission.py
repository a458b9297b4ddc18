"""Admits requests, or refuses them before they run."""

import collections
import dataclasses

from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import outcomes
from sardinewharf.limits import buckets
from sardinewharf.limits import fairness

_MAX_BUCKETS = 50_000
_BURST_SECONDS = 2.0
_OVERLOAD_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits on the requests of a daemon.

    Attributes:
        slots: Maximum number of requests that run concurrently.
        queue_limit: Maximum number of queued requests.
        queue_seconds: Maximum wait for a slot.
    """

    slots: int = 512
    queue_limit: int = 512
    queue_seconds: float = 5.0


class Admission:
    """Checks rate and concurrency limits, then queues fairly for a slot.

    Attributes:
        gate: Shares the slots between organisations.
        daemons: Number of live daemons, which share each rate limit equally.
    """

    def __init__(self, settings: AdmissionSettings):
        self._settings = settings
        self.gate = fairness.FairGate(settings.slots, settings.queue_limit)
        self._buckets: collections.OrderedDict[str, buckets.TokenBucket] = (
            collections.OrderedDict()
        )
        self._running = collections.Counter[str]()
        self.daemons = 1

    async def enter(
        self,
        organisation: configuration.Organisation,
        priority: int,
        deadline: clocks.Deadline,
    ) -> None:
        """Waits for a slot; each successful call needs one of ``leave``.

        Raises:
            RequestError: If the request is refused; it has not run.
        """
        name = organisation.name
        if self._running[name] >= organisation.concurrent_requests:
            raise outcomes.refuse(
                outcomes.RefusalKind.RATE_LIMITED,
                f"{name!r} has {organisation.concurrent_requests} requests"
                " running at this daemon.",
                retry_after=_OVERLOAD_RETRY_S,
            )
        self._take_token(organisation)
        self._running[name] += 1
        queue_deadline = clocks.Deadline.after(self._settings.queue_seconds)
        entered = False
        try:
            entered = await self.gate.enter(
                name,
                organisation.weight,
                priority,
                deadline.earlier(queue_deadline),
            )
        finally:
            if not entered:
                self._decrement_running(name)
        if not entered:
            raise outcomes.refuse(
                outcomes.RefusalKind.OVERLOADED,
                "No slot became free in time.",
                retry_after=_OVERLOAD_RETRY_S,
            )

    def leave(self, organisation: configuration.Organisation) -> None:
        """Releases the slot of a request that has ended."""
        self._decrement_running(organisation.name)
        self.gate.leave()

    def _decrement_running(self, name: str) -> None:
        self._running[name] -= 1
        if not self._running[name]:
            del self._running[name]

    def _take_token(self, organisation: configuration.Organisation) -> None:
        """Counts a request against its organisation's rate limit.

        Raises:
            RequestError: If the rate limit is exceeded.
        """
        if not organisation.requests_per_second:
            return
        now = clocks.read_monotonic()
        rate = organisation.requests_per_second / max(1, self.daemons)
        bucket = self._buckets.get(organisation.name)
        if bucket is None or bucket.rate != rate:
            burst = max(1.0, rate * _BURST_SECONDS)
            bucket = buckets.TokenBucket(rate, burst, now)
            self._buckets[organisation.name] = bucket
        self._buckets.move_to_end(organisation.name)
        if len(self._buckets) > _MAX_BUCKETS:
            self._buckets.popitem(last=False)
        wait = bucket.take(now)
        if wait:
            raise outcomes.refuse(
                outcomes.RefusalKind.RATE_LIMITED,
                f"{organisation.name!r} is above its"
                f" {organisation.requests_per_second:g} requests a second.",
                retry_after=wait,
            )
