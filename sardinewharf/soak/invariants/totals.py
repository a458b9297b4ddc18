"""Checks counts of requests over a whole soak run."""

import collections

from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import operators
from sardinewharf.soak.invariants import checks
from sardinewharf.testbed import gateway_harness

_GUARANTEES = deployment_lib.GUARANTEES
# Statuses with which gateways reject requests as invalid.
_REJECTION_STATUSES = {400, 401, 403, 404, 413, 431}
# Requests must be served from this long after the last fault on.
_FULL_RECOVERY_S = 12.0
_RETRY_WINDOW_S = _GUARANTEES.retry_window_ms / 1000
# A server must stop a request this long after its caller disconnected.
_CANCEL_S = 0.5
_MAX_UNCANCELLED_SHARE = 0.25
# Tolerated in any case, since a share of few callers means little.
_MAX_UNCANCELLED = 4
# Tolerated rejections of valid requests: these, plus one in so many requests.
_MAX_WRONG_REFUSALS = 5
_REQUESTS_PER_WRONG_REFUSAL = 500
# Share of requests that must be served once all faults are over.
_MIN_SERVED_SHARE = 0.95


class TotalCheck(checks.Check):
    """Checks rejections, retries, cancellations and the recovery."""

    def check(self) -> None:
        """Checks nothing, since a part of a run says little."""

    def check_final(self, now: float) -> None:
        """Checks all counts."""
        self._check_wrong_refusals()
        self._check_retries()
        self._check_cancellations()
        self._check_recovery(now)

    def _check_wrong_refusals(self) -> None:
        attempts = self.record.pool.attempts
        allowed = [a for a in attempts if a.key in operators.PERMANENT_KEYS]
        on_initial_routes = [
            a
            for a in allowed
            if not a.path.startswith("/new-") and not self._was_dropped(a)
        ]
        rejected = [
            a
            for a in on_initial_routes
            if a.status in _REJECTION_STATUSES and not a.stamp
        ]
        if (
            len(rejected)
            > _MAX_WRONG_REFUSALS + len(attempts) / _REQUESTS_PER_WRONG_REFUSAL
        ):
            first = rejected[0]
            self.add_finding(
                checks.Invariant.DENIED,
                f"{len(rejected)} valid requests were rejected, for example"
                f" {first.request} with {first.status}",
            )

    def _was_dropped(self, attempt: callers.Attempt) -> bool:
        """Returns whether a configuration without the route was in force."""
        dropped = self.record.operator.list_overrides(
            operators.Override.ROUTE, attempt.sent_at, attempt.ended_at
        )
        return attempt.path.strip("/") in dropped

    def _check_retries(self) -> None:
        for service in (gateway_harness.ENGINES, gateway_harness.ORDERS):
            notes = [n for n in self.record.arrived if n.service == service]
            notes.sort(key=lambda note: note.at)
            known_requests: set[str] = set()
            first_attempts: collections.deque[float] = collections.deque()
            retries: collections.deque[float] = collections.deque()
            for note in notes:
                (
                    retries
                    if note.request in known_requests
                    else first_attempts
                ).append(note.at)
                known_requests.add(note.request)
                _drop_before(retries, note.at - _RETRY_WINDOW_S)
                _drop_before(first_attempts, note.at - _RETRY_WINDOW_S)
                allowed = _GUARANTEES.retry_ratio * len(first_attempts)
                if len(retries) > allowed + _GUARANTEES.retry_extra:
                    self.add_finding(
                        checks.Invariant.RETRIES,
                        f"{len(retries)} retries beside"
                        f" {len(first_attempts)} requests at {service}",
                    )
                    break

    def _check_cancellations(self) -> None:
        uncancelled, disconnected = 0, 0
        for attempt in self.record.pool.attempts:
            left_at = attempt.disconnected_at or (
                attempt.sent_at if attempt.is_half_closed else 0.0
            )
            end = left_at + _CANCEL_S
            if not left_at or not attempt.is_repeatable:
                continue
            if not self.record.timeline.is_fault_free(attempt.sent_at, end):
                continue
            disconnected += 1
            uncancelled += any(
                self.record.ended[run.request, run.server].at > end
                for run in self.record.list_runs(attempt.request)
                if (run.request, run.server) in self.record.ended
            )
        if uncancelled > max(
            _MAX_UNCANCELLED, _MAX_UNCANCELLED_SHARE * disconnected
        ):
            self.add_finding(
                checks.Invariant.GONE,
                f"{uncancelled} of {disconnected} ran on after disconnects",
            )

    def _check_recovery(self, now: float) -> None:
        last = max((f.until for f in self.record.timeline.faults), default=0.0)
        since = self.record.timeline.started_at + last + _FULL_RECOVERY_S
        until = now - callers.DEADLINE_MS / 1000
        eligible = [
            a
            for a in self.record.pool.attempts
            if since < a.sent_at < until
            and a.key in operators.PERMANENT_KEYS
            and not (a.disconnected_at or a.is_half_closed)
        ]
        served = [a for a in eligible if a.status == 200 and a.is_complete]
        if len(served) < _MIN_SERVED_SHARE * len(eligible) or not eligible:
            self.add_finding(
                checks.Invariant.RECOVERY,
                f"{len(served)} of {len(eligible)} were served",
            )


def _drop_before(times: collections.deque[float], since: float) -> None:
    while times and times[0] < since:
        times.popleft()
