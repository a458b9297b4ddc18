"""Defines what is known of a suspect: a request or a prompt part.

A suspect is quarantined once three endpoints have crashed that ran it, or two
if no other suspect ran at one of them. Then it is tried a few times, so that
one that was suspected wrongly is found out.

See Also:
    ``suspect_table.SuspectTable``, which holds all suspects.
    ``causes.Cause``, for what may be suspect.
"""

from collections.abc import Iterable
import dataclasses
import math

import xxhash

# Crashes after which a suspect is quarantined, and the same if it ran without
# other suspects at one of these endpoints.
_CRASHES_TO_QUARANTINE = 3
_CRASHES_TO_QUARANTINE_ALONE = 2
# Times until each trial of a quarantined suspect, in seconds. The first one is
# soon: endpoints that crash together make all that ran on them suspect.
_TRIAL_INTERVALS_S = (2.5, 7.5, 90.0)
# A suspect's trials are this much later at most, as a share of the interval, so
# that those of suspects that were quarantined together do not coincide.
_TRIAL_SPREAD = 0.2
# Sums of fractions are compared with this tolerance.
_ROUNDING = 1e-6
# Least time until a trial if the request ran without other suspects, in
# seconds.
_TRIAL_INTERVAL_ALONE_S = 160.0


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint's crash while it ran a suspect.

    Attributes:
        fingerprint: Fingerprint of the suspect.
        incarnation: Incarnation of the endpoint that crashed.
        at: When it was observed, on this process's monotonic clock.
        was_alone: Whether no other suspect ran there.
        runs: How often the request ran there at the time, as far as known. It
            is 1 for a part, since no request on it needs to be like another.
    """

    fingerprint: bytes
    incarnation: str
    at: float
    was_alone: bool = False
    runs: int = 1


@dataclasses.dataclass(slots=True)
class Suspect:
    """What is known of a request or part that ran when endpoints crashed.

    Times are on this process's monotonic clock.

    Attributes:
        fingerprint: Its fingerprint.
        seen_at: When it last ran, was repeated, or crashed an endpoint.
        crashes: Its crashes by incarnation.
        completed_at: When it last completed; earlier crashes do not count.
        trials: Number of its trials since it was quarantined.
        trial_at: When the last of them began, or the last run before.
    """

    fingerprint: bytes
    seen_at: float
    crashes: dict[str, Crash] = dataclasses.field(default_factory=dict)
    completed_at: float = -math.inf
    trials: int = 0
    trial_at: float = -math.inf

    @property
    def has_crashed_enough(self) -> bool:
        """Whether its crashes suffice for a quarantine."""
        return self.suffice(self.crashes.values())

    def suffice(self, crashes: Iterable[Crash]) -> bool:
        """Returns whether some of its crashes suffice for a quarantine.

        A request that crashes what runs it seldom runs twice on one endpoint.
        One that many callers send does, so that each crash says less of it.
        """
        counted = list(crashes)
        was_alone = any(crash.was_alone for crash in counted)
        if was_alone and len(counted) >= _CRASHES_TO_QUARANTINE_ALONE:
            return True
        weight = sum(1 / crash.runs for crash in counted)
        return weight > _CRASHES_TO_QUARANTINE - _ROUNDING

    @property
    def has_completed(self) -> bool:
        """Whether it is known to have completed before its crashes."""
        return not math.isinf(self.completed_at)

    @property
    def last_crash_at(self) -> float:
        """When it last crashed an endpoint; minus infinity if never."""
        return max(
            (crash.at for crash in self.crashes.values()), default=-math.inf
        )

    @property
    def ran_alone(self) -> bool:
        """Whether it ran without other suspects when an endpoint crashed."""
        return any(crash.was_alone for crash in self.crashes.values())

    @property
    def next_trial_at(self) -> float:
        """When a trial may begin; infinite if none may."""
        if self.trials >= len(_TRIAL_INTERVALS_S):
            return math.inf
        interval_s = _TRIAL_INTERVALS_S[self._trial_index] * self._spread
        if self.ran_alone:
            interval_s = max(interval_s, _TRIAL_INTERVAL_ALONE_S)
        return max(self.last_crash_at, self.trial_at) + interval_s

    @property
    def _trial_index(self) -> int:
        """Index of the interval until the next trial.

        What never completed is tried as late as if its crashes beyond those of
        the quarantine had been trials.
        """
        if self.has_completed:
            return self.trials
        surplus = len(self.crashes) - _CRASHES_TO_QUARANTINE
        last = len(_TRIAL_INTERVALS_S) - 1
        return min(max(self.trials, surplus), last)

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
