"""Relays application calls; non-repeatable ones run at most once.

A call that may not be repeated runs under a claim on its idempotency key, if it
has one. Without a key it is sent once and not retried after it may have run.
"""

import asyncio
import dataclasses
import hashlib
import uuid

from sardinewharf import claims
from sardinewharf import clocks
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import logs
from sardinewharf import outcomes

_log = logs.get_logger("calls")
_MAX_ATTEMPTS = 3
_CLAIM_TIMEOUT_S = 2.5
_LEDGER_TIMEOUT_S = 0.5
_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """An application call that has been admitted.

    Attributes:
        call: The call as sent to the application server.
        organisation: The organisation that sends it.
        application: The application.
        deadline: When the caller no longer needs the response.
        is_first_attempt: Whether the caller states that it never sent the
            idempotency key before.
    """

    call: endpoints.ApplicationCall
    organisation: ids.OrganisationId
    application: ids.ApplicationId
    deadline: clocks.Deadline
    is_first_attempt: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The complete response to a call.

    Attributes:
        response: The response.
        is_replayed: Whether it was stored by an earlier run.
        attempts: Number of servers that were tried.
    """

    response: endpoints.ApplicationResponse
    is_replayed: bool = False
    attempts: int = 1


class CallRelay:
    """Relays application calls.

    Args:
        directory: The endpoints.
        servers: The client of the application servers.
        ledger: Claims idempotency keys.
        budget: Limits retries over all calls.

    Attributes:
        ledger: Claims idempotency keys.
    """

    def __init__(
        self,
        directory: endpoints.Directory,
        servers: endpoints.ApplicationServer,
        ledger: claims.ClaimLedger,
        budget: limits.RetryBudget,
    ):
        self._directory = directory
        self._servers = servers
        self.ledger = ledger
        self._budget = budget

    async def run(self, request: CallRequest) -> CallResult:
        """Returns the response to a call.

        Raises:
            RequestError: If there is none. Its run state shows whether the
                call may have run.
        """
        self._budget.earn()
        if request.call.is_repeatable:
            return await self.send(request)
        if not request.call.idempotency_key:
            return await self.send(request)
        # A caller that disconnects must not cancel the run between the
        # dispatch and the recording of its response.
        return await asyncio.shield(
            asyncio.ensure_future(_ClaimedCall(self, request).run())
        )

    async def send(self, request: CallRequest) -> CallResult:
        """Sends a call; retries it only if repeatable or certainly not run."""
        excluded: set[str] = set()
        may_have_run = False
        detail = "no server is live"
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            server = self._choose(request, excluded)
            if server is None or (attempt > 1 and not self._budget.take()):
                break
            if request.deadline.is_past():
                raise _make_deadline_error(may_have_run)
            try:
                response = await self._servers.call(
                    server.vm.address, request.call, request.deadline
                )
                return CallResult(response, attempts=attempt)
            except endpoints.EndpointError as error:
                detail = str(error)
                excluded.add(server.endpoint)
                self._record_failure(request, server, error)
                if not error.proves_not_run:
                    may_have_run = True
                    if not request.call.is_repeatable:
                        raise _make_unknown_error(detail) from error
        if may_have_run:
            raise outcomes.refuse(
                outcomes.RefusalKind.ENDPOINT_FAILED,
                f"No server answered ({detail}).",
                outcomes.RunState.UNKNOWN,
            )
        raise outcomes.refuse(
            outcomes.RefusalKind.NO_ENDPOINT,
            f"The call was not sent ({detail}).",
            retry_after=_RETRY_AFTER_S,
        )

    def _choose(
        self, request: CallRequest, excluded: set[str]
    ) -> endpoints.Endpoint | None:
        """Returns the least loaded server that is not excluded, if any."""
        servers = self._directory.list_application_servers(request.application)
        candidates = [s for s in servers if s.endpoint not in excluded]
        if not candidates:
            return None
        _log.info(
            "request={} org={} call={}/{} server={} running={} of={}",
            request.call.request,
            request.organisation,
            request.application,
            request.call.name,
            candidates[0].endpoint,
            candidates[0].report.running,
            len(candidates),
        )
        return candidates[0]

    def _record_failure(
        self,
        request: CallRequest,
        server: endpoints.Endpoint,
        error: endpoints.EndpointError,
    ) -> None:
        _log.warning(
            "Server {} failed request {}: {}.",
            server.endpoint,
            request.call.request,
            error,
        )
        if error.kind is endpoints.FailureKind.NOT_SENT:
            self._directory.record_failure(
                server.endpoint, clocks.read_monotonic()
            )


class _ClaimedCall:
    """Runs one call under a claim on its idempotency key.

    If an earlier attempt has completed the call, its stored response is
    returned. If one is still running, its end is awaited.
    """

    def __init__(self, relay: CallRelay, request: CallRequest):
        self._relay = relay
        self._ledger = relay.ledger
        self._request = request
        self._attempt = ids.AttemptId(uuid.uuid4().hex)
        call = request.call
        self._key = claims.make_key_digest(
            request.organisation, request.application, call.idempotency_key
        )
        text = call.name.encode() + b"\x00" + call.body
        self._body_digest = hashlib.sha256(text).digest()[:16]

    async def run(self) -> CallResult:
        deadline = self._request.deadline
        claim_deadline = deadline.earlier(
            clocks.Deadline.after(_CLAIM_TIMEOUT_S)
        )
        result = await self._ledger.claim(
            self._key, self._attempt, self._body_digest, claim_deadline
        )
        if isinstance(result, claims.AlreadyClaimed):
            result = await self._ledger.wait(
                self._key, self._attempt, self._body_digest, deadline
            )
        if isinstance(result, claims.Granted):
            return await self._dispatch()
        if isinstance(result, claims.AlreadyCompleted):
            return await self._replay(result.answer)
        raise self._refuse(result)

    async def _dispatch(self) -> CallResult:
        """Sends the call and completes its claim; releases it if not run."""
        try:
            if self._request.deadline.is_past():
                raise _make_deadline_error(may_have_run=False)
            result = await self._relay.send(self._request)
        except outcomes.RequestError as error:
            if error.refusal.run_state is outcomes.RunState.NOT_RUN:
                await self._release()
            raise
        await self._complete(result.response)
        return result

    async def _release(self) -> None:
        """Releases the claim of a call that did not run."""
        released = await self._ledger.release(
            self._key,
            self._attempt,
            self._body_digest,
            clocks.Deadline.after(_LEDGER_TIMEOUT_S),
        )
        if not released:
            _log.warning(
                "Release of the claim for request {} was not recorded in time;"
                " it is retried in the background.",
                self._request.call.request,
            )

    async def _complete(self, response: endpoints.ApplicationResponse) -> None:
        """Stores the response, which later attempts then get."""
        await self._ledger.complete(
            self._key,
            self._attempt,
            self._body_digest,
            claims.KeptAnswer(
                response.status, response.content_type, response.body
            ),
            clocks.Deadline.after(_LEDGER_TIMEOUT_S),
        )

    async def _replay(self, kept: claims.KeptAnswer) -> CallResult:
        stored = await self._ledger.fetch_answer(
            self._key, kept, clocks.Deadline.after(_LEDGER_TIMEOUT_S)
        )
        if stored is None:
            raise outcomes.refuse(
                outcomes.RefusalKind.OUTCOME_UNKNOWN,
                "The request has run; its kept answer cannot be read now.",
                outcomes.RunState.RAN,
                _RETRY_AFTER_S,
            )
        response = endpoints.ApplicationResponse(
            stored.status, stored.content_type, stored.body
        )
        return CallResult(response, is_replayed=True)

    def _refuse(self, result: claims.ClaimResult) -> outcomes.RequestError:
        """Returns the error for a claim that was not granted."""
        if isinstance(result, claims.BodyDiffers):
            return outcomes.refuse(
                outcomes.RefusalKind.KEY_IN_USE,
                "The Idempotency-Key belongs to a request with another body.",
            )
        if isinstance(result, claims.AlreadyClaimed):
            return outcomes.refuse(
                outcomes.RefusalKind.OUTCOME_UNKNOWN,
                "Another attempt at this request has not ended.",
                outcomes.RunState.UNKNOWN,
                _RETRY_AFTER_S,
            )
        # Without claims, only the caller can know that no other daemon has run
        # a request with this key.
        state = outcomes.RunState.UNKNOWN
        if self._request.is_first_attempt:
            state = outcomes.RunState.NOT_RUN
        return outcomes.refuse(
            outcomes.RefusalKind.CLAIMS_UNAVAILABLE,
            "This attempt was not sent, since claims cannot be recorded now.",
            state,
            _RETRY_AFTER_S,
        )


def _make_unknown_error(detail: str) -> outcomes.RequestError:
    return outcomes.refuse(
        outcomes.RefusalKind.OUTCOME_UNKNOWN,
        f"The call was sent and its answer lost ({detail}).",
        outcomes.RunState.UNKNOWN,
    )


def _make_deadline_error(may_have_run: bool) -> outcomes.RequestError:
    state = outcomes.RunState.NOT_RUN
    if may_have_run:
        state = outcomes.RunState.UNKNOWN
    return outcomes.refuse(
        outcomes.RefusalKind.DEADLINE,
        "The deadline passed before a server answered.",
        state,
    )
