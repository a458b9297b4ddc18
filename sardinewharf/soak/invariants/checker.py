"""Runs all checks of a soak run."""

from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import operators
from sardinewharf.soak.invariants import backoffs
from sardinewharf.soak.invariants import checks
from sardinewharf.soak.invariants import crashes
from sardinewharf.soak.invariants import drains
from sardinewharf.soak.invariants import engines
from sardinewharf.soak.invariants import hostile
from sardinewharf.soak.invariants import parts
from sardinewharf.soak.invariants import processes
from sardinewharf.soak.invariants import records
from sardinewharf.soak.invariants import responses
from sardinewharf.soak.invariants import runs
from sardinewharf.soak.invariants import timelines
from sardinewharf.soak.invariants import totals

_CHECKS = (
    runs.RunCheck,
    engines.EngineCheck,
    responses.ResponseCheck,
    drains.DrainCheck,
    backoffs.BackoffCheck,
    crashes.CrashCheck,
    parts.SoundCheck,
    processes.ProcessCheck,
    hostile.HostileCheck,
    totals.TotalCheck,
)


class InvariantChecker:
    """Compares callers' attempts with servers' journals.

    Args:
        deployment: Deployment whose servers keep journals.
        pool: Callers whose attempts are checked.
        operator: Records which changes were made, and when.
        timeline: Records which faults were injected, and when.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        pool: callers.CallerPool,
        operator: operators.Operator,
        timeline: timelines.Timeline,
    ):
        self._record = records.Record(deployment, pool, operator, timeline)
        self._checks = [check(self._record) for check in _CHECKS]

    @property
    def findings(self) -> list[checks.Finding]:
        """Violated invariants without duplicates."""
        return [finding for row in self._checks for finding in row.findings]

    def check(self) -> None:
        """Reads new journal entries and checks what must hold at all times."""
        self._record.read_journals()
        for row in self._checks:
            row.check()

    def sample(self) -> None:
        """Measures what may change between two checks."""
        for row in self._checks:
            row.sample()

    def check_final(self, now: float) -> None:
        """Also checks what must hold long after the last fault.

        Args:
            now: Monotonic time in seconds.
        """
        self.check()
        for row in self._checks:
            row.check_final(now)

    def count_served(self) -> int:
        """Returns the number of requests that were served to the end."""
        return sum(
            a.status == 200 and a.is_complete
            for a in self._record.pool.attempts
        )
