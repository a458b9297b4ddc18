"""Tells other gateways of what crashes endpoints, and merges their reports.

The next gateway that gets such a request or prompt part is told within the time
in which all state has to spread: what a gateway learns goes to all peers at
once, and what it knows to a few at intervals, for those that started later or
missed it.

See Also:
    ``peers``, which sends the reports.
"""

import math

import msgspec

from sardinewharf import clocks
from sardinewharf import limits
from sardinewharf.gateway import crashes as crashes_lib
from sardinewharf.gateway import digests

# Suspects in a report of what is known.
_MAX_SUSPECTS = 6
# Bytes after which a report of changes ends, so that it fits into a datagram.
_MAX_CHANGE_BYTES = 900
# Crashes of one suspect in a report: as many as may explain those of others.
_MAX_CRASHES = 6


class SuspectExchange:
    """Makes and merges reports of requests that crash endpoints.

    Args:
        suspects: Requests and parts that ran when endpoints crashed.
        crashes: Detects endpoints that crashed while they ran requests.
    """

    def __init__(
        self,
        suspects: limits.SuspectTable,
        crashes: crashes_lib.CrashDetector,
    ):
        self._suspects = suspects
        self._crashes = crashes

    @property
    def has_changes(self) -> bool:
        """Whether ``make_change_report`` has something to report."""
        return self._suspects.has_changed

    def make_change_report(self) -> digests.SuspectReport | None:
        """Returns a report of what this gateway learned since the last one.

        It is None if there is nothing. If there is too much for one report, the
        next ones hold the rest.
        """
        now = clocks.read_monotonic()
        updates: list[digests.SuspectUpdate] = []
        size = 0
        while size < _MAX_CHANGE_BYTES and self._suspects.has_changed:
            for suspect in self._suspects.take_changed(1):
                updates.append(encode_suspect(suspect, now))
                size += len(msgspec.msgpack.encode(updates[-1]))
        return digests.SuspectReport(updates) if updates else None

    def make_report(self) -> digests.SuspectReport | None:
        """Returns a report of some requests and parts that are suspect.

        It is None if there are none. The next ones hold others in turn.
        """
        now = clocks.read_monotonic()
        updates = [
            encode_suspect(suspect, now)
            for suspect in self._suspects.choose_to_share(now, _MAX_SUSPECTS)
        ]
        return digests.SuspectReport(updates) if updates else None

    def merge(self, report: digests.SuspectReport) -> None:
        """Merges the report of another gateway."""
        now = clocks.read_monotonic()
        for update in report.suspects:
            self.merge_suspect(decode_suspect(update, now))

    def merge_suspect(self, suspect: limits.Suspect) -> None:
        """Merges what another gateway knows, or knew, of a suspect."""
        self._suspects.merge(suspect, clocks.read_monotonic())
        for incarnation in suspect.crashes:
            self._crashes.record_peer_crash(incarnation)


def encode_suspect(
    suspect: limits.Suspect, now: float
) -> digests.SuspectUpdate:
    """Returns a suspect with the ages of what is known of it."""
    latest = sorted(suspect.crashes.values(), key=lambda crash: crash.at)
    return digests.SuspectUpdate(
        suspect.fingerprint,
        int((now - suspect.seen_at) * 1000),
        [
            digests.CrashUpdate(
                b"",
                crash.incarnation,
                int((now - crash.at) * 1000),
                crash.runs,
            )
            for crash in latest[-_MAX_CRASHES:]
        ],
        _encode_age(suspect.completed_at, now),
        suspect.trials,
        _encode_age(suspect.trial_at, now),
    )


def decode_suspect(update: digests.SuspectUpdate, now: float) -> limits.Suspect:
    """Returns a suspect whose ages were measured at a time.

    Args:
        update: The suspect.
        now: That time, on this process's monotonic clock.
    """
    return limits.Suspect(
        update.fingerprint,
        _decode_age(update.seen_age_ms, now),
        {
            crash.incarnation: limits.Crash(
                update.fingerprint,
                crash.incarnation,
                _decode_age(crash.age_ms, now),
                runs=crash.runs,
            )
            for crash in update.crashes
        },
        _decode_age(update.completed_age_ms, now),
        update.trials,
        _decode_age(update.trial_age_ms, now),
    )


def _encode_age(at: float, now: float) -> int | None:
    """Returns the ms since a time; None if it never came."""
    return None if math.isinf(at) else int((now - at) * 1000)


def _decode_age(age_ms: int | None, now: float) -> float:
    """Returns the time of ``_encode_age``."""
    return -math.inf if age_ms is None else now - max(0, age_ms) / 1000
