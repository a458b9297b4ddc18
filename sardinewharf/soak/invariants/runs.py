"""Checks what servers ran: how often, for whom and where."""

from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import journals
from sardinewharf.soak.invariants import checks
from sardinewharf.testbed import gateway_harness

# Statuses of a refusal that state that the request has not run.
_NOT_RUN_STATUSES = {408, 421, 429, 503}
_REVOKE_S = deployment_lib.GUARANTEES.revoke_ms / 1000


class RunCheck(checks.Check):
    """Compares the runs of each request with what its caller sent."""

    def check(self) -> None:
        """Checks all runs."""
        sent = self.record.list_attempts()
        for request, runs in self.record.began.items():
            attempt = sent.get(request)
            if attempt is None:
                self.add_finding(
                    checks.Invariant.KNOWN, f"{request} was never sent"
                )
                continue
            self._check_runs(attempt, runs)

    def _check_runs(
        self, attempt: callers.Attempt, runs: list[journals.Began]
    ) -> None:
        name = f"{attempt.request} {attempt.path} at {attempt.gateway}"
        if len(runs) > 1 and not attempt.is_repeatable:
            self.add_finding(
                checks.Invariant.ONCE, f"{name} ran {len(runs)} times"
            )
        if attempt.status in _NOT_RUN_STATUSES and not attempt.is_repeatable:
            self.add_finding(
                checks.Invariant.NOT_RUN, f"{name} ran and got {attempt.status}"
            )
        for run in runs:
            self._check_run(attempt, run)

    def _check_run(self, attempt: callers.Attempt, run: journals.Began) -> None:
        name = f"{attempt.request} at {run.server}"
        if run.has_key or run.organisation != "org-1":
            self.add_finding(
                checks.Invariant.KNOWN,
                f"{name} ran for {run.organisation or 'nobody'}",
            )
        if not run.target.startswith(f"{attempt.path}1?ms="):
            self.add_finding(
                checks.Invariant.KNOWN, f"{name} ran as {run.target}"
            )
        service = (
            gateway_harness.ENGINES
            if attempt.is_stream
            else gateway_harness.ORDERS
        )
        if run.service != service:
            self.add_finding(
                checks.Invariant.ROUTE, f"{name} ran at {run.service}"
            )
        change = self.record.operator.revoked.get(attempt.key)
        if change and attempt.sent_at > change.at + _REVOKE_S:
            late_s = attempt.sent_at - change.at
            self.add_finding(
                checks.Invariant.REVOKED,
                f"{name} ran {late_s:.2f} s after its key was revoked",
            )
