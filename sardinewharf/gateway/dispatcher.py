"""Sends requests to endpoints and decides which may be retried."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from sardinewharf import clocks
from sardinewharf import http1
from sardinewharf.gateway import attempt_log
from sardinewharf.gateway import dependencies as dependencies_lib
from sardinewharf.gateway import failover
from sardinewharf.gateway import messages
from sardinewharf.gateway import outcomes as outcomes_lib
from sardinewharf.gateway import policy as policy_lib
from sardinewharf.gateway import readers
from sardinewharf.gateway import refusals
from sardinewharf.gateway import requests

# Connect timeout, in seconds.
_CONNECT_S = 0.3
# Failed connection attempts after which a request is refused.
_MAX_CONNECT_FAILURES = 4
# Longest wait for another request that prefills the same shared prompt, in
# seconds and as a share of the remaining time.
_PREFILL_WAIT_S = 0.8
_PREFILL_WAIT_SHARE = 0.3
_Answer = TypeVar("_Answer")


class Dispatcher:
    """Sends requests to endpoints until one of them responds.

    Args:
        dependencies: The collaborators of the dispatcher.

    Attributes:
        policy: Decides whether and when requests may be sent.
        outcomes: Records how attempts ended.
    """

    def __init__(self, dependencies: dependencies_lib.DispatcherDependencies):
        self._dependencies = dependencies
        self.policy = policy_lib.SendPolicy(dependencies)
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
            dependencies.crash_prober,
            dependencies.suspects,
            dependencies.notices,
            dependencies.reports,
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
            self.policy.check_may_send(call)
            if await self._wait_for_suspects(call):
                continue
            if await self._dependencies.overload.wait_for_room(call):
                continue
            target = self._dependencies.selector.choose(call)
            if target is None:
                if not call.last_failure_detail:
                    call.last_failure_detail = (
                        self._dependencies.selector.explain_no_endpoint(call)
                    )
                raise self.policy.make_refusal(
                    call, refusals.Reason.NO_ENDPOINT
                )
            if await self._wait_for_prefill(call, target):
                continue
            self._dependencies.overload.record_choice(call, target)
            self.policy.check_meets_deadline(call, target)
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
            if not self._dependencies.availability.may_send(target.endpoint):
                # It stated so while the request waited for a connection.
                pool.release(connection)
                continue
            self._check_may_still_send(call, pool, connection)
            if self._dependencies.quarantine.must_wait(call):
                pool.release(connection)
                continue
            if not self.policy.charge_retry_budget(call):
                pool.release(connection)
                raise self.policy.make_refusal(call, refusals.Reason.BUSY)
            attempt = self._send(call, target, pool, connection)
            answered = await self._wait_for_answer(call, attempt)
            if answered is not None:
                return answered
        raise self.policy.make_refusal(call, refusals.Reason.NO_ENDPOINT)

    def _check_may_still_send(
        self,
        call: requests.Call,
        pool: http1.Pool,
        connection: http1.Connection,
    ) -> None:
        """Checks a request again once it has waited for a connection.

        Raises:
            RefusedError: If it has too little time left, or was found to crash
                endpoints meanwhile; the connection is released.
        """
        try:
            self.policy.check_has_time(call)
            self.policy.check_not_quarantined(call)
        except refusals.RefusedError:
            pool.release(connection)
            raise

    async def _wait_for_suspects(self, call: requests.Call) -> bool:
        """Waits until it shows what crashed an endpoint, for a limited time.

        A request whose connection was lost waits until it is known whether the
        endpoint crashed. One with a suspect waits while another run of that
        may crash an endpoint.

        Returns:
            Whether it waited, so that it has to be checked again.
        """
        lost_at, call.lost_at = call.lost_at, ""
        has_waited = await self._dependencies.crash_prober.wait(lost_at)
        latest_start = self._dependencies.shutdown.find_latest_start(call)
        return (
            await self._dependencies.quarantine.wait_for_turn(
                call, latest_start
            )
            or has_waited
        )

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
        head = self._encode_head(call, target)
        self._dependencies.quarantine.record_run(call)
        call.sends += 1
        call.runs += 1
        call.endpoint = target.endpoint.id
        call.reached.add(target.endpoint.id)
        call.full.discard(target.endpoint.id)
        exchange = connection.start(
            call.request.method, head, call.request.body
        )
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
            self._dependencies.reports,
        )

    def _encode_head(
        self, call: requests.Call, target: requests.Target
    ) -> bytes:
        """Returns the head of the HTTP request to an endpoint."""
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
        return http1.encode_head(
            request.method, request.target, headers, len(request.body)
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

    def _find_head_deadline(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> float:
        """Returns when to stop waiting for a response, on the loop's clock."""
        start_deadline = attempt.target.start_deadline
        if start_deadline is None:
            return call.deadline.at
        return start_deadline.earlier(call.deadline).at
