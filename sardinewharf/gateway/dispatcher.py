"""Sends requests to endpoints and decides what may be tried again."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import TypeVar

from sardinewharf import balancing
from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import limits
from sardinewharf import records
from sardinewharf.gateway import admission
from sardinewharf.gateway import attempt_log
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import refusals
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import selection
from sardinewharf.gateway import tables

# Longest time for making a connection, in seconds.
_CONNECT_S = 0.3
# Connections that may fail for one request before it is given up.
_MAX_UNREACHED = 4
# A request that may be repeated goes to a second endpoint after this share of
# its time.
_FIRST_ATTEMPT_SHARE = 0.45
_RETRY_S = 0.3
_Read = TypeVar("_Read")
# Longest wait for another request that reads the same prompt, in seconds and
# as a share of the time left.
_READ_WAIT_S = 0.8
_READ_WAIT_SHARE = 0.3
# A busy endpoint is left alone for this long, in seconds.
_REFUSED_PAUSE_S = 0.15
_MOVED_PAUSE_S = 1.0
# Statuses by which an endpoint would promise that a request has not run.
_PROMISES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What a dispatcher works with.

    Attributes:
        dialect: Translates headers.
        gatekeeper: Admits requests.
        selector: Chooses endpoints.
        registry: The endpoints.
        loads: Work at endpoints.
        health: How endpoints answer.
        connections: Pools of connections.
        budgets: Budgets of repeats by service.
        replica: What the gateway believes.
        prompts: Where shared prompts are.
        crashes: Requests that endpoints died of.
        log: Where choices are written.
        metrics: Counts what endpoints answer.
    """

    dialect: messages.Dialect
    gatekeeper: admission.Gatekeeper
    selector: selection.Selector
    registry: fleet.Registry
    loads: fleet.LoadTable
    health: fleet.HealthTable
    connections: tables.ConnectionTable
    budgets: tables.RetryBudgetTable
    replica: replica_lib.Replica
    prompts: prompts_lib.PromptTable
    crashes: limits.CrashTable
    log: records.RecordSink
    metrics: metrics_lib.GatewayMetrics


def _may_go_on_elsewhere(call: requests.Call) -> bool:
    """Returns whether a stream that is being answered may be resumed."""
    is_stream = call.admitted.route.kind is catalog.RouteKind.STREAM
    return is_stream and call.may_run_again


class Dispatcher:
    """Opens answers to requests.

    Args:
        parts: What it works with.
    """

    def __init__(self, parts: Parts):
        self._parts = parts
        self._log = attempt_log.AttemptLog(
            parts.replica, parts.budgets, parts.log, parts.metrics
        )

    async def open(self, call: requests.Call) -> requests.Attempt:
        """Returns an attempt whose answer has begun; it must be closed.

        Raises:
            RefusedError: If there is none, with the truth about whether the
                request may have run.
        """
        unreached = 0
        while unreached < _MAX_UNREACHED:
            self._check(call)
            target = self._parts.selector.choose(call)
            if target is None:
                if not call.last_detail:
                    call.last_detail = self._parts.selector.explain_none(call)
                raise self._give_up(call, refusals.Reason.NO_ENDPOINT)
            if await self._wait_for_reader(call, target):
                continue
            self._check_wait(call, target)
            try:
                pool, connection = await self._connect(call, target)
            except http1.ConnectError as error:
                call.last_detail = str(error)
                call.excluded.add(target.endpoint.id)
                self._log.note_failure(call, target.endpoint.id, "unreached")
                unreached += 1
                continue
            if not self._may_send(call):
                pool.release(connection)
                raise self._give_up(call, refusals.Reason.BUSY)
            attempt = self._send(call, target, pool, connection)
            if await self._wait_for_head(call, attempt):
                return attempt
        raise self._give_up(call, refusals.Reason.NO_ENDPOINT)

    def note_loss(
        self, call: requests.Call, attempt: requests.Attempt, detail: str
    ) -> None:
        """Notes that an answer was lost or is not the endpoint's."""
        endpoint = attempt.target.endpoint
        call.last_detail = f"{endpoint.id}: {detail}"
        call.excluded.add(endpoint.id)
        self._log.note_failure(call, endpoint.id, "lost")
        now = clocks.read_monotonic()
        self._parts.health.record_failure(endpoint.incarnation, now)
        if attempt.exchange.was_lost:
            self._parts.crashes.record_lost_connection(
                call.request.fingerprint, endpoint.incarnation, now
            )

    async def read_heard(
        self,
        call: requests.Call,
        attempt: requests.Attempt,
        read: Callable[[], Awaitable[_Read]],
    ) -> _Read:
        """Reads from an endpoint; a silent one may be given up.

        Only a stream that may go on elsewhere is given up, and only while the
        endpoint sends nothing to anybody here: a slow one may still answer.

        Raises:
            LostError: If the connection ends or the endpoint is silent.
        """
        health = self._parts.health
        incarnation = attempt.target.endpoint.incarnation
        if not _may_go_on_elsewhere(call):
            result = await read()
            health.record_response(incarnation, clocks.read_monotonic())
            return result
        endpoint_id = attempt.target.endpoint.id
        while True:
            own = self._parts.loads.count_own(endpoint_id)
            patience = balancing.find_idle_timeout(own) + attempt.target.wait_s
            began = clocks.read_monotonic()
            try:
                async with asyncio.timeout(patience):
                    result = await read()
            except TimeoutError as error:
                now = clocks.read_monotonic()
                heard_at = max(began, health.read_last_response_at(incarnation))
                if now - heard_at < patience:
                    continue
                health.record_unreachable(incarnation, now)
                raise http1.LostError(
                    f"silent for {now - heard_at:.1f} s"
                ) from error
            health.record_response(incarnation, clocks.read_monotonic())
            return result

    def note_success(self, attempt: requests.Attempt) -> None:
        """Notes that an answer came whole."""
        self._parts.health.record_success(attempt.target.endpoint.incarnation)

    def _check(self, call: requests.Call) -> None:
        """Raises RefusedError unless the request may be sent now."""
        if call.deadline.is_past():
            raise self._give_up(call, refusals.Reason.NO_TIME)
        if not call.may_run_again:
            raise self._give_up(call, refusals.Reason.LOST)
        request = call.request
        now = clocks.read_monotonic()
        if self._parts.crashes.is_quarantined(request.fingerprint, now):
            raise self._give_up(call, refusals.Reason.QUARANTINED)
        if call.may_have_run:
            return
        self._parts.gatekeeper.admit(request.headers, request.path)

    def _check_wait(self, call: requests.Call, target: requests.Target) -> None:
        """Raises RefusedError for a prompt that cannot be served in time."""
        left = call.deadline.remaining()
        if not balancing.misses_deadline(
            target.read_tokens, target.wait_s * 1000, left * 1000
        ):
            return
        call.last_detail = (
            f"the least line is {target.wait_s:.1f} s, {left:.1f} s are left"
        )
        raise self._give_up(call, refusals.Reason.BUSY)

    async def _wait_for_reader(
        self, call: requests.Call, target: requests.Target
    ) -> bool:
        """Waits while another request reads the same prompt.

        Returns whether the endpoint is to be chosen again.
        """
        if not target.prompt_key or call.has_waited:
            return False
        left = call.deadline.remaining() * _READ_WAIT_SHARE
        until = clocks.Deadline.after(min(_READ_WAIT_S, left))
        call.has_waited = await self._parts.prompts.wait_for_reader(
            target.prompt_key, until
        )
        return call.has_waited

    async def _connect(
        self, call: requests.Call, target: requests.Target
    ) -> tuple[http1.Pool, http1.Connection]:
        now = clocks.read_monotonic()
        endpoint = target.endpoint
        limit = self._parts.selector.find_connection_limit(endpoint.service)
        pool = self._parts.connections.find(endpoint, limit)
        self._parts.health.record_trial(endpoint.incarnation, now)
        deadline = clocks.Deadline(now + _CONNECT_S).earlier(call.deadline)
        try:
            return pool, await pool.acquire(deadline)
        except http1.FullError:
            raise
        except http1.ConnectError:
            now = clocks.read_monotonic()
            self._parts.health.record_unreachable(endpoint.incarnation, now)
            self._parts.crashes.record_unreachable(endpoint.incarnation, now)
            raise

    def _may_send(self, call: requests.Call) -> bool:
        now = clocks.read_monotonic()
        budget = self._parts.budgets.find(call.service)
        if call.sends:
            return budget.take(now)
        budget.count_request(now)
        return True

    def _send(
        self,
        call: requests.Call,
        target: requests.Target,
        pool: http1.Pool,
        connection: http1.Connection,
    ) -> requests.Attempt:
        work = self._parts.loads.begin(
            target.endpoint.id, target.read_tokens, target.held_tokens
        )
        exchange = connection.start(
            call.request.method, self._encode(call, target)
        )
        call.sends += 1
        call.runs += 1
        call.endpoint = target.endpoint.id
        self._log.note_choice(call, target)
        reading = self._parts.prompts.begin(
            target.endpoint.incarnation,
            target.prompt_key,
            target.shared_tokens,
            target.is_reading,
        )
        return requests.Attempt(
            target, pool, connection, work, exchange, reading
        )

    def _encode(self, call: requests.Call, target: requests.Target) -> bytes:
        request = call.request
        headers = self._parts.dialect.write_request(
            messages.Dispatch(
                headers=request.headers,
                endpoint=target.endpoint.id,
                deadline=call.deadline,
                organisation=call.admitted.organisation_name,
                weights=target.weights,
                cache_scope=target.cache_scope,
                priority=target.priority,
                fetch_from=target.fetch_from,
                save_to=target.save_to,
                resume_after=call.resume_after,
            )
        )
        return http1.encode_request(
            request.method, request.target, headers, request.body
        )

    async def _wait_for_head(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> bool:
        """Returns whether the answer may be passed on; else closes it."""
        is_kept = False
        try:
            async with asyncio.timeout_at(self._find_limit(call, attempt)):
                head = await self.read_heard(
                    call, attempt, attempt.exchange.read_head
                )
            attempt.head = self._parts.dialect.read_answer(head)
            is_kept = self._judge(call, attempt)
        except http1.LostError as error:
            self.note_loss(call, attempt, str(error))
        except TimeoutError:
            self.note_loss(call, attempt, "no answer in time")
        finally:
            if not is_kept:
                attempt.close()
        return is_kept

    def _find_limit(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> float:
        """Returns when the attempt is given up, on the loop's clock."""
        begin_by = attempt.target.begin_by
        if begin_by is not None:
            return begin_by.earlier(call.deadline).at
        route = call.admitted.route
        is_first_of_more = (
            route.kind is catalog.RouteKind.SAFE and call.may_run_again
        )
        if not is_first_of_more:
            return call.deadline.at
        left = call.deadline.remaining()
        return clocks.read_monotonic() + left * _FIRST_ATTEMPT_SHARE

    def _judge(self, call: requests.Call, attempt: requests.Attempt) -> bool:
        """Returns whether an answer is to be passed on."""
        head = attempt.head
        self._learn(call, attempt)
        if head.is_not_run:
            self._note_not_run(call, attempt)
            return False
        if (
            head.request_id
            and head.request_id != call.request.headers.request_id
        ):
            self.note_loss(call, attempt, "the answer is to another request")
            return False
        if head.is_success:
            is_own = head.request_id == call.request.headers.request_id
            if is_own and head.is_stamped and not head.is_encoded:
                return True
            self.note_loss(call, attempt, "the answer is not the endpoint's")
            return False
        return self._judge_failure(call, attempt)

    def _judge_failure(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> bool:
        """Returns whether an endpoint's failure is passed on."""
        head = attempt.head
        if not head.is_stamped and head.status in _PROMISES:
            self.note_loss(call, attempt, f"status {head.status} unsigned")
            return False
        if head.status < 500 or not call.may_run_again:
            return True
        budget = self._parts.budgets.find(call.service)
        if budget.read_remaining(clocks.read_monotonic()) < 1.0:
            return True
        self.note_loss(call, attempt, f"status {head.status}")
        return False

    def _note_not_run(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        call.runs -= 1
        endpoint = attempt.target.endpoint
        status = attempt.head.status
        call.last_detail = f"{endpoint.id}: not run, status {status}"
        call.excluded.add(endpoint.id)
        self._log.note_failure(call, endpoint.id, "not_run")
        pause = _MOVED_PAUSE_S if status == 421 else _REFUSED_PAUSE_S
        self._parts.health.pause(
            endpoint.incarnation, clocks.read_monotonic() + pause
        )

    def _learn(self, call: requests.Call, attempt: requests.Attempt) -> None:
        head = attempt.head
        prompt = call.request.headers.prompt
        if head.weights and prompt is not None:
            self._parts.registry.record_weights(
                attempt.target.endpoint.id, prompt.model, head.weights
            )

    def _give_up(
        self, call: requests.Call, reason: refusals.Reason
    ) -> refusals.RefusedError:
        """Returns the refusal that tells the truth about the request."""
        detail = call.last_detail or reason.value
        if not call.may_have_run:
            return refusals.refuse(reason, detail, _RETRY_S)
        is_late = call.deadline.is_past()
        lost = refusals.Reason.TIMED_OUT if is_late else refusals.Reason.LOST
        return refusals.refuse(lost, detail)
