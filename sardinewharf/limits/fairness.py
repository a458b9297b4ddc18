"""Shares a daemon's slots between organisations by weight and priority.

References:
    Goyal, Vin and Cheng, "Start-Time Fair Queueing", IEEE/ACM Transactions
    on Networking 5 (5), 1997.
"""

import asyncio
import collections
import dataclasses

from sardinewharf import clocks


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A queued request.

    Attributes:
        organisation: Name of the organisation that sent it.
        priority: Its priority; higher ones go first.
        slot: Resolves to whether the request may run.
    """

    organisation: str
    priority: int
    slot: asyncio.Future[bool]


class _Queue:
    """Queued requests of one organisation and priority, oldest first."""

    def __init__(self, weight: float):
        self.weight = weight
        self.waiters: collections.deque[Waiter] = collections.deque()

    @property
    def weighted_length(self) -> float:
        """Length of the queue relative to the organisation's weight."""
        return len(self.waiters) / self.weight


class FairGate:
    """Lets a bounded number of requests run concurrently.

    Each organisation's virtual time advances by the inverse of its weight with
    each of its requests that starts. Among the queued requests of the highest
    priority, the organisation whose virtual time is lowest is next.

    Args:
        slots: Maximum number of requests that run concurrently.
        queue_limit: Maximum number of queued requests.
    """

    def __init__(self, slots: int, queue_limit: int):
        self._free_slots = slots
        self._slots = slots
        self._queue_limit = queue_limit
        self._queues: dict[int, dict[str, _Queue]] = {}
        self._waiting = 0
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return self._slots - self._free_slots

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return self._waiting

    async def enter(
        self,
        organisation: str,
        weight: float,
        priority: int,
        deadline: clocks.Deadline,
    ) -> bool:
        """Waits for a slot.

        Args:
            organisation: Name of the organisation.
            weight: Its share of the slots relative to other organisations.
            priority: Priority of the request; higher ones go first.
            deadline: When to stop waiting.

        Returns:
            Whether the request may run; False if the queue is full or no slot
            became free in time.
        """
        if self._free_slots > 0 and not self._waiting:
            self._free_slots -= 1
            self._record_start(organisation, weight)
            return True
        if self._waiting >= self._queue_limit and not self._evict_newest(
            organisation, weight, priority
        ):
            return False
        loop = asyncio.get_running_loop()
        waiter = Waiter(organisation, priority, loop.create_future())
        self._add(waiter, weight)
        try:
            return await asyncio.wait_for(
                asyncio.shield(waiter.slot), deadline.remaining()
            )
        except TimeoutError:
            return self._cancel(waiter)
        except asyncio.CancelledError:
            if self._cancel(waiter):
                self.leave()
            raise

    def leave(self) -> None:
        """Releases the slot of a request that has ended.

        The slot goes to the next queued request, if there is one.
        """
        if not self._waiting:
            self._free_slots += 1
            return
        queues = self._queues[max(self._queues)]
        organisation = min(queues, key=self._compute_start_tag)
        queue = queues[organisation]
        waiter = queue.waiters[0]
        self._remove(waiter)
        self._record_start(organisation, queue.weight)
        waiter.slot.set_result(True)

    def _compute_start_tag(self, organisation: str) -> float:
        """Returns the virtual start time of an organisation's next request."""
        return max(self._virtual_time, self._finish_tags.get(organisation, 0.0))

    def _record_start(self, organisation: str, weight: float) -> None:
        """Advances the virtual time of the gate and of an organisation."""
        start = self._compute_start_tag(organisation)
        self._virtual_time = start
        self._finish_tags[organisation] = start + 1.0 / weight
        if len(self._finish_tags) > 4 * (self._slots + self._queue_limit):
            self._forget_idle()

    def _forget_idle(self) -> None:
        """Drops finish tags that no longer delay their organisations."""
        self._finish_tags = {
            name: finish_tag
            for name, finish_tag in self._finish_tags.items()
            if finish_tag > self._virtual_time
        }

    def _add(self, waiter: Waiter, weight: float) -> None:
        queues = self._queues.setdefault(waiter.priority, {})
        queue = queues.setdefault(waiter.organisation, _Queue(weight))
        queue.weight = weight
        queue.waiters.append(waiter)
        self._waiting += 1

    def _remove(self, waiter: Waiter) -> None:
        queues = self._queues[waiter.priority]
        queue = queues[waiter.organisation]
        queue.waiters.remove(waiter)
        self._waiting -= 1
        if not queue.waiters:
            del queues[waiter.organisation]
        if not queues:
            del self._queues[waiter.priority]

    def _evict_newest(
        self, organisation: str, weight: float, priority: int
    ) -> bool:
        """Refuses the newest request of the longest queue to make room.

        Only queues of the lowest priority are considered. At equal priority a
        request is refused only if its queue, relative to its organisation's
        weight, is longer than the new request's queue would become.

        Returns:
            Whether a request was refused.
        """
        lowest = min(self._queues, default=priority)
        if lowest > priority or not self._queues:
            return False
        queues = self._queues[lowest]
        longest = max(queues, key=lambda name: queues[name].weighted_length)
        if lowest == priority:
            own = queues.get(organisation)
            length = len(own.waiters) if own else 0
            if (length + 1) / weight >= queues[longest].weighted_length:
                return False
        waiter = queues[longest].waiters[-1]
        self._remove(waiter)
        waiter.slot.set_result(False)
        return True

    def _cancel(self, waiter: Waiter) -> bool:
        """Stops waiting; returns whether the request already had a slot."""
        if waiter.slot.done():
            return waiter.slot.result()
        self._remove(waiter)
        waiter.slot.cancel()
        return False
