"""Sends requests to endpoints and decides which may be retried."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import random
from typing import Any
from typing import TypeVar

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import limits
from sardinewharf import records
from sardinewharf.gateway import admission
from sardinewharf.gateway import attempt_log
from sardinewharf.gateway import failover
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import notices as notices_lib
from sardinewharf.gateway import outcomes as outcomes_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import readers
from sardinewharf.gateway import refusals
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import retry_times
from sardinewharf.gateway import selection
from sardinewharf.gateway import shutdown as shutdown_lib
from sardinewharf.gateway import tables

# Connect timeout, in seconds.
_CONNECT_S = 0.3
# Failed connection attempts after which a request is refused.
_MAX_CONNECT_FAILURES = 4
# Longest wait for another request that prefills the same shared prompt, in
# seconds and as a share of the remaining time.
_PREFILL_WAIT_S = 0.8
_PREFILL_WAIT_SHARE = 0.3
# Pause before a lost stream is sent to an endpoint that had no room for it, in
# seconds, drawn from a range: streams that were lost together do not come back
# together. It doubles each time.
_MIN_RETURN_S = 0.15
_MAX_RETURN_S = 0.25
_Answer = TypeVar("_Answer")


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherDependencies:
    """Bundles the collaborators of a dispatcher.

    Attributes:
        header_codec: Encodes and decodes headers.
        admission_controller: Admits requests.
        selector: Chooses endpoints.
        registry: The known endpoints.
        loads: Estimated load of each endpoint.
        health: Failures and ejections of each endpoint.
        connections: Connection pools of the endpoints.
        budgets: Retry budget of each service.
        replica: This gateway's replica of the store.
        prompts: Where shared prompts are cached.
        crashes: Requests that ran when endpoints crashed.
        notices: Records what endpoints state about further requests.
        estimators: What is measured of engines and prompts.
        reader: Reads from endpoints, and detects stalled ones.
        shutdown: Tells whether requests can end before the gateway exits.
        log: Receives a record of each attempt.
        metrics: Counts attempts and their outcomes.
    """

    header_codec: messages.HeaderCodec
    admission_controller: admission.AdmissionController
    selector: selection.Selector
    registry: fleet.Registry
    loads: fleet.LoadTable
    health: fleet.HealthTable
    connections: tables.ConnectionTable
    budgets: tables.RetryBudgetTable
    replica: replica_lib.Replica
    prompts: prompts_lib.PromptTable
    crashes: limits.CrashTable
    notices: notices_lib.NoticeRecorder
    estimators: tables.EstimatorTable
    reader: readers.EndpointReader
    shutdown: shutdown_lib.Shutdown
    log: records.RecordSink
    metrics: metrics_lib.GatewayMetrics


class Dispatcher:
    """Sends requests to endpoints until one of them responds.

    Args:
        dependencies: The collaborators of the dispatcher.

    Attributes:
        outcomes: Records how attempts ended.
    """

    def __init__(self, dependencies: DispatcherDependencies):
        self._dependencies = dependencies
        self._log = attempt_log.AttemptLog(
            dependencies.replica,
            dependencies.budgets,
            dependencies.log,
            dependencies.metrics,
        )
        self.outcomes = outcomes_lib.Outcomes(
            dependencies.registry,
            dependencies.health,
            dependencies.budgets,
            dependencies.crashes,
            dependencies.notices,
            self._log,
        )

    async def open(self, call: requests.Call) -> requests.Attempt:
        """Returns an attempt whose response has begun.

        The caller of this method must close the attempt.

        Raises:
            RefusedError: If no endpoint gave a valid response. The refusal
                states correctly whether the request may have run.
        """
        prompt = call.request.headers.prompt
        if prompt is not None and not call.sends:
            self._dependencies.estimators.find(call.service).record_prompt(
                prompt.shared_ids, prompt.tokens
            )
        connect_failures = 0
        while connect_failures < _MAX_CONNECT_FAILURES:
            self._check_may_send(call)
            target = self._dependencies.selector.choose(call)
            if target is None:
                if not call.last_failure_detail:
                    call.last_failure_detail = (
                        self._dependencies.selector.explain_no_endpoint(call)
                    )
                raise self._make_refusal(call, refusals.Reason.NO_ENDPOINT)
            if await self._wait_for_prefill(call, target):
                continue
            self._check_meets_deadline(call, target)
            try:
                pool, connection = await self._connect(call, target)
            except http1.ConnectError as error:
                call.last_failure_detail = str(error)
                call.excluded.add(target.endpoint.id)
                if isinstance(error, http1.PoolFullError):
                    call.full.add(target.endpoint.id)
                self._log.record_unreached(call, target.endpoint.id)
                connect_failures += 1
                continue
            if not self._dependencies.selector.may_send(target.endpoint):
                # It stated so while the request waited for a connection.
                pool.release(connection)
                continue
            self._check_still_has_time(call, pool, connection)
            if not self._charge_retry_budget(call):
                pool.release(connection)
                raise self._make_refusal(call, refusals.Reason.BUSY)
            attempt = self._send(call, target, pool, connection)
            answered = await self._wait_for_answer(call, attempt)
            if answered is not None:
                return answered
        raise self._make_refusal(call, refusals.Reason.NO_ENDPOINT)

    def _check_may_send(self, call: requests.Call) -> None:
        """Checks that a request may be sent now.

        Raises:
            RefusedError: If it has no time left, it may have run and must not
                be repeated, its caller has left, it is quarantined, or it is
                not admitted.
        """
        self._check_has_time(call)
        if not call.may_run_again:
            raise self._make_refusal(call, refusals.Reason.LOST)
        if call.is_withdrawn:
            raise self._make_refusal(call, refusals.Reason.HALF_CLOSED)
        request = call.request
        now = clocks.read_monotonic()
        if self._dependencies.crashes.is_quarantined(request.fingerprint, now):
            raise self._make_refusal(call, refusals.Reason.QUARANTINED)
        if call.may_have_run:
            return
        self._dependencies.admission_controller.admit(
            request.headers, request.path
        )

    def _check_has_time(self, call: requests.Call) -> None:
        """Checks that a request that is sent now can end in time.

        Raises:
            RefusedError: If its deadline has passed, or the gateway is going to
                exit before.
        """
        if call.deadline.is_past():
            raise self._make_refusal(call, refusals.Reason.NO_TIME)
        if not self._dependencies.shutdown.can_finish(call):
            raise self._dependencies.shutdown.refuse(call)

    def _check_still_has_time(
        self,
        call: requests.Call,
        pool: http1.Pool,
        connection: http1.Connection,
    ) -> None:
        """Checks a request's time again once it has waited for a connection.

        Raises:
            RefusedError: If it has too little left; the connection is released.
        """
        try:
            self._check_has_time(call)
        except refusals.RefusedError:
            pool.release(connection)
            raise

    def _check_meets_deadline(
        self, call: requests.Call, target: requests.Target
    ) -> None:
        """Checks that a prompt can be prefilled before the deadline.

        Raises:
            RefusedError: If even the chosen endpoint would be too late.
        """
        left = call.deadline.remaining()
        if not balancing.misses_deadline(
            target.prefill_tokens,
            target.prefill_finish_s * 1000,
            left * 1000,
            self._dependencies.estimators.find(call.service).read().split,
        ):
            return
        call.last_failure_detail = (
            f"the shortest queue takes {target.prefill_finish_s:.1f} s,"
            f" {left:.1f} s are left"
        )
        raise self._make_refusal(call, refusals.Reason.BUSY)

    async def _wait_for_prefill(
        self, call: requests.Call, target: requests.Target
    ) -> bool:
        """Waits while another request prefills the same shared prompt.

        A request waits at most once, and not if there would be too little time
        left before the gateway exits.

        Returns:
            Whether it waited, so that an endpoint has to be chosen again.
        """
        if not target.prompt_key or call.has_waited_for_prefill:
            return False
        left = call.deadline.remaining() * _PREFILL_WAIT_SHARE
        deadline = clocks.Deadline.after(min(_PREFILL_WAIT_S, left))
        if deadline > self._dependencies.shutdown.find_latest_start(call):
            return False
        call.has_waited_for_prefill = (
            await self._dependencies.prompts.wait_for_prefill(
                target.prompt_key, deadline
            )
        )
        return call.has_waited_for_prefill

    async def _connect(
        self, call: requests.Call, target: requests.Target
    ) -> tuple[http1.Pool, http1.Connection]:
        """Returns a connection to the target, and the pool it belongs to.

        Raises:
            ConnectError: If no connection could be made, or the pool is full.
                It counts as a failure of the endpoint only if that had the
                whole time to accept one, or refused it.
        """
        now = clocks.read_monotonic()
        endpoint = target.endpoint
        limit = self._dependencies.selector.find_connection_limit(
            endpoint.service
        )
        pool = self._dependencies.connections.find(endpoint, limit)
        self._dependencies.health.record_trial(endpoint.incarnation, now)
        deadline = clocks.Deadline(now + _CONNECT_S).earlier(call.deadline)
        try:
            # On a connection that carried the request before, an earlier
            # response to it could be taken for a later one.
            must_be_new = endpoint.id in call.reached
            return pool, await pool.acquire(deadline, must_be_new)
        except http1.PoolFullError:
            raise
        except http1.ConnectError:
            now = clocks.read_monotonic()
            if call.deadline.is_past(now):
                raise
            self._dependencies.health.record_unreachable(
                endpoint.incarnation, now
            )
            self._dependencies.crashes.record_unreachable(
                endpoint.incarnation, now
            )
            raise

    def _charge_retry_budget(self, call: requests.Call) -> bool:
        """Returns whether the service's retry budget allows sending.

        A first attempt adds to the budget, and each further one takes from it.
        One that returns to a full endpoint leaves half of it for others.
        """
        now = clocks.read_monotonic()
        budget = self._dependencies.budgets.find(call.service)
        if call.returns and not budget.has_spare(now):
            return False
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
        """Sends a request on a connection and records it as running."""
        running_request = self._dependencies.loads.begin(
            target.endpoint.id, target.prefill_tokens, target.held_tokens
        )
        data = self._encode(call, target)
        call.sends += 1
        call.runs += 1
        call.endpoint = target.endpoint.id
        call.reached.add(target.endpoint.id)
        call.full.discard(target.endpoint.id)
        exchange = connection.start(call.request.method, data)
        self._log.record_choice(call, target)
        prefill_handle = self._dependencies.prompts.begin(
            target.endpoint.incarnation,
            target.prompt_key,
            target.shared_tokens,
            target.needs_prefill,
        )
        return requests.Attempt(
            target,
            pool,
            connection,
            running_request,
            exchange,
            prefill_handle,
            self._dependencies.estimators.find(call.service),
        )

    def _encode(self, call: requests.Call, target: requests.Target) -> bytes:
        """Returns the bytes of the HTTP request to an endpoint."""
        request = call.request
        headers = self._dependencies.header_codec.write_request(
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

    async def _wait_for_answer(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> requests.Attempt | None:
        """Waits for the head of a response that may be forwarded.

        Returns:
            The attempt, or that at another endpoint which responded while this
            one was stalled; None if the request has to be sent again.
        """
        is_accepted = False
        try:
            while True:
                try:
                    is_accepted = await self._read_head(call, attempt)
                    return attempt if is_accepted else None
                except readers.StalledError as error:
                    outcome = await self.fail_over(
                        call,
                        attempt,
                        str(error),
                        self._read_head_of_stalled(call, attempt),
                        self._open_replacement(call),
                    )
                if isinstance(outcome, failover.Replaced):
                    return outcome.attempt
                if isinstance(outcome, failover.Continued):
                    is_accepted = True
                    return attempt
        finally:
            if not is_accepted:
                attempt.close()

    async def _read_head(
        self,
        call: requests.Call,
        attempt: requests.Attempt,
        is_patient: bool = False,
    ) -> bool:
        """Reads the head of a response; returns whether to forward it.

        Args:
            call: The request.
            attempt: The attempt that is read.
            is_patient: Whether to wait however long the endpoint is stalled.

        Raises:
            StalledError: If the endpoint is stalled.
        """
        reader = self._dependencies.reader
        read_head = attempt.exchange.read_head
        try:
            async with asyncio.timeout_at(
                self._find_head_deadline(call, attempt)
            ):
                if is_patient:
                    head = await reader.read_patiently(attempt, read_head)
                else:
                    head = await reader.read(call, attempt, read_head)
        except http1.ResponseLostError as error:
            self.outcomes.record_loss(call, attempt, str(error))
            return False
        except TimeoutError:
            self.outcomes.record_loss(call, attempt, "no answer in time")
            return False
        attempt.head = self._dependencies.header_codec.read_response(head)
        return self.outcomes.classify(call, attempt)

    async def fail_over(
        self,
        call: requests.Call,
        stalled: requests.Attempt,
        detail: str,
        reading: Coroutine[Any, Any, _Answer],
        opening: Coroutine[Any, Any, requests.Attempt],
    ) -> (
        failover.Continued[_Answer] | failover.Replaced | failover.StillStalled
    ):
        """Tries other endpoints while the attempt at a stalled one is open.

        Unless one of them takes the request, all may be tried again later.

        Args:
            call: The request.
            stalled: The attempt at the stalled endpoint.
            detail: Why it counts as stalled.
            reading: Reads a response that may be forwarded from it.
            opening: Opens an attempt at another endpoint.

        Raises:
            RefusedError: If the stalled attempt is lost, and no other endpoint
                can take the request.
        """
        excluded = set(call.excluded)
        self.outcomes.record_stall(call, stalled, detail)
        outcome = await failover.wait_for_first(stalled, reading, opening)
        if not isinstance(outcome, failover.Replaced):
            call.endpoint = stalled.target.endpoint.id
            call.excluded = excluded
        return outcome

    async def _read_head_of_stalled(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        """Waits for a head that may be forwarded.

        Raises:
            ResponseLostError: If it is not to be, so that the response of
                another endpoint is awaited.
        """
        is_accepted = await self._read_head(call, attempt, is_patient=True)
        if is_accepted and attempt.head.status < 500:
            return
        raise http1.ResponseLostError("no response that may be forwarded")

    async def _open_replacement(self, call: requests.Call) -> requests.Attempt:
        """Returns an attempt that may replace one at a stalled endpoint.

        Raises:
            RefusedError: If no other endpoint serves the request. An error of
                another endpoint is no reason to end the stalled attempt.
        """
        attempt = await self.open(call)
        if attempt.head.status < 500:
            return attempt
        attempt.close()
        raise refusals.refuse(
            refusals.Reason.LOST, f"status {attempt.head.status}"
        )

    async def wait_for_room(
        self, call: requests.Call, limit: clocks.Deadline
    ) -> bool:
        """Waits until a stream that was lost may return to a full endpoint.

        One endpoint is tried again each time, and only while half of the retry
        budget is left for others.

        Args:
            call: The request.
            limit: When the stream must go on.

        Returns:
            Whether it may be sent again. If not, no endpoint could take it in
            time.
        """
        chance = self._dependencies.selector.find_next_chance(call)
        if chance is None or not self._may_return(call):
            return False
        endpoint_id, usable_from = chance
        pause_s = random.uniform(_MIN_RETURN_S, _MAX_RETURN_S) * 2**call.returns
        returns_at = max(clocks.Deadline.after(pause_s), usable_from)
        if returns_at >= limit.earlier(call.deadline):
            return False
        await asyncio.sleep(returns_at.remaining())
        call.returns += 1
        call.excluded |= call.full
        call.excluded.discard(endpoint_id)
        return self._may_return(call)

    def _may_return(self, call: requests.Call) -> bool:
        """Returns whether a lost stream may return to a full endpoint."""
        budget = self._dependencies.budgets.find(call.service)
        return (
            not call.is_withdrawn
            and budget.has_spare(clocks.read_monotonic())
            and self._dependencies.shutdown.can_finish(call)
        )

    def _find_head_deadline(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> float:
        """Returns when to stop waiting for a response, on the loop's clock."""
        start_deadline = attempt.target.start_deadline
        if start_deadline is None:
            return call.deadline.at
        return start_deadline.earlier(call.deadline).at

    def _make_refusal(
        self, call: requests.Call, reason: refusals.Reason
    ) -> refusals.RefusedError:
        """Returns the exception that refuses a request.

        If the request may have run, the reason becomes ``LOST`` or
        ``TIMED_OUT``, since ``reason`` would state that it has not run.
        """
        detail = call.last_failure_detail or reason.value
        if not call.may_have_run:
            return refusals.refuse(
                reason, detail, self._choose_retry_after(call, reason)
            )
        is_late = call.deadline.is_past()
        final_reason = (
            refusals.Reason.TIMED_OUT if is_late else refusals.Reason.LOST
        )
        return refusals.refuse(final_reason, detail)

    def _choose_retry_after(
        self, call: requests.Call, reason: refusals.Reason
    ) -> float:
        """Returns the Retry-After of a request that has not run."""
        if reason is not refusals.Reason.NO_ENDPOINT:
            return retry_times.choose_soon()
        return retry_times.choose_for_waits(
            self._dependencies.selector.list_waits(call.service)
        )
