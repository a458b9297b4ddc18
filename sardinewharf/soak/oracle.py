"""Checks the promises from what callers got and what servers saw."""

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
from sardinewharf.testbed import platform_rig

_NOT_RUN = {408, 421, 429, 503}
_OWN_REFUSALS = {400, 401, 403, 404, 413, 431}
_PROMISES = deployment_lib.PROMISES
_CONTACT_S = _PROMISES.recovery_ms / 1000
_REVOKE_S = _PROMISES.revoke_ms / 1000
_APPLY_S = _PROMISES.apply_ms / 1000
_RECOVER_S = 12.0
_RETRY_WINDOW_S = _PROMISES.retry_window_ms / 1000
_MEMORY_BYTES = 128 << 20
# A server stops this long after its caller has left, in seconds.
_GONE_S = 0.5
_GONE_SHARE = 0.25
# Callers that left, below which a share says nothing.
_GONE_LEAST = 4
# Refusals of what is allowed: a few, and one in so many requests.
_DENIED_FEW = 5
_DENIED_IN = 500
# Share of the requests that is served once all faults are over.
_SERVED_SHARE = 0.95
_GRACE_S = _PROMISES.grace_ms / 1000
_GRACE_END = 5 / 6
_EVENTS = 4


class Promise(enum.Enum):
    """What a finding breaks."""

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
    LOST = "planned work costs no request"
    GONE = "servers stop when the caller has left"
    HOLDER = "one holder for each fencing token"
    CACHE = "no cache is shared by two versions"
    WEIGHTS = "the newest weights are in place"
    RECOVERY = "requests are served once faults are over"
    PROCESS = "processes do not end and stay small"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise.

    Attributes:
        promise: Which.
        what: What was seen.
    """

    promise: Promise
    what: str

    def __str__(self) -> str:
        return f"{self.promise.name}: {self.what}"


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """What was done to a deployment, and by whom.

    Attributes:
        started_at: Monotonic time of the start, in seconds.
        faults: Faults, their times counted from the start.
    """

    started_at: float
    faults: list[faults_lib.Fault]

    def is_calm(self, since: float, until: float) -> bool:
        """Returns whether only planned work touches a span.

        The bound of contact counts before the span.
        """
        begin = since - _CONTACT_S - self.started_at
        end = until - self.started_at
        harms = [f for f in self.faults if not f.is_planned]
        return not faults_lib.overlaps(
            harms, clocks.Deadline(begin), clocks.Deadline(end)
        )


class Oracle:
    """Reads journals and attempts, and collects findings.

    Args:
        deployment: Whose servers keep journals.
        pool: Whose attempts are checked.
        operator: Says what was changed, and when.
        timeline: Says what was harmed, and when.

    Attributes:
        findings: Broken promises, each once.
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
        """Reads what is new, and checks what holds at all times."""
        self._read()
        sent = {attempt.request: attempt for attempt in self._pool.attempts}
        for request, runs in self._began.items():
            attempt = sent.get(request)
            if attempt is None:
                self._find(Promise.KNOWN, f"{request} was never sent")
                continue
            self._check_runs(attempt, runs)
        for attempt in self._pool.attempts:
            if attempt.ended_at:
                self._check_answer(attempt)
        self._check_processes()

    def check_end(self, now: float) -> None:
        """Checks what holds once all faults have been over for long."""
        self.check()
        self._check_denied()
        self._check_retries()
        self._check_gone()
        self._check_weights()
        self._check_recovery(now)

    def count_served(self) -> int:
        """Returns how many requests were served."""
        return sum(a.status == 200 and a.is_whole for a in self._pool.attempts)

    def _find(self, promise: Promise, what: str) -> None:
        self.findings[Finding(promise, what)] = None

    def _read(self) -> None:
        for reader in self._readers:
            for note in reader.read():
                self._take(note)

    def _take(self, note: journals.AnyNote) -> None:
        match note:
            case journals.Arrived():
                self._arrived.append(note)
            case journals.Began():
                self._began[note.request].append(note)
                self._check_cache(note)
            case journals.Ended():
                self._ended[note.request, note.server] = note
            case journals.Ordered():
                self._check_order(note)

    def _check_cache(self, run: journals.Began) -> None:
        if not run.salt:
            return
        weights = self._salts.setdefault(run.salt, run.weights)
        if weights != run.weights:
            self._find(
                Promise.CACHE,
                f"cache {run.salt} used on weights {weights} and {run.weights}",
            )

    def _check_order(self, order: journals.Ordered) -> None:
        holder = self._holders.setdefault(order.fence, order.holder)
        if holder != order.holder:
            self._find(
                Promise.HOLDER,
                f"fence {order.fence} used by {holder} and {order.holder}",
            )

    def _check_runs(
        self, attempt: callers.Attempt, runs: list[journals.Began]
    ) -> None:
        name = f"{attempt.request} {attempt.path} at {attempt.gateway}"
        if len(runs) > 1 and not attempt.may_repeat:
            self._find(Promise.ONCE, f"{name} ran {len(runs)} times")
        if attempt.status in _NOT_RUN and not attempt.may_repeat:
            self._find(Promise.NOT_RUN, f"{name} ran and got {attempt.status}")
        for run in runs:
            self._check_run(attempt, run)

    def _check_run(self, attempt: callers.Attempt, run: journals.Began) -> None:
        name = f"{attempt.request} at {run.server}"
        if run.has_key or run.organisation != "org-1":
            self._find(
                Promise.KNOWN, f"{name} ran for {run.organisation or 'nobody'}"
            )
        if not run.target.startswith(f"{attempt.path}1?ms="):
            self._find(Promise.KNOWN, f"{name} ran as {run.target}")
        service = (
            platform_rig.ENGINES if attempt.is_stream else platform_rig.ORDERS
        )
        if run.service != service:
            self._find(Promise.ROUTE, f"{name} ran at {run.service}")
        change = self._operator.revoked.get(attempt.key)
        if change and attempt.sent_at > change.at + _REVOKE_S:
            late_s = attempt.sent_at - change.at
            self._find(
                Promise.REVOKED, f"{name} ran {late_s:.2f} s after its key went"
            )

    def _check_answer(self, attempt: callers.Attempt) -> None:
        name = f"{attempt.request} {attempt.path} at {attempt.gateway}"
        runs = self._began.get(attempt.request, [])
        if attempt.status == 200:
            if attempt.stamp not in {f"{run.server}.stamp" for run in runs}:
                self._find(Promise.ANSWER, f"{name} bears {attempt.stamp!r}")
            if attempt.is_stream:
                self._check_events(attempt, name)
            else:
                self._check_body(attempt, name)
        elif attempt.status == 404 and self._must_serve(attempt):
            self._find(Promise.APPLIED, f"{name} has no route")
        elif attempt.status == 0 and runs and self._is_lost(attempt):
            self._find(Promise.LOST, f"{name} was read and got no answer")

    def _check_body(self, attempt: callers.Attempt, name: str) -> None:
        right = server_lib.make_answer(attempt.request)
        if attempt.is_whole and attempt.body != right:
            self._find(Promise.ANSWER, f"{name} got {attempt.body!r}")
        if not right.startswith(attempt.body):
            self._find(Promise.ANSWER, f"{name} began {attempt.body!r}")

    def _check_events(self, attempt: callers.Attempt, name: str) -> None:
        right = b"".join(
            server_lib.make_event(attempt.request, number)
            for number in range(1, _EVENTS + 1)
        )
        if attempt.is_whole and attempt.body != right:
            self._find(Promise.ORDER, f"{name} got {attempt.body!r}")
        if not right.startswith(attempt.body):
            self._find(Promise.ORDER, f"{name} began {attempt.body!r}")

    def _must_serve(self, attempt: callers.Attempt) -> bool:
        added = {change.name: change.at for change in self._operator.routes}
        since = added.get(attempt.path)
        if since is None or attempt.sent_at < since + _APPLY_S:
            return False
        return self._timeline.is_calm(attempt.sent_at, attempt.sent_at)

    def _is_lost(self, attempt: callers.Attempt) -> bool:
        if attempt.left_at:
            return False
        last_s = _GRACE_S * (1 - _GRACE_END)
        return (
            attempt.ended_at - attempt.sent_at < callers.BUDGET_MS / 1000
            and self._timeline.is_calm(
                attempt.sent_at, attempt.ended_at + last_s
            )
        )

    def _check_processes(self) -> None:
        for name in self._deployment.list_ended():
            code = self._deployment.processes[name].popen.returncode
            self._find(Promise.PROCESS, f"{name} ended with {code}")
        for name in self._deployment.gateways:
            process = self._deployment.processes.get(name)
            if process is None or not process.is_live:
                continue
            if process.read_memory() > _MEMORY_BYTES:
                self._find(Promise.PROCESS, f"{name} has grown too large")

    def _check_denied(self) -> None:
        attempts = self._pool.attempts
        allowed = [a for a in attempts if a.key in operators.SAFE_KEYS]
        old = [a for a in allowed if not a.path.startswith("/new-")]
        denied = [a for a in old if a.status in _OWN_REFUSALS and not a.stamp]
        if len(denied) > _DENIED_FEW + len(attempts) / _DENIED_IN:
            first = denied[0]
            self._find(
                Promise.DENIED,
                f"{len(denied)} requests, as {first.request}: {first.status}",
            )

    def _check_retries(self) -> None:
        for service in (platform_rig.ENGINES, platform_rig.ORDERS):
            notes = [n for n in self._arrived if n.service == service]
            notes.sort(key=lambda note: note.at)
            seen: set[str] = set()
            firsts: collections.deque[float] = collections.deque()
            again: collections.deque[float] = collections.deque()
            for note in notes:
                (again if note.request in seen else firsts).append(note.at)
                seen.add(note.request)
                _drop_before(again, note.at - _RETRY_WINDOW_S)
                _drop_before(firsts, note.at - _RETRY_WINDOW_S)
                allowed = _PROMISES.retry_ratio * len(firsts)
                if len(again) > allowed + _PROMISES.retry_extra:
                    self._find(
                        Promise.RETRIES,
                        f"{len(again)} retries beside {len(firsts)} requests"
                        f" at {service}",
                    )
                    break

    def _check_gone(self) -> None:
        late, left = 0, 0
        for attempt in self._pool.attempts:
            end = attempt.left_at + _GONE_S
            if not attempt.left_at or not attempt.may_repeat:
                continue
            if not self._timeline.is_calm(attempt.sent_at, end):
                continue
            left += 1
            late += any(
                self._ended[run.request, run.server].at > end
                for run in self._began.get(attempt.request, [])
                if (run.request, run.server) in self._ended
            )
        if late > max(_GONE_LEAST, _GONE_SHARE * left):
            self._find(Promise.GONE, f"{late} of {left} went on")

    def _check_weights(self) -> None:
        if not self._operator.weights:
            return
        wanted = int(self._operator.weights[-1].name)
        old = [
            name
            for name in self._deployment.engines
            if self._deployment.read_weights(name) != wanted
        ]
        if old:
            self._find(Promise.WEIGHTS, f"{', '.join(old)} not on {wanted}")

    def _check_recovery(self, now: float) -> None:
        last = max((f.until for f in self._timeline.faults), default=0.0)
        since = self._timeline.started_at + last + _RECOVER_S
        until = now - callers.BUDGET_MS / 1000
        late = [
            a
            for a in self._pool.attempts
            if since < a.sent_at < until
            and a.key in operators.SAFE_KEYS
            and not a.left_at
        ]
        served = [a for a in late if a.status == 200 and a.is_whole]
        if len(served) < _SERVED_SHARE * len(late) or not late:
            self._find(
                Promise.RECOVERY, f"{len(served)} of {len(late)} were served"
            )


def _drop_before(times: collections.deque[float], since: float) -> None:
    while times and times[0] < since:
        times.popleft()
