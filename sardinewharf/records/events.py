"""Defines every kind of log record as a struct.

The ``event`` field of a record states what happened; the other fields are the
inputs that led to it. ``docs/OPERATIONS.md`` shows how to trace a request
through the records.

Tags and field names are written to the log as they stand here, and tools that
read logs depend on them. Fields that several records have:

- ``age_s``: Seconds since the store last confirmed that the replica of its data
  is current; -1 if unknown.
- ``attempt``, ``sends``: Number of attempts sent to endpoints so far.
- ``configuration``: Version of the configuration in force.
- ``epoch``: Fencing token of the rollout leader's lease.
- ``left_ms``: Time until the request's deadline.
- ``request``: Id of the request, given by its caller.
- ``revision``: Revision of the store up to which the replica has its changes.
- ``waited_ms``: Time since the request arrived.
"""

import msgspec


class Record(msgspec.Struct, tag_field="event", frozen=True):
    """Base class of all log records."""


class Started(Record, tag="started"):
    """The process has started to serve."""

    failure_domain: str
    listen: str
    peer_listen: str
    store: str


class Stopping(Record, tag="stopping"):
    """The process was signalled to stop.

    ``running`` is the number of unfinished requests.
    """

    running: int


class Stopped(Record, tag="stopped"):
    """The process exits.

    ``running`` is the number of requests that were not finished.
    """

    running: int


class Reloaded(Record, tag="reloaded"):
    """The process was signalled that its settings file has changed."""

    detail: str


class DependencyLost(Record, tag="dependency_lost"):
    """A dependency no longer responds.

    ``dependency`` is ``store`` or the name of a cache store. For a cache store,
    ``revision`` is the position in its event log and ``age_s`` is -1.
    """

    dependency: str
    detail: str
    revision: int
    age_s: float


class DependencyRegained(Record, tag="dependency_regained"):
    """A dependency that was lost responds again."""

    dependency: str
    revision: int
    age_s: float


class HistoryLost(Record, tag="history_lost"):
    """The store no longer has the changes needed; all keys are listed again."""

    revision: int


class ConfigurationApplied(Record, tag="configuration_applied"):
    """This process applied a version that replaces version ``former``.

    ``source`` is ``listing`` or ``watch`` for an update from the store itself,
    and otherwise the name of the gateway that passed it on; ``age_s`` is the
    time since the replica was last confirmed to be current before the update.
    """

    version: int
    former: int
    revision: int
    routes: int
    organisations: int
    source: str = ""
    age_s: float = -1.0


class ReplicaStale(Record, tag="replica_stale"):
    """The replica was not confirmed for as long as a change may take.

    A newer configuration may be in force by now. ``has_store_contact`` states
    whether the last update came from the store itself.
    """

    revision: int
    configuration: int
    age_s: float
    has_store_contact: bool


class ReplicaConfirmed(Record, tag="replica_confirmed"):
    """The replica is confirmed again after it was stale."""

    revision: int
    configuration: int
    age_s: float


class EndpointRegistered(Record, tag="endpoint_seen"):
    """An endpoint was registered, or its registration changed."""

    endpoint: str
    service: str
    address: str
    state: str
    started_ms: int
    revision: int


class EndpointLost(Record, tag="endpoint_lost"):
    """An endpoint's registration was removed from the store.

    If ``is_doubtful`` is true, the endpoint is kept for now, since it may only
    have been unable to renew its registration during an outage of the store.
    """

    endpoint: str
    is_doubtful: bool
    revision: int


class EndpointCrashed(Record, tag="endpoint_crashed"):
    """An endpoint crashed while it ran a request, which is suspect now.

    ``fingerprint`` is the same for all repeats of the request, and ``crashes``
    counts the endpoints that crashed while it ran. ``proof`` is a value of
    ``gateway.crashes.Proof``. ``parts`` are the parts of its prompt that other
    requests may share, and ``part_crashes`` the same count for each.
    """

    request: str
    endpoint: str
    fingerprint: str
    proof: str
    crashes: int
    parts: list[str]
    part_crashes: list[int]


class SuspectTried(Record, tag="suspect_tried"):
    """A request that crashed endpoints runs once more, to see if it still does.

    ``trial`` counts these runs. ``part`` is the prompt part that is tried;
    empty for the request itself.
    """

    request: str
    fingerprint: str
    trial: int
    part: str


class EntryRejected(Record, tag="entry_rejected"):
    """An entry of the store cannot be decoded; it is ignored."""

    key: str
    detail: str


class EndpointEjected(Record, tag="endpoint_closed"):
    """An endpoint failed and is ejected for ``pause_s`` seconds."""

    endpoint: str
    failures: int
    pause_s: float


class EndpointReadmitted(Record, tag="endpoint_reopened"):
    """An ejected endpoint responded and gets requests again."""

    endpoint: str


class EndpointLeaving(Record, tag="endpoint_leaving"):
    """An endpoint stated for the first time that it is leaving.

    It did so in a response with ``status`` to a request. It gets requests that
    no other endpoint can take for ``drain_ms`` more, and none after that.
    """

    endpoint: str
    request: str
    status: int
    drain_ms: int


class EndpointPaused(Record, tag="endpoint_paused"):
    """An endpoint that had no pause asked for one.

    It did so in a response with ``status`` to a request. It asked for
    ``asked_s`` seconds and gets no requests for ``pause_s``.
    """

    endpoint: str
    request: str
    status: int
    asked_s: float
    pause_s: float


class TargetVersionSet(Record, tag="weights_named"):
    """A model's weights have a new target version."""

    model: str
    version: int
    revision: int


class LeadershipChanged(Record, tag="office_changed"):
    """This gateway acquired or lost the leader lease for rolling updates."""

    is_held: bool
    epoch: int


class OrderGiven(Record, tag="order_given"):
    """An engine was ordered to load weights.

    ``shown`` is the version that it last reported, ``after_orders`` the number
    of orders that it must have accepted before, and ``running`` the number of
    requests that were running there.
    """

    endpoint: str
    model: str
    version: int
    shown: int
    after_orders: int
    epoch: int
    running: int
    result: str


class OrderEnded(Record, tag="order_ended"):
    """The update of an engine ended.

    ``is_done`` states whether the engine reports the target version; if not,
    it is retried later. ``version`` is the version that it last reported.
    """

    endpoint: str
    model: str
    version: int
    is_done: bool
    took_ms: int


class RequestRefused(Record, tag="request_refused"):
    """The gateway itself responded to a request with an error.

    ``may_have_run`` states whether an endpoint may have run the request.
    """

    request: str
    reason: str
    status: int
    detail: str
    route: str
    organisation: str
    may_have_run: bool
    sends: int
    retry_after_s: float | None
    waited_ms: int
    left_ms: int
    configuration: int
    age_s: float


class QuotaOwnerSilent(Record, tag="quota_owner_silent"):
    """A gateway did not respond to an ask for tokens of a quota.

    The next one in rank is asked until it is heard again.
    """

    gateway: str


class QuotaTakenOver(Record, tag="quota_taken_over"):
    """This gateway keeps a quota, as all of a better rank are absent."""

    organisation: str


class EndpointChosen(Record, tag="endpoint_chosen"):
    """A request is sent to an endpoint.

    It was chosen among ``candidates`` endpoints at an estimated cost of
    ``cost_ms``. ``running`` and ``prompt_tokens`` are the running requests and
    the queued prompt tokens there. ``weights`` is the version of its weights
    and ``wanted_weights`` the target version.

    ``prompt`` is the hash of a long shared prompt, or empty. ``shared`` states
    whether that prompt is expected to be cached there, fetched from
    ``fetch_from`` or prefilled; ``read_tokens`` are the prompt tokens that the
    endpoint is expected to prefill. ``resume_after`` is the id of the last
    event that the caller has of a stream that is resumed.

    If the endpoint reports its slowness, ``slowness`` is the smoothed one and
    ``learned`` what was learned beyond it, 1.0 for the usual; both are 0
    otherwise. ``reported`` are the requests that it reported in the last half
    second as running or waiting, -1 if it did not.
    ``places`` are the further requests of this size that all engines had room
    for, as far as known; -1 if the request was not checked for room.
    ``held_ms`` is the time for which it waited for room.
    """

    request: str
    attempt: int
    route: str
    organisation: str
    endpoint: str
    candidates: int
    cost_ms: float
    running: int
    prompt_tokens: int
    weights: int
    wanted_weights: int
    prompt: str
    shared: str
    read_tokens: int
    fetch_from: str
    resume_after: int | None
    left_ms: int
    configuration: int
    age_s: float
    slowness: float = 0.0
    learned: float = 0.0
    reported: int = -1
    places: int = -1
    held_ms: int = 0


class AttemptFailed(Record, tag="attempt_failed"):
    """An endpoint gave no response that may be forwarded.

    ``outcome`` is a value of ``gateway.attempt_log.AttemptOutcome``.
    ``budget_left`` is what remains of the service's retry budget. ``status``
    and ``answered`` are the status and the request id of the response, 0 and
    empty if none arrived; ``states_not_run`` states whether the endpoint wrote
    that it had not run the request; ``is_reused`` states whether its connection
    had carried another request before.
    """

    request: str
    attempt: int
    endpoint: str
    outcome: str
    detail: str
    waited_ms: int
    budget_left: float
    status: int = 0
    answered: str = ""
    is_reused: bool = False
    states_not_run: bool = False


class RequestAnswered(Record, tag="request_answered"):
    """An endpoint's response was forwarded completely.

    ``first_ms`` and ``total_ms`` are the times to the first byte and to the
    last byte. ``states_not_run`` states whether the endpoint wrote that it had
    not run the request; callers take statuses 408, 421, 429 and 503 to say so.
    """

    request: str
    status: int
    endpoint: str
    sends: int
    first_ms: int
    total_ms: int
    bytes: int
    states_not_run: bool = False


class ResponseAborted(Record, tag="answer_cut"):
    """A response could not be completed, so its connection was closed.

    ``last_event`` is the id of the last event that was forwarded.
    """

    request: str
    endpoint: str
    detail: str
    last_event: int | None
    total_ms: int


class CallerLeft(Record, tag="caller_left"):
    """A caller disconnected before its response was complete.

    ``has_started`` states whether a part of the response had been sent.
    ``is_half_close`` states that only the caller's sending side is known to be
    closed; the caller was told so unless the response had started.
    ``may_have_run`` states whether an endpoint may have run the request.
    """

    request: str
    endpoint: str
    waited_ms: int
    has_started: bool
    is_half_close: bool = False
    may_have_run: bool = False


class ConnectionEnded(Record, tag="connection_ended"):
    """The gateway closed a connection while a request was read or queued.

    ``reason`` is a value of ``http1.closes.CloseReason``. ``request`` is the
    id of that request, empty if it was not read yet; ``head_bytes`` is what was
    read of its head, and ``queued`` the number of requests that were read whole
    and not begun. ``has_responded`` states whether a response was begun on the
    connection before. ``listener`` is the port: front, ready or metrics.
    """

    request: str
    reason: str
    head_bytes: int
    queued: int
    has_responded: bool
    listener: str = "front"


class GatewayFault(Record, tag="gateway_fault"):
    """A request failed with an unexpected exception in the gateway."""

    request: str
    detail: str


class Message(Record, tag="message"):
    """A log message in free text, written by ``part`` of the program."""

    part: str
    level: str
    text: str
