"""Holds what endpoints report of their own load and slowness.

Only reports that state a slowness count. It changes many times a second, may be
false, and arrives late or not at all. So it is a geometric mean of the latest
reports, each at most a limited factor away from the mean before it, and one
usual report always weighs in. Without new reports it returns to 1.0.

Examples:
    >>> table = ReportTable()
    >>> for _ in range(50):
    ...     table.record("e", LoadReport(20, 3, 24, slowness=2.0), now=0.0)
    >>> report = table.read("e", now=0.1)
    >>> round(report.slowness, 1), report.running, report.waiting
    (1.8, 20, 3)
    >>> report = table.read("e", now=30.0)
    >>> round(report.slowness, 1), report.running, report.waiting
    (1.0, 0, 0)
    >>> table.read("f", now=0.1).is_known
    False
"""

import dataclasses
import math

from sardinewharf.fleet import speeds as speeds_lib

MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0
# A report counts as at most this factor away from the mean before it, so that
# a single false one hardly changes it.
_MAX_CHANGE = 4.0
# Number of reports that the mean is of at most. An endpoint that reports often
# is known to be slow within as many reports.
_MAX_WEIGHT = 8.0
# Weight of the usual slowness, in reports.
_USUAL_WEIGHT = 1.0
# Time in which the weight of a report falls to a third, in seconds. Most
# gateways hear of an endpoint less than once a second.
_DECAY_S = 5.0
# A report of running and waiting requests counts for this long, in seconds.
_FRESH_S = 0.5
# A report is forgotten after this time, in seconds.
_KEEP_S = 30.0
# What was computed from reports is kept for this long, in seconds: each request
# reads it for all engines of its service.
_COMPUTED_S = 0.05
# Most requests that are believed to run or to wait at an endpoint.
_MAX_REQUESTS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint reports of itself.

    Attributes:
        running: Requests that run there; 0 if unknown.
        waiting: Requests that are queued there; 0 if unknown.
        slots: Requests that can run there at a time; 0 if unknown.
        slowness: How long work takes there; 1.0 is usual.
        is_known: Whether the endpoint reported its slowness lately.
        learned: How much longer work was found to take there than that.
        is_fresh: Whether the running and waiting requests are of late.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowness: float = 1.0
    is_known: bool = True
    learned: float = 1.0
    is_fresh: bool = False

    @property
    def requests(self) -> int:
        """Number of requests that run or are queued there."""
        return self.running + self.waiting

    @property
    def total_slowness(self) -> float:
        """How long work takes there by all that is known."""
        return _limit(self.slowness * self.learned)


UNKNOWN_LOAD = LoadReport(is_known=False)


@dataclasses.dataclass(slots=True)
class _Known:
    """The reports of an endpoint.

    Attributes:
        last: The latest report.
        at: When it arrived.
        weight: Weight of all reports at that time.
        log_sum: Weighted sum of the logarithms of their slowness.
        computed: What was computed from them last; None if they changed since.
        computed_at: When it was computed.
    """

    last: LoadReport
    at: float
    weight: float = 0.0
    log_sum: float = 0.0
    computed: LoadReport | None = None
    computed_at: float = 0.0

    def compute_log_mean(self, decay: float) -> float:
        """Returns the logarithm of the mean slowness.

        Args:
            decay: Share of their weight that the reports still have.
        """
        return self.log_sum * decay / (self.weight * decay + _USUAL_WEIGHT)


class ReportTable:
    """The latest reports of endpoints, by incarnation."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._speeds = speeds_lib.SpeedTable()

    def __len__(self) -> int:
        return len(self._known)

    def record(self, incarnation: str, report: LoadReport, now: float) -> None:
        """Records a report that states a slowness.

        Args:
            incarnation: The endpoint.
            report: What it reports.
            now: When the report arrived, on the monotonic clock.
        """
        known = self._known.setdefault(incarnation, _Known(report, now))
        decay = _compute_decay(known, now)
        log_mean = known.compute_log_mean(decay)
        log_slowness = math.log(_limit(report.slowness))
        log_slowness = min(log_slowness, log_mean + math.log(_MAX_CHANGE))
        log_slowness = max(log_slowness, log_mean - math.log(_MAX_CHANGE))
        if known.weight:
            decay = min(decay, (_MAX_WEIGHT - 1.0) / known.weight)
        known.weight = known.weight * decay + 1.0
        known.log_sum = known.log_sum * decay + log_slowness
        known.last = report
        known.at = now
        known.computed = None

    def record_duration(
        self, incarnation: str, expected_ms: float, took_ms: float, now: float
    ) -> None:
        """Records how long an endpoint took for work; see ``speeds``.

        Args:
            incarnation: The endpoint.
            expected_ms: Time that was expected, by the slowness reported then.
            took_ms: Time that it took.
            now: The present time, on the monotonic clock.
        """
        self._speeds.record(incarnation, expected_ms, took_ms, now)

    def read(self, incarnation: str, now: float) -> LoadReport:
        """Returns what is known of an endpoint.

        Args:
            incarnation: The endpoint.
            now: The present time, on the monotonic clock.
        """
        known = self._known.get(incarnation)
        if known is None:
            return UNKNOWN_LOAD
        if known.computed is None or now - known.computed_at > _COMPUTED_S:
            known.computed = self._compute(incarnation, known, now)
            known.computed_at = now
        return known.computed

    def _compute(
        self, incarnation: str, known: _Known, now: float
    ) -> LoadReport:
        """Returns what the reports of an endpoint mean at a time."""
        if now - known.at > _KEEP_S:
            return UNKNOWN_LOAD
        log_mean = known.compute_log_mean(_compute_decay(known, now))
        slowness = _limit(math.exp(log_mean))
        learned = self._speeds.read(incarnation, now)
        if now - known.at > _FRESH_S:
            return LoadReport(slowness=slowness, learned=learned)
        return LoadReport(
            min(known.last.running, _MAX_REQUESTS),
            min(known.last.waiting, _MAX_REQUESTS),
            known.last.slots,
            slowness,
            learned=learned,
            is_fresh=True,
        )

    def list_slowness(self, now: float) -> list[float]:
        """Returns the slowness of each endpoint that reported it lately."""
        reports = [self.read(incarnation, now) for incarnation in self._known]
        return [report.slowness for report in reports if report.is_known]

    def forget_old(self, now: float) -> None:
        """Forgets the reports that no longer count."""
        self._known = {
            incarnation: known
            for incarnation, known in self._known.items()
            if now - known.at <= _KEEP_S
        }
        self._speeds.forget_old(now)


def _compute_decay(known: _Known, now: float) -> float:
    """Returns the share of their weight that reports still have."""
    return math.exp(-max(0.0, now - known.at) / _DECAY_S)


def _limit(slowness: float) -> float:
    """Returns a slowness within the bounds."""
    return min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
