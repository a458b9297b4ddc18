"""Limits how many endpoints a request, or a part of prompts, can crash.

What runs on an endpoint when it crashes is suspect: each request, and each part
of its prompt that other requests may share. It is quarantined once endpoints
have crashed that ran it and it did not complete since. A crash does not count
if another suspect explains it: one that has crashed enough endpoints, and that
completed longer ago or never.

What is quarantined is refused for as long as callers repeat it, except for a
few trials, so that one that was suspected wrongly is found out. It is free
again once it completes, or once it was not repeated for some time.

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

See Also:
    ``causes.Cause``, for what may be suspect.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import math

from sardinewharf.limits import completions
from sardinewharf.limits import suspects as suspects_lib

# Time for which a completion is told to others, in seconds.
_COMPLETION_TTL_S = 30.0
# Suspects that a table keeps.
_MAX_SUSPECTS = 10_000
# A run of a suspect that never completed holds up others on it for this long,
# in seconds, unless it ends before.
_HOLD_S = 2.0
# Times of one run differ by less than this between processes, in seconds.
_RUN_TOLERANCE_S = 0.05

Crash = suspects_lib.Crash
Suspect = suspects_lib.Suspect
_Suspects = collections.OrderedDict[bytes, Suspect]


def _ignore_change() -> None:
    """Does nothing; the default callback for changes."""


def _ignore_suspect(fingerprint: bytes) -> None:
    """Does nothing; the default callback for changes of a suspect."""


class SuspectTable:
    """Requests and prompt parts that ran on endpoints when these crashed.

    If it is full, suspects with a single crash make room before others.

    Args:
        quarantine_seconds: Time after which a suspect is forgotten that is no
            longer repeated.

    Attributes:
        on_change: Called when this process learned by itself of a crash or a
            completion, or began a trial, so that others have to know.
        on_suspect_change: Called then with the suspect's fingerprint.
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
        self._completions = completions.CompletionLog()
        self._progress = completions.CompletionLog()
        # When the suspect last completed that explains an incarnation's crash;
        # None if it has to be computed anew.
        self._explanations: dict[str, float] | None = None
        # Number of suspects that were chosen to be shared, in turn.
        self._shared = 0
        self._states_shared = 0
        self.on_change: Callable[[], None] = _ignore_change
        self.on_suspect_change: Callable[[bytes], None] = _ignore_suspect

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
        """Merges what another process knows of a suspect.

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

    def choose_states_to_share(self, now: float, limit: int) -> list[Suspect]:
        """Returns suspects that completed or were tried, at most so many.

        Half of them are those that did so last, the rest are others in turn.
        """
        self._forget_old(now)
        known = [
            suspect
            for suspect in self._iterate()
            if suspect.has_completed or suspect.trials
        ]
        if len(known) <= limit:
            return known
        known.sort(key=lambda row: max(row.completed_at, row.trial_at))
        latest = limit // 2
        others = known[:-latest]
        self._states_shared %= len(others)
        turned = others[self._states_shared :] + others[: self._states_shared]
        self._states_shared += limit - latest
        return known[-latest:] + turned[: limit - latest]

    def read(self, fingerprint: bytes) -> Suspect | None:
        """Returns what is known of a suspect; None if it is none."""
        return self._find(fingerprint)

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether an endpoint crashed while it ran."""
        return self.count_crashes(fingerprint, now) > 0

    def is_unproven(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether it is suspect, and not known to have completed."""
        suspect = self._find(fingerprint)
        if suspect is None or suspect.has_completed:
            return False
        return self.is_suspect(fingerprint, now)

    def read_hold(
        self, fingerprint: bytes, own_run_at: float = -math.inf
    ) -> float:
        """Returns until when another run holds up what never progressed.

        Those of a suspect follow one another, so that fewer endpoints crash
        before it shows whether it completes. It is minus infinity if there is
        no other run.

        Args:
            fingerprint: Fingerprint of the suspect.
            own_run_at: When the caller's own run was recorded.
        """
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.crashes or suspect.has_completed:
            return -math.inf
        if not math.isinf(self._progress.read(fingerprint)):
            return -math.inf
        if suspect.trial_at <= suspect.last_crash_at:
            return -math.inf
        if _is_same_run(suspect, own_run_at):
            return -math.inf
        return suspect.trial_at + _HOLD_S

    def is_own_trial(self, fingerprint: bytes, own_run_at: float) -> bool:
        """Returns whether the last trial or run is the caller's own."""
        suspect = self._find(fingerprint)
        return suspect is not None and _is_same_run(suspect, own_run_at)

    def has_crashed_enough(self, fingerprint: bytes) -> bool:
        """Returns whether its crashes suffice for a quarantine."""
        suspect = self._find(fingerprint)
        return suspect is not None and self._has_crashed_enough(suspect)

    def is_quarantined(
        self, fingerprint: bytes, now: float, trial_delay_s: float = 0.0
    ) -> bool:
        """Returns whether it must not run.

        Args:
            fingerprint: Fingerprint of the suspect.
            now: The time.
            trial_delay_s: How much later than others this process may begin a
                trial, so that they do not begin one at the same time.
        """
        self._forget_old(now)
        suspect = self._find(fingerprint)
        if suspect is None or not self._has_crashed_enough(suspect):
            return False
        if suspect.seen_at < now - self._quarantine_seconds:
            return False
        return now < suspect.next_trial_at + trial_delay_s

    def read_trial_time(self, fingerprint: bytes) -> float:
        """Returns when a quarantined suspect may run; infinite if never."""
        suspect = self._find(fingerprint)
        if suspect is None or not self._has_crashed_enough(suspect):
            return -math.inf
        return suspect.next_trial_at

    def record_repeat(self, fingerprint: bytes, now: float) -> None:
        """Records that it came again, whether or not it may run."""
        suspect = self._find(fingerprint)
        if suspect is not None and suspect.crashes:
            self._put(suspect, now)

    def record_run(
        self, fingerprint: bytes, now: float, own_run_at: float = -math.inf
    ) -> int:
        """Records that a request is about to be sent to an endpoint.

        Args:
            fingerprint: Fingerprint of the request, or of a part of its prompt.
            now: The time.
            own_run_at: When an earlier run of the same request was recorded
                which no endpoint took; minus infinity if there was none.

        Returns:
            The number of the trial, if one begins; else 0.
        """
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.crashes:
            return 0
        self._put(suspect, now)
        is_trial = self._has_crashed_enough(suspect)
        if not is_trial and suspect.has_completed:
            return 0
        is_new = not _is_same_run(suspect, own_run_at)
        suspect.trial_at = now
        if is_trial and is_new:
            suspect.trials += 1
        self._record_change(fingerprint)
        return suspect.trials if is_trial and is_new else 0

    def count_crashes(self, fingerprint: bytes, now: float) -> int:
        """Returns how many endpoints crashed while it ran."""
        self._forget_old(now)
        suspect = self._find(fingerprint)
        return len(suspect.crashes) if suspect else 0

    def count_quarantined(self) -> int:
        """Returns how many requests and parts are quarantined."""
        return sum(
            self._has_crashed_enough(suspect)
            for suspect in self._repeated.values()
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
        """Records a completion, and removes the crashes before it.

        Returns:
            Whether there were any.
        """
        self._completions.record(fingerprint, now)
        suspect = self._find(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        suspect.completed_at = now
        suspect.drop_completed()
        self._put(suspect, now)
        self._record_change(fingerprint)
        return True

    def _has_crashed_enough(self, suspect: Suspect) -> bool:
        """Returns whether crashes that nothing else explains suffice."""
        if not suspect.has_crashed_enough:
            return False
        if self._explanations is None:
            self._explanations = self._explain_crashes()
        return suspect.suffice(
            crash
            for incarnation, crash in suspect.crashes.items()
            if self._explanations[incarnation] >= suspect.completed_at
        )

    def _explain_crashes(self) -> dict[str, float]:
        """Returns when the likeliest cause of each crash last completed."""
        explanations: dict[str, float] = {}
        for suspect in self._repeated.values():
            if not suspect.has_crashed_enough:
                continue
            for incarnation in suspect.crashes:
                known = explanations.get(incarnation, math.inf)
                explanations[incarnation] = min(known, suspect.completed_at)
        return explanations

    def record_progress(self, fingerprint: bytes, now: float) -> None:
        """Records that a response has gone on for a while without a crash.

        That is no proof as a completion is, but its runs need not follow one
        another.
        """
        self._progress.record(fingerprint, now)

    def _record_change(self, fingerprint: bytes) -> None:
        self._changed[fingerprint] = None
        self.on_change()
        self.on_suspect_change(fingerprint)

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
        return (
            self._completed.get(fingerprint)
            or self._single.get(fingerprint)
            or self._repeated.get(fingerprint)
        )

    def _find_or_add(self, fingerprint: bytes, seen_at: float) -> Suspect:
        suspect = self._find(fingerprint)
        if suspect is None:
            completed_at = self._completions.read(fingerprint)
            suspect = Suspect(fingerprint, seen_at, completed_at=completed_at)
            self._completed[fingerprint] = suspect
        return suspect

    def _put(self, suspect: Suspect, seen_at: float) -> None:
        """Stores a suspect as the one that was seen last."""
        suspect.seen_at = seen_at
        self._explanations = None
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
                self._explanations = None
                self._changed.pop(suspect.fingerprint, None)


def _list_crashes(suspects: Iterable[Suspect]) -> Iterator[Crash]:
    return itertools.chain.from_iterable(
        suspect.crashes.values() for suspect in suspects
    )


def _is_same_run(suspect: Suspect, run_at: float) -> bool:
    return abs(suspect.trial_at - run_at) < _RUN_TOLERANCE_S
