"""Limits how many endpoints one request can crash.

A request that runs on an endpoint when it crashes is suspect. It is
quarantined once three endpoints have crashed, or two if no other suspect ran at
one of them.

A quarantined request is refused for as long as its caller repeats it, except
for a few trials, so that one that was suspected wrongly is found out. It is
free again once it completes, or once it was not repeated for some time.

Examples:
    >>> table = SuspectTable(quarantine_seconds=600.0)
    >>> table.record_crash(Crash(b"f", "incarnation-1", at=0.0), now=0.0)
    True
    >>> table.is_suspect(b"f", now=1.0), table.is_quarantined(b"f", now=1.0)
    (True, False)
    >>> alone = Crash(b"f", "incarnation-2", at=2.0, was_alone=True)
    >>> table.record_crash(alone, now=2.0)
    True
    >>> table.is_quarantined(b"f", now=3.0)
    True
    >>> table.is_quarantined(b"f", now=700.0)
    False
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import math

import xxhash

# Crashes after which a request is quarantined, and the same if it ran without
# other suspects at one of these endpoints.
_CRASHES_TO_QUARANTINE = 3
_CRASHES_TO_QUARANTINE_ALONE = 2
# Times until each trial of a quarantined request, in seconds. The first one is
# soon: endpoints that crash together make all that ran on them suspect.
_TRIAL_INTERVALS_S = (2.5, 7.5, 90.0)
# A request's trials are this much later at most, as a share of the interval, so
# that those of requests that were suspected together do not coincide.
_TRIAL_SPREAD = 0.2
# Sums of fractions are compared with this tolerance.
_ROUNDING = 1e-6
# Least time until a trial if the request ran without other suspects, in
# seconds.
_TRIAL_INTERVAL_ALONE_S = 160.0
# Time for which a completion is told to others, in seconds.
_COMPLETION_TTL_S = 30.0
# Suspects that a table keeps.
_MAX_SUSPECTS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint's crash while a request ran on it.

    Attributes:
        fingerprint: Fingerprint of the request.
        incarnation: Incarnation of the endpoint that crashed.
        at: When it was observed, on this process's monotonic clock.
        was_alone: Whether no other suspect ran there.
        runs: How often the request ran there at the time, as far as known.
    """

    fingerprint: bytes
    incarnation: str
    at: float
    was_alone: bool = False
    runs: int = 1


@dataclasses.dataclass(slots=True)
class Suspect:
    """What is known of a request that ran on endpoints when they crashed.

    Times are on this process's monotonic clock.

    Attributes:
        fingerprint: Fingerprint of the request.
        seen_at: When it last ran, was repeated, or crashed an endpoint.
        crashes: Its crashes by incarnation.
        completed_at: When it last completed; earlier crashes do not count.
        trials: Number of its trials since it was quarantined.
        trial_at: When the last of them began.
    """

    fingerprint: bytes
    seen_at: float
    crashes: dict[str, Crash] = dataclasses.field(default_factory=dict)
    completed_at: float = -math.inf
    trials: int = 0
    trial_at: float = -math.inf

    @property
    def has_crashed_enough(self) -> bool:
        """Whether its crashes suffice for a quarantine.

        A request that crashes what runs it seldom runs twice on one endpoint.
        One that many callers send does, so that each crash says less of it.
        """
        count = len(self.crashes)
        if self.ran_alone and count >= _CRASHES_TO_QUARANTINE_ALONE:
            return True
        weight = sum(1 / crash.runs for crash in self.crashes.values())
        return weight > _CRASHES_TO_QUARANTINE - _ROUNDING

    @property
    def ran_alone(self) -> bool:
        """Whether it ran without other suspects when an endpoint crashed."""
        return any(crash.was_alone for crash in self.crashes.values())

    @property
    def next_trial_at(self) -> float:
        """When a trial may begin; infinite if none may."""
        if self.trials >= len(_TRIAL_INTERVALS_S):
            return math.inf
        last_crash_at = max(crash.at for crash in self.crashes.values())
        interval_s = _TRIAL_INTERVALS_S[self.trials] * self._spread
        if self.ran_alone:
            interval_s = max(interval_s, _TRIAL_INTERVAL_ALONE_S)
        return max(last_crash_at, self.trial_at) + interval_s

    @property
    def _spread(self) -> float:
        position = xxhash.xxh3_64_intdigest(self.fingerprint) / 2**64
        return 1 + _TRIAL_SPREAD * position

    def drop_completed(self) -> None:
        """Removes the crashes before the last completion."""
        kept = {
            incarnation: crash
            for incarnation, crash in self.crashes.items()
            if crash.at > self.completed_at
        }
        if len(kept) < len(self.crashes):
            self.crashes = kept
            self.trials = 0


def make_fingerprint(organisation: str, body: bytes) -> bytes:
    """Returns a digest that is the same for all retries of a request."""
    return xxhash.xxh3_128_digest(organisation.encode() + b"\x00" + body)


_Suspects = collections.OrderedDict[bytes, Suspect]


def _ignore_change() -> None:
    """Does nothing; the default callback for changes."""


class SuspectTable:
    """Requests that ran on endpoints when these crashed.

    If it is full, requests with a single crash make room before others.

    Args:
        quarantine_seconds: Time after which a request is forgotten that is no
            longer repeated.

    Attributes:
        on_change: Called when this process learned by itself of a crash or a
            completion, or began a trial, so that others have to know.
    """

    def __init__(self, quarantine_seconds: float):
        self._quarantine_seconds = quarantine_seconds
        # Each in the order of ``seen_at``: those without, with one and with
        # several crashes that count.
        self._completed: _Suspects = collections.OrderedDict()
        self._single: _Suspects = collections.OrderedDict()
        self._repeated: _Suspects = collections.OrderedDict()
        # Those that changed since ``take_changed`` returned them.
        self._changed: dict[bytes, None] = {}
        # Number of suspects that were chosen to be shared, in turn.
        self._shared = 0
        self.on_change: Callable[[], None] = _ignore_change

    def __len__(self) -> int:
        return sum(len(suspects) for suspects, _ in self._tables)

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Records a crash; returns whether it was not known before."""
        self._forget_old(now)
        suspect = self._find_or_add(crash.fingerprint, crash.at)
        known = suspect.crashes.get(crash.incarnation)
        if known is not None or crash.at <= suspect.completed_at:
            return False
        suspect.crashes[crash.incarnation] = crash
        self._put(suspect, max(suspect.seen_at, crash.at))
        self._forget_old(now)
        self._record_change(crash.fingerprint)
        return True

    def merge(self, reported: Suspect, now: float) -> bool:
        """Merges what another process knows of a request.

        Returns:
            Whether a crash was not known before.
        """
        if reported.seen_at < now - self._quarantine_seconds:
            return False
        suspect = self._find_or_add(reported.fingerprint, reported.seen_at)
        known = len(suspect.crashes)
        for crash in reported.crashes.values():
            own = suspect.crashes.get(crash.incarnation, crash)
            suspect.crashes[crash.incarnation] = max(
                own, crash, key=lambda row: row.runs
            )
        is_new = len(suspect.crashes) > known
        suspect.completed_at = max(suspect.completed_at, reported.completed_at)
        suspect.trials = max(suspect.trials, reported.trials)
        suspect.trial_at = max(suspect.trial_at, reported.trial_at)
        suspect.drop_completed()
        self._put(suspect, max(suspect.seen_at, reported.seen_at))
        self._forget_old(now)
        return is_new

    def list_crashes(self, now: float) -> tuple[Crash, ...]:
        """Returns the crashes that still count."""
        self._forget_old(now)
        return tuple(_list_crashes(self._iterate()))

    @property
    def has_changed(self) -> bool:
        """Whether ``take_changed`` has suspects to return."""
        return bool(self._changed)

    def take_changed(self, limit: int) -> list[Suspect]:
        """Returns suspects that this process changed, at most so many.

        Each is returned once after its last change.
        """
        taken = list(itertools.islice(self._changed, limit))
        for fingerprint in taken:
            del self._changed[fingerprint]
        found = (self._find(fingerprint) for fingerprint in taken)
        return [suspect for suspect in found if suspect is not None]

    def choose_to_share(self, now: float, limit: int) -> list[Suspect]:
        """Returns suspects to report to other processes, at most so many.

        Half of them are those with several crashes that were seen last. The
        rest are all others in turn, so that none is left out for long.
        """
        self._forget_old(now)
        if len(self) <= limit:
            return list(self._iterate())
        urgent = itertools.islice(reversed(self._repeated.values()), limit // 2)
        chosen = {suspect.fingerprint: suspect for suspect in urgent}
        start = self._shared if self._shared < len(self) else 0
        self._shared = start + limit - len(chosen)
        in_turn = itertools.islice(self._iterate(), start, self._shared)
        chosen |= {suspect.fingerprint: suspect for suspect in in_turn}
        return list(chosen.values())

    def choose_crashes_to_share(
        self, now: float, limit: int
    ) -> tuple[Crash, ...]:
        """Returns the crashes of ``choose_to_share``, at most so many."""
        crashes = _list_crashes(self.choose_to_share(now, limit))
        return tuple(itertools.islice(crashes, limit))

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether an endpoint crashed while the request ran."""
        return self.count_crashes(fingerprint, now) > 0

    def is_quarantined(
        self, fingerprint: bytes, now: float, trial_delay_s: float = 0.0
    ) -> bool:
        """Returns whether the request must not run.

        Args:
            fingerprint: Fingerprint of the request.
            now: The time.
            trial_delay_s: How much later than others this process may begin a
                trial, so that they do not begin one at the same time.
        """
        self._forget_old(now)
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.has_crashed_enough:
            return False
        if suspect.seen_at < now - self._quarantine_seconds:
            return False
        return now < suspect.next_trial_at + trial_delay_s

    def read_trial_time(self, fingerprint: bytes) -> float:
        """Returns when a quarantined request may run; infinite if never."""
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.has_crashed_enough:
            return -math.inf
        return suspect.next_trial_at

    def record_repeat(self, fingerprint: bytes, now: float) -> None:
        """Records that a request was repeated, whether or not it may run."""
        suspect = self._find(fingerprint)
        if suspect is not None and suspect.crashes:
            self._put(suspect, now)

    def record_run(self, fingerprint: bytes, now: float) -> int:
        """Records that a request is about to be sent to an endpoint.

        Returns:
            The number of the trial, if a quarantined request is tried; else 0.
        """
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.crashes:
            return 0
        self._put(suspect, now)
        if not suspect.has_crashed_enough:
            return 0
        suspect.trials += 1
        suspect.trial_at = now
        self._record_change(fingerprint)
        return suspect.trials

    def count_crashes(self, fingerprint: bytes, now: float) -> int:
        """Returns how many endpoints crashed while the request ran."""
        self._forget_old(now)
        suspect = self._find(fingerprint)
        return len(suspect.crashes) if suspect else 0

    def count_quarantined(self) -> int:
        """Returns how many requests are quarantined."""
        return sum(
            suspect.has_crashed_enough for suspect in self._repeated.values()
        )

    def has_crashed(self, incarnation: str) -> bool:
        """Returns whether an incarnation is known to have crashed."""
        return any(incarnation in s.crashes for s in self._iterate())

    def withdraw(self, incarnation: str, observed_at: float) -> None:
        """Removes crashes of an incarnation that was observed alive later.

        An endpoint that is only unreachable looks as if it had crashed, until
        it responds again.

        Args:
            incarnation: Incarnation of the endpoint.
            observed_at: When it was alive; later crashes are kept.
        """
        for suspect in list(self._iterate()):
            crash = suspect.crashes.get(incarnation)
            if crash is not None and crash.at < observed_at:
                del suspect.crashes[incarnation]
                self._put(suspect, suspect.seen_at)

    def clear(self, fingerprint: bytes, now: float) -> bool:
        """Removes the crashes of a request that completed successfully.

        Returns:
            Whether there were any.
        """
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        suspect.completed_at = now
        suspect.drop_completed()
        self._put(suspect, now)
        self._record_change(fingerprint)
        return True

    def _record_change(self, fingerprint: bytes) -> None:
        self._changed[fingerprint] = None
        self.on_change()

    def _iterate(self) -> Iterator[Suspect]:
        return itertools.chain.from_iterable(
            suspects.values() for suspects, _ in self._tables
        )

    @property
    def _tables(self) -> tuple[tuple[_Suspects, float], ...]:
        """All suspects and how long they are kept, least important first."""
        return (
            (self._completed, _COMPLETION_TTL_S),
            (self._single, self._quarantine_seconds),
            (self._repeated, self._quarantine_seconds),
        )

    def _find(self, fingerprint: bytes) -> Suspect | None:
        for suspects, _ in self._tables:
            if fingerprint in suspects:
                return suspects[fingerprint]
        return None

    def _find_or_add(self, fingerprint: bytes, seen_at: float) -> Suspect:
        suspect = self._find(fingerprint)
        if suspect is None:
            suspect = Suspect(fingerprint, seen_at)
            self._completed[fingerprint] = suspect
        return suspect

    def _put(self, suspect: Suspect, seen_at: float) -> None:
        """Stores a suspect as the one that was seen last."""
        suspect.seen_at = seen_at
        for suspects, _ in self._tables:
            suspects.pop(suspect.fingerprint, None)
        suspects, _ = self._tables[min(len(suspect.crashes), 2)]
        suspects[suspect.fingerprint] = suspect

    def _forget_old(self, now: float) -> None:
        """Removes suspects that were not seen for long or exceed the limit."""
        for suspects, ttl_s in self._tables:
            while suspects:
                suspect = next(iter(suspects.values()))
                is_old = suspect.seen_at < now - ttl_s
                if not is_old and len(self) <= _MAX_SUSPECTS:
                    break
                del suspects[suspect.fingerprint]
                self._changed.pop(suspect.fingerprint, None)


def _list_crashes(suspects: Iterable[Suspect]) -> Iterator[Crash]:
    return itertools.chain.from_iterable(
        suspect.crashes.values() for suspect in suspects
    )
