"""Orders the requests that wait for room, and finds those to refuse.

The load pattern: callers send more than the engines can run. Sending all of it
makes all late; those that are refused late have waited for nothing.

- Ranks are strict: a less urgent request goes after all more urgent ones. Each
  eighth request that is sent is one that has waited beyond its target latency,
  if there is one, so that no rank starves.
- Within a rank, organisations share the engines by the work of their requests.
- Of an organisation, the request that has to be sent first to meet its deadline
  goes first, then the one with the least work.
- If the rate at which requests are sent does not suffice for all to meet their
  deadlines, the organisation with the most waiting work of the rank that would
  be late loses the request with the most work for its time left.
- A burst may wait until its deadlines. While some requests have been past their
  target latency for a second, callers send more than is sent: a queue that goes
  on would make all late and serve no more of them. Then those are refused, too,
  that would be sent past their target latency.

References:
    Goyal, Vin and Cheng, "Start-Time Fair Queueing", IEEE/ACM Transactions
    on Networking 5 (5), 1997.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from sardinewharf import clocks
from sardinewharf.overload import drain as drain_lib

# One of so many requests that are sent is one past its target latency.
_AGED_TURN = 8
# Waits are estimates: one is too long if it exceeds the time left by this
# factor.
_WAIT_ERROR_FACTOR = 1.2
# Requests past their target latency for this long are no burst, in seconds.
_BURST_S = 1.0
# Long prompts of a rank are refused in place of others only while they are sent
# at least this often, relative to the others.
_MIN_LONG_SHARE = 0.75
# Weight of each earlier request in the shares that were sent.
_SHARE_DECAY = 0.99


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """A request that waits for room.

    Attributes:
        rank: Its rank; 0 is the most urgent.
        organisation: Name of the organisation that sent it.
        work: Tokens of its prompt and its answer.
        is_long: Whether its prompt is long.
        target_by: Until when it has to be sent to meet its target latency.
        latest: Until when it has to be sent to meet its deadline.
    """

    rank: int
    organisation: str
    work: int
    is_long: bool
    target_by: clocks.Deadline
    latest: clocks.Deadline

    def compute_time_per_work(self, now: float) -> float:
        """Returns the time left for each token of its work, in seconds."""
        return self.latest.remaining(now) / max(1, self.work)


class _SentShare:
    """Share of the requests of one kind that were sent, lately."""

    def __init__(self) -> None:
        self._sent = 1.0
        self._refused = 0.0

    def record(self, is_sent: bool) -> None:
        self._sent = self._sent * _SHARE_DECAY + is_sent
        self._refused = self._refused * _SHARE_DECAY + (not is_sent)

    def read(self) -> float:
        return self._sent / (self._sent + self._refused)


class WaitingQueue:
    """The waiting requests of one service.

    Examples:
        >>> def make(rank, work):
        ...     by = clocks.Deadline(9.0)
        ...     return Waiting(rank, "org", work, False, by, by)
        >>> queue = WaitingQueue()
        >>> for rank, work in [(2, 10), (1, 300), (1, 400)]:
        ...     queue.add(make(rank, work))
        >>> [w.work for w in queue.list_in_order(now=0.0)]
        [300, 400, 10]
        >>> slow = drain_lib.Drain(0.05, 20.0)
        >>> [w.work for w in queue.refuse_late(now=0.0, drain=slow)]
        [400, 10]
    """

    def __init__(self) -> None:
        self._waiting: dict[Waiting, None] = {}
        # Virtual times, by rank and by rank and organisation.
        self._virtual_times: dict[int, float] = {}
        self._finish_tags: dict[tuple[int, str], float] = {}
        self._shares: dict[tuple[int, bool], _SentShare] = (
            collections.defaultdict(_SentShare)
        )
        self._sent = 0
        # When a request was first seen past its target latency, since there
        # was none; None if there is none.
        self._aged_since: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: Waiting) -> None:
        """Adds a request."""
        self._waiting[waiting] = None

    def remove(self, waiting: Waiting) -> None:
        """Removes a request that waits no longer, if it is in the queue."""
        self._waiting.pop(waiting, None)
        if not self._waiting:
            self._virtual_times.clear()
            self._finish_tags.clear()
            self._aged_since = None

    def list_all(self) -> Sequence[Waiting]:
        """Returns all requests, the oldest first."""
        return list(self._waiting)

    def list_in_order(self, now: float) -> Sequence[Waiting]:
        """Returns all requests in the order in which they would be sent."""
        aged = [w for w in self._waiting if w.target_by.is_past(now)]
        ordered = sorted(self._waiting, key=self._make_key)
        if not aged or self._sent % _AGED_TURN != _AGED_TURN - 1:
            return ordered
        first = self.find_aged(now)
        return [first, *(w for w in ordered if w is not first)]

    def find_aged(self, now: float) -> Waiting | None:
        """Returns the first request past its target latency, if any."""
        return min(
            (w for w in self._waiting if w.target_by.is_past(now)),
            key=lambda w: w.target_by,
            default=None,
        )

    def record_sent(self, waiting: Waiting) -> None:
        """Records that a request is sent, whether it had to wait or not."""
        self._sent += 1
        self._shares[waiting.rank, waiting.is_long].record(is_sent=True)
        if not self._waiting:
            return
        tag = self._compute_start_tag(waiting)
        self._virtual_times[waiting.rank] = tag
        key = (waiting.rank, waiting.organisation)
        self._finish_tags[key] = tag + waiting.work

    def estimate_wait(self, rank: int, drain: drain_lib.Drain | None) -> float:
        """Returns how long a new request would wait, in seconds."""
        if drain is None:
            return 0.0
        ahead = [w.work for w in self._waiting if w.rank <= rank]
        return drain.estimate_wait(len(ahead), sum(ahead))

    def list_expired(self, now: float) -> list[Waiting]:
        """Returns the requests that can meet their deadlines no more."""
        return [w for w in self._waiting if w.latest.is_past(now)]

    def refuse_late(
        self, now: float, drain: drain_lib.Drain | None
    ) -> list[Waiting]:
        """Removes the requests to refuse, so that others meet their deadlines.

        Args:
            now: The present time, on the monotonic clock.
            drain: Rate at which waiting requests are sent; None if unknown.

        Returns:
            The requests that were removed.
        """
        refused = self.list_expired(now)
        for waiting in refused:
            self._refuse(waiting)
        if drain is None:
            return refused
        is_burst = self._is_burst(now)
        work = 0
        ahead: list[Waiting] = []
        for waiting in sorted(self._waiting, key=self._make_key):
            limit = waiting.latest
            if not is_burst and not waiting.target_by.is_past(now):
                limit = waiting.target_by
            limit_s = _WAIT_ERROR_FACTOR * limit.remaining(now)
            ahead.append(waiting)
            work += waiting.work
            while waiting in self._waiting and (
                drain.estimate_wait(len(ahead) - 1, work - waiting.work)
                > limit_s
            ):
                chosen = self._choose_refused(
                    [w for w in ahead if w.rank == waiting.rank], now
                )
                self._refuse(chosen)
                refused.append(chosen)
                ahead.remove(chosen)
                work -= chosen.work
        return refused

    def _refuse(self, waiting: Waiting) -> None:
        """Removes a request that is refused."""
        self._shares[waiting.rank, waiting.is_long].record(is_sent=False)
        self.remove(waiting)

    def _is_burst(self, now: float) -> bool:
        """Returns whether all requests met their target latency lately."""
        if self.find_aged(now) is None:
            self._aged_since = None
        elif self._aged_since is None:
            self._aged_since = now
        return self._aged_since is None or now - self._aged_since < _BURST_S

    def _choose_refused(self, found: list[Waiting], now: float) -> Waiting:
        """Returns which request of one rank to refuse."""
        candidates = [w for w in found if self._may_refuse(w)] or found
        work_by_organisation = _sum_work(found)
        return max(
            candidates,
            key=lambda w: (
                work_by_organisation[w.organisation],
                -w.compute_time_per_work(now),
            ),
        )

    def _may_refuse(self, waiting: Waiting) -> bool:
        """Returns whether long prompts are sent often enough to refuse one."""
        if not waiting.is_long:
            return True
        long_share = self._shares[waiting.rank, True].read()
        other_share = self._shares[waiting.rank, False].read()
        return long_share >= _MIN_LONG_SHARE * other_share

    def _make_key(
        self, waiting: Waiting
    ) -> tuple[int, float, clocks.Deadline, int]:
        """Returns the key by which requests are ordered."""
        return (
            waiting.rank,
            self._compute_start_tag(waiting),
            waiting.latest,
            waiting.work,
        )

    def _compute_start_tag(self, waiting: Waiting) -> float:
        """Returns the virtual start time of an organisation's next request."""
        finish_tag = self._finish_tags.get(
            (waiting.rank, waiting.organisation), 0.0
        )
        return max(self._virtual_times.get(waiting.rank, 0.0), finish_tag)


def _sum_work(found: Iterable[Waiting]) -> collections.Counter[str]:
    """Returns the waiting work of each organisation."""
    work: collections.Counter[str] = collections.Counter()
    for waiting in found:
        work[waiting.organisation] += waiting.work
    return work
