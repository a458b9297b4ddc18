"""Checks invariants against what callers received and servers recorded."""

import collections
import dataclasses
import enum

from sardinewharf import clocks
from sardinewharf.soak import callers
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults as faults_lib
from sardinewharf.soak import journals
from sardinewharf.soak import operators
from sardinewharf.soak import server as server_lib
from sardinewharf.testbed import gateway_harness

# Statuses of a refusal that state that the request has not run.
_NOT_RUN_STATUSES = {408, 421, 429, 503}
# Statuses with which gateways reject requests as invalid.
_REJECTION_STATUSES = {400, 401, 403, 404, 413, 431}
_GUARANTEES = deployment_lib.GUARANTEES
_RECOVERY_S = _GUARANTEES.recovery_ms / 1000
_REVOKE_S = _GUARANTEES.revoke_ms / 1000
_APPLY_S = _GUARANTEES.apply_ms / 1000
# Requests must be served from this long after the last fault on.
_FULL_RECOVERY_S = 12.0
_RETRY_WINDOW_S = _GUARANTEES.retry_window_ms / 1000
_MAX_MEMORY_BYTES = 128 << 20
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
_EVENTS_PER_STREAM = 4
# A gateway's fault affects requests that are sent this soon after its end.
_AFTERMATH_S = 1.0
# Faults are written down slightly later than they begin and end.
_CLOCK_SLACK_S = 0.3
# A gateway that was started accepts connections after this time at most.
_STARTUP_S = 15.0
# A request without an answer after this time was read.
_READ_S = 0.5
# Callers are idle for less than this, so that only lower limits end their
# connections.
_MAX_CALLER_IDLE_MS = 500
# Statuses of failures that a gateway does not blame on the time.
_FAILURE_STATUSES = {500, 502}


class Invariant(enum.Enum):
    """Invariants of a deployment; findings are printed by member name."""

    ONCE = "a request that may not be repeated ran once at most"
    NOT_RUN = "what was refused has not run"
    ANSWER = "an answer is one server's whole answer to that request"
    ORDER = "events come once, in order, and to the end"
    KNOWN = "servers run what callers sent, for the caller's organisation"
    ROUTE = "a request runs at the service of its route"
    REVOKED = "a revoked key is refused in time"
    APPLIED = "a configuration is in force in time"
    DENIED = "what is allowed is not refused as wrong"
    RETRIES = "retries stay within their budget"
    LOST = "what a gateway has read ends with an answer or a refusal"
    CALM = "without a fault, answers are whole and do not fail"
    GONE = "servers stop when the caller has left"
    HOLDER = "one holder for each fencing token"
    CACHE = "no cache is shared by two versions"
    WEIGHTS = "the newest weights are in place"
    RECOVERY = "requests are served once faults are over"
    PROCESS = "processes do not end and stay small"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation of an invariant.

    Attributes:
        invariant: The violated invariant.
        detail: What was observed.
    """

    invariant: Invariant
    detail: str

    def __str__(self) -> str:
        return f"{self.invariant.name}: {self.detail}"


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The faults and planned operations of a soak run.

    Attributes:
        started_at: Monotonic time of the start, in seconds.
        faults: Faults, with times relative to the start.
    """

    started_at: float
    faults: list[faults_lib.Fault]

    def is_fault_free(self, since: float, until: float) -> bool:
        """Returns whether no unplanned fault affects a time span.

        A fault also affects the span if it ended less than the recovery bound
        before it.

        Args:
            since: Monotonic time of the span's start, in seconds.
            until: Monotonic time of the span's end, in seconds.
        """
        start = since - _RECOVERY_S - self.started_at
        end = until - self.started_at
        unplanned = [f for f in self.faults if not f.is_planned]
        return not faults_lib.overlaps(
            unplanned, clocks.Deadline(start), clocks.Deadline(end)
        )

    def affects_gateway(
        self, attempt: callers.Attempt, kinds: tuple[type, ...]
    ) -> bool:
        """Returns whether a fault of an attempt's gateway affects it.

        Args:
            attempt: The attempt.
            kinds: Classes of the faults that are considered. A link's faults
                affect only what passes through the proxy.
        """
        link = "" if attempt.is_direct else f"front-{attempt.gateway}"
        own = [
            fault
            for fault in self.faults
            if isinstance(fault, kinds)
            and fault.name in (attempt.gateway, link)
        ]
        start = attempt.sent_at - _AFTERMATH_S - self.started_at
        end = attempt.ended_at + _CLOCK_SLACK_S - self.started_at
        return faults_lib.overlaps(
            own, clocks.Deadline(start), clocks.Deadline(end)
        )

    def is_gateway_down(self, attempt: callers.Attempt) -> bool:
        """Returns whether a gateway stops, or may not have started yet."""
        return any(
            isinstance(fault, (faults_lib.Kill, faults_lib.Restart))
            and fault.name == attempt.gateway
            and fault.at - _CLOCK_SLACK_S
            < attempt.ended_at - self.started_at
            < fault.until + _STARTUP_S
            for fault in self.faults
        )


class InvariantChecker:
    """Compares callers' attempts with servers' journals.

    Args:
        deployment: Deployment whose servers keep journals.
        pool: Callers whose attempts are checked.
        operator: Records which changes were made, and when.
        timeline: Records which faults were injected, and when.

    Attributes:
        findings: Violated invariants without duplicates, oldest first.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        pool: callers.CallerPool,
        operator: operators.Operator,
        timeline: Timeline,
    ):
        self._deployment = deployment
        self._pool = pool
        self._operator = operator
        self._timeline = timeline
        self._readers = [
            journals.JournalReader(deployment.find_journal(name))
            for name in [*deployment.engines, *deployment.servers]
        ]
        self._arrived: list[journals.Arrived] = []
        self._began: dict[str, list[journals.Began]] = collections.defaultdict(
            list
        )
        self._ended: dict[tuple[str, str], journals.Ended] = {}
        self._holders: dict[int, str] = {}
        self._salts: dict[str, int] = {}
        self.findings: dict[Finding, None] = {}

    def check(self) -> None:
        """Reads new journal entries and checks what must hold at all times."""
        self._read_journals()
        sent = {attempt.request: attempt for attempt in self._pool.attempts}
        for request, runs in self._began.items():
            attempt = sent.get(request)
            if attempt is None:
                self._add_finding(Invariant.KNOWN, f"{request} was never sent")
                continue
            self._check_runs(attempt, runs)
        for attempt in self._pool.attempts:
            if attempt.ended_at:
                self._check_response(attempt)
        for stray in self._pool.strays:
            self._add_finding(Invariant.ANSWER, stray)
        self._check_processes()

    def check_final(self, now: float) -> None:
        """Also checks what must hold long after the last fault.

        Args:
            now: Monotonic time in seconds.
        """
        self.check()
        self._check_wrong_refusals()
        self._check_retries()
        self._check_cancellations()
        self._check_weights()
        self._check_recovery(now)

    def count_served(self) -> int:
        """Returns the number of requests that were served to the end."""
        return sum(
            a.status == 200 and a.is_complete for a in self._pool.attempts
        )

    def _add_finding(self, invariant: Invariant, detail: str) -> None:
        self.findings[Finding(invariant, detail)] = None

    def _read_journals(self) -> None:
        for reader in self._readers:
            for note in reader.read():
                self._process_note(note)

    def _process_note(self, note: journals.AnyNote) -> None:
        match note:
            case journals.Arrived():
                self._arrived.append(note)
            case journals.Began():
                self._began[note.request].append(note)
                self._check_cache(note)
            case journals.Ended():
                self._ended[note.request, note.server] = note
            case journals.Ordered():
                self._check_load_order(note)

    def _check_cache(self, run: journals.Began) -> None:
        if not run.salt:
            return
        weights = self._salts.setdefault(run.salt, run.weights)
        if weights != run.weights:
            self._add_finding(
                Invariant.CACHE,
                f"cache {run.salt} used on weights {weights} and {run.weights}",
            )

    def _check_load_order(self, order: journals.Ordered) -> None:
        holder = self._holders.setdefault(order.fence, order.holder)
        if holder != order.holder:
            self._add_finding(
                Invariant.HOLDER,
                f"fence {order.fence} used by {holder} and {order.holder}",
            )

    def _check_runs(
        self, attempt: callers.Attempt, runs: list[journals.Began]
    ) -> None:
        name = f"{attempt.request} {attempt.path} at {attempt.gateway}"
        if len(runs) > 1 and not attempt.is_repeatable:
            self._add_finding(Invariant.ONCE, f"{name} ran {len(runs)} times")
        if attempt.status in _NOT_RUN_STATUSES and not attempt.is_repeatable:
            self._add_finding(
                Invariant.NOT_RUN, f"{name} ran and got {attempt.status}"
            )
        for run in runs:
            self._check_run(attempt, run)

    def _check_run(self, attempt: callers.Attempt, run: journals.Began) -> None:
        name = f"{attempt.request} at {run.server}"
        if run.has_key or run.organisation != "org-1":
            self._add_finding(
                Invariant.KNOWN,
                f"{name} ran for {run.organisation or 'nobody'}",
            )
        if not run.target.startswith(f"{attempt.path}1?ms="):
            self._add_finding(Invariant.KNOWN, f"{name} ran as {run.target}")
        service = (
            gateway_harness.ENGINES
            if attempt.is_stream
            else gateway_harness.ORDERS
        )
        if run.service != service:
            self._add_finding(Invariant.ROUTE, f"{name} ran at {run.service}")
        change = self._operator.revoked.get(attempt.key)
        if change and attempt.sent_at > change.at + _REVOKE_S:
            late_s = attempt.sent_at - change.at
            self._add_finding(
                Invariant.REVOKED,
                f"{name} ran {late_s:.2f} s after its key was revoked",
            )

    def _check_response(self, attempt: callers.Attempt) -> None:
        name = f"{attempt.request} {attempt.path} at {attempt.gateway}"
        runs = self._began.get(attempt.request, [])
        if attempt.status == 200:
            if attempt.stamp not in {f"{run.server}.stamp" for run in runs}:
                self._add_finding(
                    Invariant.ANSWER, f"{name} came from {attempt.stamp!r}"
                )
            if attempt.is_stream:
                self._check_events(attempt, name)
            else:
                self._check_body(attempt, name)
        elif attempt.status == 404 and self._must_have_route(attempt):
            self._add_finding(Invariant.APPLIED, f"{name} has no route")
        if attempt.answered_request not in ("", attempt.request):
            self._add_finding(
                Invariant.ANSWER,
                f"{name} received the response to {attempt.answered_request}",
            )
        self._check_end(attempt, name, has_run=bool(runs))

    def _check_end(
        self, attempt: callers.Attempt, name: str, *, has_run: bool
    ) -> None:
        """Checks that a response is not missing, cut or a failure."""
        if attempt.disconnected_at or self._is_out_of_time(attempt):
            return
        took_s = attempt.ended_at - attempt.sent_at
        end = f"after {took_s:.2f} s{_describe_connection(attempt)}"
        if attempt.status == 0:
            if self._was_read(attempt, has_run) and self._is_unharmed(attempt):
                verb = "ran" if has_run else "was read"
                self._add_finding(
                    Invariant.LOST, f"{name} {verb} but got no response {end}"
                )
        elif attempt.is_half_closed or not self._timeline.is_fault_free(
            attempt.sent_at, attempt.ended_at
        ):
            # A caller that closes its sending direction may have left, so that
            # any answer will do.
            return
        elif not attempt.is_complete:
            self._add_finding(Invariant.CALM, f"{name} was cut {end}")
        elif attempt.status in _FAILURE_STATUSES and not attempt.stamp:
            self._add_finding(
                Invariant.CALM, f"{name} failed with {attempt.status} {end}"
            )

    def _is_out_of_time(self, attempt: callers.Attempt) -> bool:
        """Returns whether an attempt may have ended at its time limit."""
        timeouts_ms = self._operator.list_overrides(
            operators.Override.TIMEOUT_MS, attempt.sent_at, attempt.ended_at
        )
        limit_ms = min([callers.DEADLINE_MS, *timeouts_ms])
        return attempt.ended_at - attempt.sent_at >= limit_ms / 1000

    def _was_read(self, attempt: callers.Attempt, has_run: bool) -> bool:
        """Returns whether a gateway must have read an attempt.

        A request that did not run may have crossed the close of a connection.
        """
        if has_run or attempt.ended_at - attempt.sent_at > _READ_S:
            return True
        limits_ms = self._operator.list_overrides(
            operators.Override.IDLE_LIMIT_MS, attempt.sent_at, attempt.ended_at
        )
        may_be_idle = attempt.is_reused and any(
            limit_ms < _MAX_CALLER_IDLE_MS for limit_ms in limits_ms
        )
        return attempt.was_sent and not (
            may_be_idle or self._timeline.is_gateway_down(attempt)
        )

    def _is_unharmed(self, attempt: callers.Attempt) -> bool:
        """Returns whether no fault of its gateway affects an attempt."""
        harmful = (faults_lib.Kill, faults_lib.Pause, faults_lib.LinkFault)
        return not self._timeline.affects_gateway(attempt, harmful)

    def _check_body(self, attempt: callers.Attempt, name: str) -> None:
        expected = server_lib.make_response_body(attempt.request)
        if attempt.is_complete and attempt.body != expected:
            self._add_finding(
                Invariant.ANSWER, f"{name} received {attempt.body!r}"
            )
        if not expected.startswith(attempt.body):
            self._add_finding(
                Invariant.ANSWER,
                f"{name} received the wrong start {attempt.body!r}",
            )

    def _check_events(self, attempt: callers.Attempt, name: str) -> None:
        expected = b"".join(
            server_lib.make_event(attempt.request, number)
            for number in range(1, _EVENTS_PER_STREAM + 1)
        )
        if attempt.is_complete and attempt.body != expected:
            self._add_finding(
                Invariant.ORDER, f"{name} received {attempt.body!r}"
            )
        if not expected.startswith(attempt.body):
            self._add_finding(
                Invariant.ORDER,
                f"{name} received the wrong start {attempt.body!r}",
            )

    def _must_have_route(self, attempt: callers.Attempt) -> bool:
        """Returns whether the route was added long enough before the send."""
        added = {change.name: change.at for change in self._operator.routes}
        since = added.get(attempt.path)
        if since is None or attempt.sent_at < since + _APPLY_S:
            return False
        return self._timeline.is_fault_free(attempt.sent_at, attempt.sent_at)

    def _check_processes(self) -> None:
        for name in self._deployment.list_unexpected_exits():
            code = self._deployment.processes[name].popen.returncode
            self._add_finding(Invariant.PROCESS, f"{name} ended with {code}")
        for name in self._deployment.gateways:
            process = self._deployment.processes.get(name)
            if process is None or not process.is_live:
                continue
            if process.read_memory() > _MAX_MEMORY_BYTES:
                self._add_finding(
                    Invariant.PROCESS, f"{name} uses too much memory"
                )

    def _check_wrong_refusals(self) -> None:
        attempts = self._pool.attempts
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
            self._add_finding(
                Invariant.DENIED,
                f"{len(rejected)} valid requests were rejected, for example"
                f" {first.request} with {first.status}",
            )

    def _was_dropped(self, attempt: callers.Attempt) -> bool:
        """Returns whether a configuration without the route was in force."""
        dropped = self._operator.list_overrides(
            operators.Override.ROUTE, attempt.sent_at, attempt.ended_at
        )
        return attempt.path.strip("/") in dropped

    def _check_retries(self) -> None:
        for service in (gateway_harness.ENGINES, gateway_harness.ORDERS):
            notes = [n for n in self._arrived if n.service == service]
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
                    self._add_finding(
                        Invariant.RETRIES,
                        f"{len(retries)} retries beside"
                        f" {len(first_attempts)} requests at {service}",
                    )
                    break

    def _check_cancellations(self) -> None:
        uncancelled, disconnected = 0, 0
        for attempt in self._pool.attempts:
            left_at = attempt.disconnected_at or (
                attempt.sent_at if attempt.is_half_closed else 0.0
            )
            end = left_at + _CANCEL_S
            if not left_at or not attempt.is_repeatable:
                continue
            if not self._timeline.is_fault_free(attempt.sent_at, end):
                continue
            disconnected += 1
            uncancelled += any(
                self._ended[run.request, run.server].at > end
                for run in self._began.get(attempt.request, [])
                if (run.request, run.server) in self._ended
            )
        if uncancelled > max(
            _MAX_UNCANCELLED, _MAX_UNCANCELLED_SHARE * disconnected
        ):
            self._add_finding(
                Invariant.GONE,
                f"{uncancelled} of {disconnected} ran on after disconnects",
            )

    def _check_weights(self) -> None:
        if not self._operator.target_versions:
            return
        target_version = int(self._operator.target_versions[-1].name)
        outdated = [
            name
            for name in self._deployment.engines
            if self._deployment.read_weights_version(name) != target_version
        ]
        if outdated:
            self._add_finding(
                Invariant.WEIGHTS,
                f"{', '.join(outdated)} not on version {target_version}",
            )

    def _check_recovery(self, now: float) -> None:
        last = max((f.until for f in self._timeline.faults), default=0.0)
        since = self._timeline.started_at + last + _FULL_RECOVERY_S
        until = now - callers.DEADLINE_MS / 1000
        eligible = [
            a
            for a in self._pool.attempts
            if since < a.sent_at < until
            and a.key in operators.PERMANENT_KEYS
            and not (a.disconnected_at or a.is_half_closed)
        ]
        served = [a for a in eligible if a.status == 200 and a.is_complete]
        if len(served) < _MIN_SERVED_SHARE * len(eligible) or not eligible:
            self._add_finding(
                Invariant.RECOVERY,
                f"{len(served)} of {len(eligible)} were served",
            )


def _drop_before(times: collections.deque[float], since: float) -> None:
    while times and times[0] < since:
        times.popleft()


def _describe_connection(attempt: callers.Attempt) -> str:
    traits = {
        "in use again": attempt.is_reused,
        "half-closed": attempt.is_half_closed,
    }
    found = [trait for trait, applies in traits.items() if applies]
    return f", {', '.join(found)}" if found else ""
