"""Limits how many endpoints one request can crash.

A request that runs on an endpoint when it crashes is suspect. It runs again on
an endpoint without any other suspect, and if that endpoint crashes too, the
request is quarantined.

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
import dataclasses

import xxhash

_CRASHES_TO_QUARANTINE = 2
_MAX_CRASHES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint's crash while a request ran on it.

    Attributes:
        fingerprint: Fingerprint of the request.
        incarnation: Incarnation of the endpoint that crashed.
        at: When it was observed, on this process's monotonic clock.
        was_alone: Whether no other suspect ran there.
    """

    fingerprint: bytes
    incarnation: str
    at: float
    was_alone: bool = False


def make_fingerprint(organisation: str, body: bytes) -> bytes:
    """Returns a digest that is the same for all retries of a request."""
    return xxhash.xxh3_128_digest(organisation.encode() + b"\x00" + body)


class SuspectTable:
    """Crashes of endpoints, by the requests that ran there.

    Args:
        quarantine_seconds: Time for which a crash counts.
    """

    def __init__(self, quarantine_seconds: float):
        self._quarantine_seconds = quarantine_seconds
        self._crashes: collections.OrderedDict[tuple[bytes, str], Crash] = (
            collections.OrderedDict()
        )
        self._by_request: dict[bytes, dict[str, Crash]] = {}

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Records a crash; returns whether it was not known before."""
        self._forget_old(now)
        key = (crash.fingerprint, crash.incarnation)
        if key in self._crashes:
            return False
        self._crashes[key] = crash
        crashes = self._by_request.setdefault(crash.fingerprint, {})
        crashes[crash.incarnation] = crash
        return True

    def list_crashes(self, now: float) -> tuple[Crash, ...]:
        """Returns the crashes that still count, in the order of recording."""
        self._forget_old(now)
        return tuple(self._crashes.values())

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether an endpoint crashed while the request ran."""
        self._forget_old(now)
        return fingerprint in self._by_request

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether the request must not run.

        It must not if several endpoints crashed while it ran, at one of them
        without any other suspect.
        """
        self._forget_old(now)
        crashes = self._by_request.get(fingerprint, {})
        if len(crashes) < _CRASHES_TO_QUARANTINE:
            return False
        return any(crash.was_alone for crash in crashes.values())

    def count_crashes(self, fingerprint: bytes) -> int:
        """Returns how many endpoints crashed while the request ran."""
        return len(self._by_request.get(fingerprint, ()))

    def has_crashed(self, incarnation: str) -> bool:
        """Returns whether an incarnation is known to have crashed."""
        return any(key[1] == incarnation for key in self._crashes)

    def withdraw(self, incarnation: str, observed_at: float) -> None:
        """Removes crashes of an incarnation that was observed alive later.

        An endpoint that is only unreachable looks as if it had crashed, until
        it responds again.

        Args:
            incarnation: Incarnation of the endpoint.
            observed_at: When it was alive; later crashes are kept.
        """
        for key, crash in list(self._crashes.items()):
            if crash.incarnation == incarnation and crash.at < observed_at:
                del self._crashes[key]
                self._forget(crash)

    def clear(self, fingerprint: bytes) -> None:
        """Removes the crashes of a request that completed successfully."""
        for incarnation in self._by_request.pop(fingerprint, ()):
            self._crashes.pop((fingerprint, incarnation), None)

    def _forget_old(self, now: float) -> None:
        """Removes crashes that no longer count or exceed the limit."""
        while self._crashes:
            key, crash = next(iter(self._crashes.items()))
            is_old = crash.at + self._quarantine_seconds < now
            if not is_old and len(self._crashes) <= _MAX_CRASHES:
                return
            del self._crashes[key]
            self._forget(crash)

    def _forget(self, crash: Crash) -> None:
        """Removes a crash from the crashes of its request."""
        remaining = self._by_request.get(crash.fingerprint)
        if remaining is None:
            return
        remaining.pop(crash.incarnation, None)
        if not remaining:
            del self._by_request[crash.fingerprint]
