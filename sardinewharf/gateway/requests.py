"""Defines a request in a gateway, and its attempts at endpoints."""

import dataclasses
import math

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import ids
from sardinewharf import limits
from sardinewharf import overload
from sardinewharf.gateway import admission
from sardinewharf.gateway import messages
from sardinewharf.gateway import prompts


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Holds a request as its caller sent it.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        path: The path.
        headers: The decoded headers.
        body: The complete body.
        arrived: When its headers were complete, on the monotonic clock.
        causes: What may make it crash endpoints: first the request itself,
            which is the same for repeats, then the parts of its prompt that
            other requests may share.
    """

    method: bytes
    target: bytes
    path: str
    headers: messages.CallerHeaders
    body: bytes | bytearray
    arrived: float
    causes: tuple[limits.Cause, ...]

    @property
    def fingerprint(self) -> bytes:
        """Digest that is the same for all repeats of the request."""
        return self.causes[0].fingerprint


@dataclasses.dataclass(slots=True)
class Call:
    """Holds a request and the state of its attempts.

    Attributes:
        request: The request.
        admitted: Its route and organisation.
        service: Name of the service that runs it.
        deadline: When the response must be complete.
        sends: How many attempts were sent to endpoints.
        runs: How many of these attempts may have run it.
        excluded: Endpoints that are not tried again.
        reached: Endpoints that it was sent to.
        full: Endpoints that had no room for it when it was last sent there; a
            stream that has begun may be sent to them later.
        returns: How often its stream, since it was lost, has returned to an
            endpoint that was full.
        resume_after: Id of the last event that its caller has received, for
            resuming a stream; None to start it from the beginning.
        last_failure_detail: Why the last attempt failed; empty before.
        endpoint: The endpoint that it was last sent to; empty before.
        has_waited_for_prefill: Whether it has waited for another request that
            prefilled the same shared prompt.
        first_byte_at: When the first byte was forwarded; None before.
        sent_bytes: Bytes of the response's body that were forwarded.
        is_withdrawn: Whether its caller has left, so that it is sent to no
            other endpoint.
        lost_at: Incarnation whose connection it was lost with last, until it
            is known whether that one crashed; empty before.
        suspect_run_at: When its last run was recorded for what is suspect of
            it, on the monotonic clock.
        need: The room without which it is not sent; None if it need not wait.
        has_room: Whether it waits no longer for room at engines.
        open_engines: Engines that had room for it when it was to be sent; None
            if it is not known.
        places: Number of requests like it that they had room for; -1 if it is
            not known.
        held_s: How long it has waited for room, in seconds.
        hold_limit: Until when it waits for other runs of what is suspect of it;
            None before it has to.
    """

    request: Request
    admitted: admission.Admitted
    service: str
    deadline: clocks.Deadline
    sends: int = 0
    runs: int = 0
    excluded: set[ids.EndpointId] = dataclasses.field(default_factory=set)
    reached: set[ids.EndpointId] = dataclasses.field(default_factory=set)
    full: set[ids.EndpointId] = dataclasses.field(default_factory=set)
    returns: int = 0
    resume_after: int | None = None
    last_failure_detail: str = ""
    endpoint: str = ""
    has_waited_for_prefill: bool = False
    first_byte_at: float | None = None
    sent_bytes: int = 0
    is_withdrawn: bool = False
    lost_at: str = ""
    suspect_run_at: float = -math.inf
    need: overload.Need | None = None
    has_room: bool = False
    open_engines: frozenset[str] | None = None
    places: int = -1
    held_s: float = 0.0
    hold_limit: clocks.Deadline | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return self.runs > 0

    @property
    def may_run_again(self) -> bool:
        """Whether the request may be sent to another endpoint."""
        if not self.runs:
            return True
        route = self.admitted.route
        return route.is_idempotent and self.runs < route.max_attempts


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Describes the endpoint chosen for an attempt, and why it was chosen.

    Attributes:
        endpoint: The endpoint.
        weights: Version of its weights; 0 if it has none.
        cache_scope: Requests with the same scope may share cached prompts;
            empty if all may.
        priority: Priority from 0, the highest, to 9; None for the default.
        fetch_from: ``IP:PORT`` to fetch cached parts of the prompt from; empty
            for none.
        save_to: ``IP:PORT`` of the cache store to save them to; empty for none.
        prompt_key: Hash of the cache scope and the shared prompt; 0 if the
            request has no shared prompt long enough to be cached.
        shared_tokens: Tokens of the shared prompt.
        shared: Whether the shared prompt is expected to be cached at the
            endpoint, fetched or prefilled.
        prefill_tokens: Prompt tokens that it is expected to prefill.
        held_tokens: Tokens of KV cache memory that the request takes.
        cost_ms: Estimated cost by which the endpoint was chosen.
        start_deadline: When the response must have begun, since the endpoint's
            weights were replaced; None if they are the newest.
        prefill_finish_s: Estimated time until the endpoint has prefilled the
            queued prompts and this one, in seconds.
        candidates: Number of endpoints that it was chosen from.
        load: Estimated load of the endpoint when it was chosen.
        report: What the endpoint had reported of its load by then.
        usual_first_ms: Time to the first token that was expected then of an
            engine of usual speed; None if it shows no engine's speed.
    """

    endpoint: fleet.Endpoint
    weights: int = 0
    cache_scope: str = ""
    priority: int | None = None
    fetch_from: str = ""
    save_to: str = ""
    prompt_key: int = 0
    shared_tokens: int = 0
    shared: balancing.PrefixSource = balancing.PrefixSource.CACHED
    prefill_tokens: int = 0
    held_tokens: int = 0
    cost_ms: float = 0.0
    start_deadline: clocks.Deadline | None = None
    prefill_finish_s: float = 0.0
    candidates: int = 0
    load: fleet.EndpointLoad = fleet.EndpointLoad()
    report: fleet.LoadReport = fleet.UNKNOWN_LOAD
    usual_first_ms: float | None = None

    @property
    def needs_prefill(self) -> bool:
        """Whether the endpoint has to prefill a long shared prompt."""
        is_computed = self.shared is balancing.PrefixSource.COMPUTED
        return is_computed and bool(self.prompt_key)


class Attempt:
    """Holds one attempt at a request, from its sending until it is closed.

    Args:
        target: The chosen endpoint.
        pool: The pool that the connection belongs to.
        connection: The connection.
        running_request: The request's entry in the load table.
        exchange: The response as it arrives.
        prefill_handle: Reports to the prompt table how the prefill ended.
        estimator: Receives the time to the first token of a prompt.
        reports: Receives the same for an endpoint that reports its slowness.

    Attributes:
        head: The decoded status and headers of the response; None before they
            have arrived.
        has_stalled: Whether other endpoints were tried since this one did not
            respond.
        pool: The pool that the connection belongs to.
        sent_at: When the request was sent, on the monotonic clock.
        first_event_at: When the first event of a stream came; None before.
        has_progressed: Whether its stream is known to have gone on for a while.
    """

    def __init__(
        self,
        target: Target,
        pool: http1.Pool,
        connection: http1.Connection,
        running_request: fleet.RunningRequest,
        exchange: http1.Exchange,
        prefill_handle: prompts.PrefillHandle,
        estimator: balancing.EngineEstimator,
        reports: fleet.ReportTable,
    ):
        self.target = target
        self._reports = reports
        self._estimator = estimator
        self.sent_at = clocks.read_monotonic()
        self.first_event_at: float | None = None
        self.exchange = exchange
        self._running_request = running_request
        self._prefill_handle = prefill_handle
        self.head: messages.ResponseHead | None = None
        self.pool = pool
        self._connection = connection
        self._is_closed = False
        self.has_stalled = False
        self.has_progressed = False

    def record_first_event(self) -> None:
        """Records the first event of a stream, which ends the prefill.

        Later calls have no effect.
        """
        if self.first_event_at is not None:
            return
        self.first_event_at = clocks.read_monotonic()
        self._running_request.end_prefill()
        self._prefill_handle.succeed()
        took_ms = (self.first_event_at - self.sent_at) * 1000
        report = self.target.report
        self._estimator.record_first_token(
            self.target.prefill_tokens,
            self.target.load.prompt_tokens,
            took_ms / report.slowness,
        )
        usual_ms = self.target.usual_first_ms
        if report.is_known and usual_ms is not None:
            self._reports.record_duration(
                self.target.endpoint.incarnation,
                usual_ms * report.slowness,
                took_ms,
                self.first_event_at,
            )

    def abandon_prefill(self) -> None:
        """Makes no other request wait for the prefill of this attempt."""
        self._prefill_handle.fail()

    def is_answered_by(
        self, head: messages.ResponseHead, request_id: ids.RequestId
    ) -> bool:
        """Returns whether a response is to this attempt's request.

        A response without an id may be an earlier one that an endpoint sent
        again, unless its connection carried no request before.
        """
        if not head.request_id:
            return self.exchange.is_first
        return head.request_id == request_id

    def discard_connection(self) -> None:
        """Closes the connection, so that no later request is sent on it."""
        self._connection.abort()

    def close(self) -> None:
        """Releases the connection and the attempt's share of the load.

        A connection whose response is not complete is closed. A prefill that
        was not recorded as ended counts as failed. Later calls have no effect.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self.exchange.close()
        self.pool.release(self._connection)
        self._running_request.end()
        self._prefill_handle.fail()
