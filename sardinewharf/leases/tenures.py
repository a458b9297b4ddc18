"""What a process knows of when other holders of a lease can have acted last.

A new holder waits for a pause after the last action of any other process. If it
waited anew whenever the lease was acquired, holders that are killed again and
again would leave no time to act. So each process observes the lease's record,
and bounds the last action of each holder:

- A holder marks its record before its first action. One that did not has not
  acted.
- A record that expired left the holder's margin without action.
- Of the time before it observed the record, a process is told by others.

All times are on the process's monotonic clock.
"""

import dataclasses
import math

# Holders whose last actions are told to other processes.
_MAX_TOLD_HOLDERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """The state of a lease's record.

    Attributes:
        holder: Name of the holder; empty if there is none.
        revision: Revision of the record; 0 if there is none.
        has_acted: Whether the holder may have acted in this tenure.
        quiet_s: Time since the last action of any holder when the last one
            resigned, in seconds; 0 if not known.
    """

    holder: str = ""
    revision: int = 0
    has_acted: bool = False
    quiet_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ActionAges:
    """What one process tells others of the last actions that it knows of.

    Attributes:
        unknown_age_s: No holder that is not named acted since then.
        ages_s: Time since each holder can have acted last, by its name.
    """

    unknown_age_s: float
    ages_s: dict[str, float]


class TenureLog:
    """Bounds when each holder of a lease can have acted last.

    Args:
        holder: Name of this process.
        expiry_margin_s: Time before the expiry of its lease at which a holder
            stops acting, in seconds.

    Examples:
        >>> log = TenureLog("vm-1", expiry_margin_s=0.5)
        >>> log.start(Tenure("vm-2", 7, has_acted=True), revision=9, now=10.0)
        >>> log.observe(Tenure(), now=12.0)
        >>> log.find_last_action(now=13.0)
        11.5
    """

    def __init__(self, holder: str, expiry_margin_s: float):
        self._holder = holder
        self._expiry_margin_s = expiry_margin_s
        self._current = Tenure()
        # Anybody may have acted until then, besides what is known of holders.
        self._unknown_until = math.inf
        self._started_revision = 0
        # When each former holder can have acted last.
        self._last_actions: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """Revision of the record that was observed last; 0 for none."""
        return self._current.revision

    def start(self, tenure: Tenure, revision: int, now: float) -> None:
        """Begins to observe, or begins anew after changes were missed.

        Args:
            tenure: The state of the record.
            revision: Revision of the store that this state is of.
            now: The time.
        """
        self._unknown_until = now
        self._started_revision = revision
        self._last_actions.clear()
        self._current = tenure

    def observe(self, tenure: Tenure, now: float) -> None:
        """Records the next state of the record; none may be left out."""
        former, self._current = self._current, tenure
        if not former.holder or not former.has_acted:
            return
        if tenure.holder == former.holder and tenure.has_acted:
            return
        self._last_actions[former.holder] = self._bound_end(tenure, now)

    def find_last_action(self, now: float) -> float:
        """Returns when any other process can have acted last."""
        current = self._current
        if current.has_acted and current.holder != self._holder:
            return now
        last_actions = [
            at
            for holder, at in self._last_actions.items()
            if holder != self._holder
        ]
        return min(now, max([self._unknown_until, *last_actions]))

    def make_ages(self, now: float) -> ActionAges | None:
        """Returns what to tell other processes; None if nothing is known."""
        if math.isinf(self._unknown_until):
            return None
        last_actions = dict(self._last_actions)
        if self._current.has_acted:
            last_actions[self._current.holder] = now
        latest = sorted(last_actions, key=last_actions.get)
        told, others = latest[-_MAX_TOLD_HOLDERS:], latest[:-_MAX_TOLD_HOLDERS]
        unknown_until = max(
            [self._unknown_until, *(last_actions[name] for name in others)]
        )
        return ActionAges(
            now - unknown_until,
            {name: now - last_actions[name] for name in told},
        )

    def merge(self, ages: ActionAges, revision: int, now: float) -> None:
        """Merges what another process tells of the time before this began.

        Args:
            ages: What it tells.
            revision: Revision of the store that it had observed.
            now: The time.
        """
        if math.isinf(self._unknown_until) or revision < self._started_revision:
            return
        unknown_until = now - ages.unknown_age_s
        if unknown_until >= self._unknown_until:
            return
        for holder, age_s in ages.ages_s.items():
            # Of the time since this process began, it knows more itself.
            told = min(now - age_s, self._unknown_until)
            known = self._last_actions.get(holder, -math.inf)
            self._last_actions[holder] = max(known, told)
        self._unknown_until = unknown_until

    def _bound_end(self, tenure: Tenure, now: float) -> float:
        """Returns when the holder of the tenure that ends can have acted."""
        if not tenure.revision:
            return now - self._expiry_margin_s
        if not tenure.holder:
            return now - tenure.quiet_s
        return now
