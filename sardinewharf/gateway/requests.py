"""Types of a request on its way through a gateway."""

import dataclasses

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import ids
from sardinewharf.gateway import admission
from sardinewharf.gateway import messages
from sardinewharf.gateway import prompts


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as its caller sent it.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        path: The path.
        headers: What its headers say.
        body: The whole body.
        arrived: When its headers were complete.
        fingerprint: What repeats of it by the same caller have in common.
    """

    method: bytes
    target: bytes
    path: str
    headers: messages.CallerHeaders
    body: bytes
    arrived: float
    fingerprint: bytes


@dataclasses.dataclass(slots=True)
class Call:
    """A request and what became of it so far.

    Attributes:
        request: The request.
        admitted: Its route and organisation.
        service: Name of the service that runs it.
        deadline: When it must be answered.
        sends: Endpoints that it was sent to.
        runs: Endpoints that may have run it.
        excluded: Endpoints that are not tried again.
        resume_after: Last event that its caller has.
        last_detail: What was seen of the last attempt.
        endpoint: The endpoint that it was last sent to; empty before.
        has_waited: Whether it waited for another that reads its prompt.
        first_byte_at: When the first byte was passed on; None before.
        sent_bytes: Bytes of the answer's body that were passed on.
    """

    request: Request
    admitted: admission.Admitted
    service: str
    deadline: clocks.Deadline
    sends: int = 0
    runs: int = 0
    excluded: set[ids.EndpointId] = dataclasses.field(default_factory=set)
    resume_after: int | None = None
    last_failure_detail: str = ""
    endpoint: str = ""
    has_waited_for_prefill: bool = False
    first_byte_at: float | None = None
    sent_bytes: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run it."""
        return self.runs > 0

    @property
    def may_run_again(self) -> bool:
        """Whether another endpoint may run it."""
        if not self.runs:
            return True
        route = self.admitted.route
        return route.is_idempotent and self.runs < route.max_attempts


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The endpoint chosen for an attempt.

    Attributes:
        endpoint: The endpoint.
        weights: Version of its weights; 0 if it has none.
        cache_scope: Who may share the cached prompt; empty for all.
        priority: Urgency from 0 to 9, 0 first; None for the default.
        fetch_from: ``IP:PORT`` that holds cached parts; empty for none.
        save_to: ``IP:PORT`` that is to keep them; empty for none.
        prompt_key: Names the shared prompt under the cache scope; 0 if it has
            none worth sharing.
        shared_tokens: Tokens of the shared prompt.
        shared: Where it is expected to take the shared prompt from.
        read_tokens: Prompt tokens that it is expected to read.
        held_tokens: Tokens of memory that the request takes.
        cost_ms: What it was chosen by.
        begin_by: When the endpoint must have begun, since its weights were
            replaced; None if they are the newest.
        wait_s: Time until the endpoint has read its prompts in line and this
            one, in seconds.
        candidates: Endpoints that it was chosen from.
        load: Work that was known there.
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

    @property
    def needs_prefill(self) -> bool:
        """Whether the endpoint has to read a long shared prompt."""
        is_read = self.shared is balancing.PrefixSource.COMPUTED
        return is_read and bool(self.prompt_key)


class Attempt:
    """A request that was sent to an endpoint, until it is closed.

    Args:
        target: The endpoint.
        pool: Where the connection came from.
        connection: The connection.
        work: The request's place in the load table.
        exchange: The answer as it arrives.
        reading: What is noted of its prompt.

    Attributes:
        head: What the answer's headers say; None before they came.
    """

    def __init__(
        self,
        target: Target,
        pool: http1.Pool,
        connection: http1.Connection,
        work: fleet.RunningRequest,
        exchange: http1.Exchange,
        prefill_handle: prompts.PrefillHandle,
    ):
        self.target = target
        self.exchange = exchange
        self._work = work
        self._prefill_handle = prefill_handle
        self.head: messages.ResponseHead | None = None
        self._pool = pool
        self._connection = connection

    def record_first_event(self) -> None:
        """Notes that the prompt was read."""
        self._work.end_prefill()
        self._prefill_handle.succeed()

    def close(self) -> None:
        """Gives the connection back; an unfinished answer ends it."""
        self.exchange.close()
        self._pool.release(self._connection)
        self._work.end()
        self._prefill_handle.fail()
