"""Checks what each caller received."""

from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak import operators
from sardinewharf.soak import server as server_lib
from sardinewharf.soak.invariants import checks

_APPLY_S = deployment_lib.GUARANTEES.apply_ms / 1000
_EVENTS_PER_STREAM = 4
# A server that is told to leave has exited after this time.
_EXIT_S = 5.0
# Streams that are sent this soon after a stop signal may be cut at its end.
_CUT_S = 3.0
# A request without an answer after this time was read.
_READ_S = 0.5
# A gateway closes a new connection on which no request begins within the time
# for its head. A caller that was stopped meanwhile sends it after that.
_SLOW_CONNECT_S = 0.28
# Callers are idle for less than this, so that only lower limits end their
# connections.
_MAX_CALLER_IDLE_MS = 500
# Statuses of failures that a gateway does not blame on the time.
_FAILURE_STATUSES = {500, 502}


class ResponseCheck(checks.Check):
    """Checks that each response is whole, right and not missing."""

    def check(self) -> None:
        """Checks the responses of all attempts that have ended."""
        for attempt in self.record.pool.attempts:
            if attempt.ended_at:
                self._check_response(attempt)
        for stray in self.record.pool.strays:
            self.add_finding(checks.Invariant.ANSWER, stray)

    def _check_response(self, attempt: callers.Attempt) -> None:
        name = f"{attempt.request} {attempt.path} at {attempt.gateway}"
        runs = self.record.list_runs(attempt.request)
        if attempt.status == 200:
            if attempt.stamp not in {f"{run.server}.stamp" for run in runs}:
                self.add_finding(
                    checks.Invariant.ANSWER,
                    f"{name} came from {attempt.stamp!r}",
                )
            if attempt.is_stream:
                self._check_events(attempt, name)
            else:
                self._check_body(attempt, name)
        elif attempt.status == 500 and not attempt.stamp:
            self.add_finding(
                checks.Invariant.INTERNAL, f"{name} failed with 500"
            )
        elif attempt.status == 404 and self._must_have_route(attempt):
            self.add_finding(checks.Invariant.APPLIED, f"{name} has no route")
        if attempt.answered_request not in ("", attempt.request):
            self.add_finding(
                checks.Invariant.ANSWER,
                f"{name} received the response to {attempt.answered_request}",
            )
        self._check_end(attempt, name, has_run=bool(runs))

    def _check_end(
        self, attempt: callers.Attempt, name: str, *, has_run: bool
    ) -> None:
        """Checks that a response is not missing, cut or a failure."""
        if attempt.disconnected_at or self.record.is_out_of_time(attempt):
            return
        took_s = attempt.ended_at - attempt.sent_at
        end = f"after {took_s:.2f} s{_describe_connection(attempt)}"
        stop_at = self.record.timeline.find_stop(attempt)
        if attempt.status == 0:
            if self._was_read(attempt, has_run) and self._is_unharmed(attempt):
                verb = "ran" if has_run else "was read"
                self.add_finding(
                    checks.Invariant.LOST,
                    f"{name} {verb} but got no response {end}",
                )
        elif attempt.is_long and stop_at is not None:
            # It may outlast the shutdown of its gateway, which ends it then.
            if attempt.sent_at > stop_at + _CUT_S:
                self._check_late_end(attempt, f"{name} was cut {end}")
        elif attempt.is_long and self._has_server_left(attempt):
            return
        elif attempt.is_half_closed or not self.record.timeline.is_fault_free(
            attempt.sent_at, attempt.ended_at
        ):
            # A caller that closes its sending direction may have left, so that
            # any answer will do.
            return
        elif not attempt.is_complete:
            self.add_finding(checks.Invariant.CALM, f"{name} was cut {end}")
        elif attempt.status in _FAILURE_STATUSES and not attempt.stamp:
            self.add_finding(
                checks.Invariant.CALM,
                f"{name} failed with {attempt.status} {end}",
            )

    def _check_late_end(self, attempt: callers.Attempt, detail: str) -> None:
        """Checks that a stream is not cut that began late in a shutdown."""
        is_server_harmed = self.record.timeline.affects_any(
            self._list_servers(attempt), attempt.sent_at, attempt.ended_at
        )
        if (
            not attempt.is_complete
            and not is_server_harmed
            and self._is_unharmed(attempt)
        ):
            self.add_finding(checks.Invariant.LOST, detail)

    def _has_server_left(self, attempt: callers.Attempt) -> bool:
        """Returns whether a server may have exited while it worked."""
        return self.record.timeline.affects_any(
            self._list_servers(attempt),
            attempt.sent_at - _EXIT_S,
            attempt.ended_at,
            (faults_lib.Leave,),
        )

    def _list_servers(self, attempt: callers.Attempt) -> set[str]:
        """Returns the names of the servers that ran an attempt."""
        runs = self.record.list_runs(attempt.request)
        return {run.server.split(".")[0] for run in runs}

    def _was_read(self, attempt: callers.Attempt, has_run: bool) -> bool:
        """Returns whether a gateway must have read an attempt.

        A request that did not run may have crossed the close of a connection.
        """
        if has_run or attempt.ended_at - attempt.sent_at > _READ_S:
            return True
        limits_ms = self.record.operator.list_overrides(
            operators.Override.IDLE_LIMIT_MS, attempt.sent_at, attempt.ended_at
        )
        may_be_idle = attempt.is_reused and any(
            limit_ms < _MAX_CALLER_IDLE_MS for limit_ms in limits_ms
        )
        may_be_slow = attempt.connecting_s > _SLOW_CONNECT_S
        return attempt.was_sent and not (
            may_be_idle
            or may_be_slow
            or self.record.timeline.is_gateway_down(attempt)
        )

    def _is_unharmed(self, attempt: callers.Attempt) -> bool:
        """Returns whether no fault of its gateway affects an attempt."""
        harmful = (faults_lib.Kill, faults_lib.Pause, faults_lib.LinkFault)
        return not self.record.timeline.affects_gateway(attempt, harmful)

    def _check_body(self, attempt: callers.Attempt, name: str) -> None:
        expected = server_lib.make_response_body(attempt.request)
        if attempt.is_complete and attempt.body != expected:
            self.add_finding(
                checks.Invariant.ANSWER, f"{name} received {attempt.body!r}"
            )
        if not expected.startswith(attempt.body):
            self.add_finding(
                checks.Invariant.ANSWER,
                f"{name} received the wrong start {attempt.body!r}",
            )

    def _check_events(self, attempt: callers.Attempt, name: str) -> None:
        expected = b"".join(
            server_lib.make_event(attempt.request, number)
            for number in range(1, _EVENTS_PER_STREAM + 1)
        )
        if attempt.is_complete and attempt.body != expected:
            self.add_finding(
                checks.Invariant.ORDER, f"{name} received {attempt.body!r}"
            )
        if not expected.startswith(attempt.body):
            self.add_finding(
                checks.Invariant.ORDER,
                f"{name} received the wrong start {attempt.body!r}",
            )

    def _must_have_route(self, attempt: callers.Attempt) -> bool:
        """Returns whether the route was added long enough before the send."""
        added = {
            change.name: change.at for change in self.record.operator.routes
        }
        since = added.get(attempt.path)
        if since is None or attempt.sent_at < since + _APPLY_S:
            return False
        return self.record.timeline.is_fault_free(
            attempt.sent_at, attempt.sent_at
        )


def _describe_connection(attempt: callers.Attempt) -> str:
    traits = {
        "in use again": attempt.is_reused,
        "half-closed": attempt.is_half_closed,
    }
    found = [trait for trait, applies in traits.items() if applies]
    return f", {', '.join(found)}" if found else ""
