"""Chooses a model engine by the estimated time to first token.

The load pattern: requests share long prompts. Prefilling such a prompt takes an
engine longer than all else, and is wasted if another engine has cached it.

All costs are estimates in milliseconds, so that they can be added up.

See Also:
    ``rendezvous``, which makes all gateways agree on where a prompt is cached.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import random

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf.balancing import estimates as estimates_lib
from sardinewharf.balancing import prompt_lengths
from sardinewharf.balancing import rendezvous

# Time that each running request adds to the batch steps of an engine.
_MS_PER_RUNNING_REQUEST = 1.5
# Cost of each millisecond of prefilling a shared prompt again: it also delays
# other requests and evicts prefix blocks that they would have found.
_RECOMPUTE_WEIGHT = 2.0
# Cost of a cache transfer beyond its duration: it uses link bandwidth that
# other transfers need.
_FETCH_PENALTY_MS = 20.0
# Cost of an engine that is not the preferred one of a shared prompt. For a
# short prompt it includes the cost of computing the shared part there as well.
_NOT_PREFERRED_PENALTY_MS = 8.0
_NOT_PREFERRED_SHORT_PENALTY_MS = 40.0
# Cost of each token by which requests would exceed an engine's memory, as a
# multiple of the time to prefill it.
_EXCESS_TOKEN_WEIGHT = 3.0
# Share of an engine's memory that requests can fill before others are queued.
_USABLE_MEMORY_SHARE = 0.9
# Cost of an engine that does not have the target version yet, once all others
# have it. It is less while fewer have it: they cannot take all requests.
_OUTDATED_WEIGHTS_PENALTY_MS = 150.0
# Share of the engines that are reserved for short prompts. Long prompts use
# them only if all other engines cost much more.
_SHORT_PROMPT_ENGINE_SHARE = 1 / 3
# Waits are estimates: one counts as too long only if it exceeds the time left
# by this factor.
_WAIT_ERROR_FACTOR = 1.2
_LOWEST_PRIORITY = 9
# Each caller priority is divided into this many engine priorities, by the
# number of tokens to prefill.
_ENGINE_LEVELS_PER_PRIORITY = 3
# Cost of a long prompt at an engine that is reserved for short ones.
_LONG_PROMPT_MISPLACEMENT_MS = 600.0
# Cost of a short prompt at an engine that also takes long ones.
_SHORT_PROMPT_MISPLACEMENT_MS = 20.0
# Cost of each request that would be queued for a slot.
_MS_PER_QUEUED_REQUEST = 15.0
# Cost of a queue of as many requests as the engine runs, if it reports its
# slowness, beyond that of each request. It grows with the square of the queue:
# a queue of 17 requests for 24 slots, about a second, costs more than computing
# a long prompt elsewhere. It does not grow beyond the maximum length relative
# to what runs, so that false reports have a limited effect.
_QUEUE_GROWTH_MS = 500.0
_MAX_QUEUE = 3.0
# Delays count up to this much more, at random, if the engine reports its
# slowness. Gateways know of each other's requests only after some time, and
# would all choose the same engine until then.
_MAX_SPREAD = 2.0
# Cost of an engine in another failure domain.
_REMOTE_DOMAIN_PENALTY_MS = 2.0


class PrefixSource(enum.Enum):
    """Where an engine gets the shared part of a prompt from.

    ``CACHED``: from its own prefix cache. ``FETCHED``: transferred from another
    engine or a cache store. ``COMPUTED``: computed by a prefill.
    """

    CACHED = "held"
    FETCHED = "fetched"
    COMPUTED = "read"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """Load, health and cache content of an engine, for one request.

    Attributes:
        id: Id of the engine.
        failure_domain: Failure domain of the engine.
        load: Requests that run or are queued there.
        failure_rate: Share of its recent responses that failed.
        shared: Where it would get the request's shared prompt from.
        has_outdated_weights: Whether the target version is newer than its
            weights.
        report: What it reported of its own load and slowness.
    """

    id: str
    failure_domain: str
    load: fleet.EndpointLoad
    failure_rate: float = 0.0
    shared: PrefixSource = PrefixSource.COMPUTED
    has_outdated_weights: bool = False
    report: fleet.LoadReport = fleet.UNKNOWN_LOAD


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSize:
    """Sizes of a request's prompt and answer.

    Attributes:
        shared_key: Identifies its shared prompt; empty if it has none.
        shared_tokens: Tokens of the shared prompt.
        tokens: Tokens of the whole prompt.
        answer_tokens: Maximum number of tokens of the answer.
        fetch_ms: Time for fetching the shared prompt from another cache.
    """

    shared_key: str
    shared_tokens: int
    tokens: int
    answer_tokens: int
    fetch_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An engine that may be chosen, with its estimated cost.

    Attributes:
        id: Id of the engine.
        cost_ms: Estimated cost of running the request there.
        wait_ms: Time in which it prefills the prompts queued there.
        slowness: How long work takes there; 1.0 is usual.
        shared: Where it gets the shared prompt from.
        preferred: Id of the preferred engine of the shared prompt; empty if
            it has none.
    """

    id: str
    cost_ms: float
    wait_ms: float
    shared: PrefixSource
    preferred: str = ""
    slowness: float = 1.0


def misses_deadline(
    prefill_tokens: int,
    wait_ms: float,
    time_left_ms: float,
    split: prompt_lengths.LengthSplit,
) -> bool:
    """Returns whether a long prompt cannot be answered in time.

    The load pattern: few engines are left, and their queues grow beyond the
    time that callers wait. Short prompts overtake long ones in the queue, so
    that the wait does not apply to them.

    Args:
        prefill_tokens: Prompt tokens that have to be prefilled.
        wait_ms: Estimated time to first token, including its own prefill.
        time_left_ms: Time left until the caller's deadline.
        split: Boundaries between short and long prompts.

    Examples:
        >>> split = prompt_lengths.LengthSplit()
        >>> misses_deadline(20_000, 9_500.0, 6_900.0, split)
        True
        >>> misses_deadline(20_000, 3_000.0, 6_900.0, split)
        False
        >>> misses_deadline(300, 9_500.0, 3_000.0, split)
        False
    """
    return (
        prefill_tokens >= split.medium_tokens
        and wait_ms > _WAIT_ERROR_FACTOR * time_left_ms
    )


def choose_priority(
    caller_priority: int,
    prefill_tokens: int,
    split: prompt_lengths.LengthSplit,
) -> int:
    """Returns the priority of a request in an engine's queue.

    Among requests of the same caller priority, short prompts go first: they
    hardly delay long ones.

    Args:
        caller_priority: Priority of the request, 0 first.
        prefill_tokens: Prompt tokens that have to be prefilled.
        split: Boundaries between short and long prompts.

    Returns:
        The engine's priority, from 0 (first) to 9 (last).

    Examples:
        >>> split = prompt_lengths.LengthSplit()
        >>> choose_priority(0, 300, split), choose_priority(0, 17_000, split)
        (0, 2)
        >>> choose_priority(7, 300, split)
        9
    """
    size_level = sum(
        prefill_tokens >= limit
        for limit in (split.medium_tokens, split.long_tokens)
    )
    return min(
        _LOWEST_PRIORITY,
        max(0, caller_priority) * _ENGINE_LEVELS_PER_PRIORITY + size_level,
    )


def choose_engine(
    engines: Sequence[EngineState],
    size: PromptSize,
    spec: catalog.EngineSpec,
    failure_domain: str,
    estimates: estimates_lib.EngineEstimates,
) -> Choice | None:
    """Returns the engine with the lowest cost; None without engines.

    The costs of engines that report their slowness are spread at random.

    Args:
        engines: Engines that may run the request.
        size: Sizes of its prompt and answer.
        spec: Capacity of each engine of the service.
        failure_domain: Failure domain of this gateway.
        estimates: What was measured of the service's engines and prompts.

    Examples:
        >>> estimates = estimates_lib.EngineEstimates()
        >>> size = PromptSize("rules", 10_000, 12_000, 20)
        >>> idle = fleet.EndpointLoad()
        >>> engines = [EngineState(f"e{i}", "fd", idle) for i in range(4)]
        >>> spec = catalog.EngineSpec(24, 100_000, 18_432, 1e5, ("m",), 12)
        >>> first = choose_engine(engines, size, spec, "fd", estimates).id
        >>> cached = PrefixSource.CACHED
        >>> others = [
        ...     dataclasses.replace(e, shared=cached)
        ...     for e in engines
        ...     if e.id != first
        ... ]
        >>> cold = [e for e in engines if e.id == first]
        >>> engines = [*others, *cold]
        >>> choose_engine(engines, size, spec, "fd", estimates).id == first
        False
    """
    misplacements_ms = _compute_misplacement_ms(
        engines, size.tokens >= estimates.split.long_tokens
    )
    preferred = _find_preferred(size, misplacements_ms)
    outdated_ms = _compute_outdated_penalty_ms(engines)
    is_uneven = any(engine.report.is_known for engine in engines)
    usual_ms = _estimate_usual_ms(size, estimates) if is_uneven else 0.0
    choices = [
        _compute_choice(
            engine,
            preferred,
            size,
            spec,
            failure_domain,
            misplacements_ms[engine.id]
            + (outdated_ms if engine.has_outdated_weights else 0.0),
            usual_ms,
            estimates,
        )
        for engine in engines
    ]
    return min(choices, key=lambda choice: choice.cost_ms, default=None)


def _find_preferred(
    size: PromptSize, misplacements_ms: Mapping[str, float]
) -> str:
    """Returns the preferred engine of a shared prompt; empty for none.

    Only engines of the lowest misplacement cost are considered.
    """
    if not size.shared_key or not misplacements_ms:
        return ""
    lowest_ms = min(misplacements_ms.values())
    group = [
        name
        for name, cost_ms in misplacements_ms.items()
        if cost_ms == lowest_ms
    ]
    return rendezvous.rank_preferred(size.shared_key, group)[0]


def _compute_misplacement_ms(
    engines: Sequence[EngineState], is_long: bool
) -> dict[str, float]:
    """Returns the cost of each engine for a long or a short prompt.

    While an engine prefills a long prompt, each token of its other answers
    takes many times as long, and these answers occupy their slots for as much
    longer. Some engines are therefore reserved for short prompts, which go
    there first.

    References:
        Harchol-Balter, Crovella and Murta, "On Choosing a Task Assignment
        Policy for a Distributed Server System", JPDC 59 (2), 1999.
    """
    ranked = rendezvous.rank_preferred("short prompts", [e.id for e in engines])
    reserved_for_short = frozenset(
        ranked[: int(len(ranked) * _SHORT_PROMPT_ENGINE_SHARE)]
    )
    if is_long:
        return {
            name: _LONG_PROMPT_MISPLACEMENT_MS
            if name in reserved_for_short
            else 0.0
            for name in ranked
        }
    return {
        name: 0.0
        if name in reserved_for_short
        else _SHORT_PROMPT_MISPLACEMENT_MS
        for name in ranked
    }


def _compute_outdated_penalty_ms(engines: Sequence[EngineState]) -> float:
    """Returns the cost of engines without the target version.

    When the first of many engines has new weights, all gateways would send
    their requests there, and it would refuse most of them.
    """
    current = sum(not engine.has_outdated_weights for engine in engines)
    return _OUTDATED_WEIGHTS_PENALTY_MS * current / max(1, len(engines))


def _compute_choice(
    engine: EngineState,
    preferred: str,
    size: PromptSize,
    spec: catalog.EngineSpec,
    failure_domain: str,
    penalty_ms: float,
    usual_ms: float,
    estimates: estimates_lib.EngineEstimates,
) -> Choice:
    """Returns an engine with the estimated cost of running the request there.

    The cost is the sum of the delays and penalties, divided by the engine's
    success rate. All work takes longer at a slow engine, also what any engine
    has to do for the request (``usual_ms``). A queue costs no less at a fast
    one, which may only state to be fast.
    """
    load = engine.load
    report = engine.report
    slowness = report.total_slowness
    tokens_per_ms = estimates.prefill_tokens_per_ms / slowness
    requests = max(load.running, report.requests)
    wait_ms = load.prompt_tokens / tokens_per_ms
    cost_ms = wait_ms + requests * _MS_PER_RUNNING_REQUEST * slowness
    cost_ms += penalty_ms
    queued = max(requests + 1 - spec.slots, report.waiting)
    queue_factor = max(1.0, slowness)
    cost_ms += max(0, queued) * _MS_PER_QUEUED_REQUEST * queue_factor
    if report.is_known:
        delay_ms = cost_ms - penalty_ms
        cost_ms += random.random() * _MAX_SPREAD * delay_ms
        growth_ms = _estimate_queue_growth_ms(requests, report, spec)
        cost_ms += growth_ms * queue_factor
    cost_ms += usual_ms * slowness
    if engine.shared is PrefixSource.COMPUTED:
        prefill_ms = size.shared_tokens / tokens_per_ms
        cost_ms += _RECOMPUTE_WEIGHT * prefill_ms
    elif engine.shared is PrefixSource.FETCHED:
        cost_ms += size.fetch_ms + _FETCH_PENALTY_MS
    if preferred and engine.id != preferred:
        is_short = size.tokens < estimates.split.long_tokens
        cost_ms += (
            _NOT_PREFERRED_SHORT_PENALTY_MS
            if is_short
            else _NOT_PREFERRED_PENALTY_MS
        )
    needed_tokens = load.held_tokens + size.tokens + size.answer_tokens
    excess_tokens = max(
        0.0, needed_tokens - _USABLE_MEMORY_SHARE * spec.capacity_tokens
    )
    cost_ms += _EXCESS_TOKEN_WEIGHT * excess_tokens / tokens_per_ms
    if engine.failure_domain != failure_domain:
        cost_ms += _REMOTE_DOMAIN_PENALTY_MS
    cost_ms /= max(0.1, 1.0 - engine.failure_rate)
    return Choice(
        engine.id, cost_ms, wait_ms, engine.shared, preferred, slowness
    )


def _estimate_queue_growth_ms(
    requests: int, report: fleet.LoadReport, spec: catalog.EngineSpec
) -> float:
    """Returns the cost of a queue that grows faster than its length.

    An engine whose requests wait while it has free slots lacks memory: it runs
    no more than it does now.
    """
    places = min(spec.slots, report.running) if report.waiting else spec.slots
    queue = (requests + 1) / max(1, places) - 1.0
    return _QUEUE_GROWTH_MS * min(max(0.0, queue), _MAX_QUEUE) ** 2


def _estimate_usual_ms(
    size: PromptSize, estimates: estimates_lib.EngineEstimates
) -> float:
    """Returns the time to first token at an idle engine of usual speed.

    The shared prompt is left out: it may be cached.
    """
    own_tokens = max(0, size.tokens - size.shared_tokens)
    return estimates.base_ms + own_tokens / estimates.prefill_tokens_per_ms
