"""Chooses a model engine by the time that a first event is likely to take.

The load pattern: requests share long prompts. Reading such a prompt takes an
engine longer than all else, and is wasted where another engine has read it.

See Also:
    ``rendezvous``, which makes all gateways agree on where a prompt is read.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf.balancing import rendezvous

# Time that each running request adds to the steps of an engine, in ms.
_MS_PER_RUNNING_REQUEST = 1.5
# Weight of a millisecond of reading a shared prompt again: it delays others
# too, and evicts what they would have found.
_RECOMPUTE_WEIGHT = 2.0
# Cost of a fetch beside its time, in ms: it takes the links from others.
_FETCH_PENALTY_MS = 20.0
# An engine that is not the home of a shared prompt costs this, in ms. For a
# short one it stands for reading the prompt there too.
_NOT_PREFERRED_PENALTY_MS = 8.0
_NOT_PREFERRED_SHORT_PENALTY_MS = 40.0
# Cost of memory that running requests exceed, in ms for each 1,000 tokens.
_MS_PER_1000_EXCESS_TOKENS = 60.0
# Share of an engine's memory that requests may fill before others wait.
_USABLE_MEMORY_SHARE = 0.9
# Cost of an engine whose weights are to be replaced, in ms.
_OUTDATED_WEIGHTS_PENALTY_MS = 150.0
# Share of the engines that short prompts have to themselves while long ones
# find others.
_SHORT_PROMPT_ENGINE_SHARE = 1 / 3
# Prompts from this many tokens to be read on are long.
_LONG_PROMPT_TOKENS = 1_500
# Waits are estimates: only one that exceeds the time left by this factor is
# sure to be too long.
_WAIT_ERROR_FACTOR = 1.2
# Prompts from this many tokens to be read on are very long.
_VERY_LONG_PROMPT_TOKENS = 6_000
_LOWEST_PRIORITY = 9
_ENGINE_LEVELS_PER_PRIORITY = 3
# Cost of a long prompt at an engine that is left to short ones, in ms.
_LONG_PROMPT_MISPLACEMENT_MS = 600.0
# Cost of a short prompt at an engine that is left to long ones, in ms.
_SHORT_PROMPT_MISPLACEMENT_MS = 20.0
# Cost of each request that would wait for a slot, in ms.
_MS_PER_QUEUED_REQUEST = 15.0
# Cost of an engine in another failure domain, in ms.
_REMOTE_DOMAIN_PENALTY_MS = 2.0


class PrefixSource(enum.Enum):
    """Where the shared part of a prompt would come from."""

    CACHED = "held"
    FETCHED = "fetched"
    COMPUTED = "read"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What is known of an engine.

    Attributes:
        id: Its id.
        failure_domain: Where it stands.
        load: Work at it.
        failure_rate: Share of its answers that failed of late.
        shared: Where it would take the shared prompt from.
        has_outdated_weights: Whether newer weights were named.
    """

    id: str
    failure_domain: str
    load: fleet.EndpointLoad
    failure_rate: float = 0.0
    shared: PrefixSource = PrefixSource.COMPUTED
    has_outdated_weights: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSize:
    """What a request asks of an engine.

    Attributes:
        shared_key: Names its shared prompt; empty if it has none.
        shared_tokens: Tokens of the shared prompt.
        tokens: Tokens of the whole prompt.
        answer_tokens: Most tokens of the answer.
        fetch_ms: Time of fetching the shared prompt.
    """

    shared_key: str
    shared_tokens: int
    tokens: int
    answer_tokens: int
    fetch_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An engine and what it was chosen by.

    Attributes:
        id: The engine.
        cost_ms: Its cost.
        wait_ms: Time until its prompts in line are read.
        shared: Where it takes the shared prompt from.
    """

    id: str
    cost_ms: float
    wait_ms: float
    shared: PrefixSource


def misses_deadline(
    read_tokens: int, wait_ms: float, time_left_ms: float
) -> bool:
    """Returns whether a long prompt cannot be answered in time.

    The load pattern: few engines are left, and their lines grow beyond what
    callers wait for. Short prompts pass long ones in line, so that the wait
    says nothing of them.

    Args:
        read_tokens: Prompt tokens that have to be read.
        wait_ms: Time until its first token, with its own prompt.
        time_left_ms: Time that the caller waits.

    Examples:
        >>> misses_deadline(20_000, wait_ms=9_500.0, time_left_ms=6_900.0)
        True
        >>> misses_deadline(20_000, wait_ms=3_000.0, time_left_ms=6_900.0)
        False
        >>> misses_deadline(300, wait_ms=9_500.0, time_left_ms=3_000.0)
        False
    """
    return (
        read_tokens >= _LONG_PROMPT_TOKENS
        and wait_ms > _WAIT_ERROR_FACTOR * time_left_ms
    )


def choose_priority(caller_priority: int, read_tokens: int) -> int:
    """Returns an engine's priority for a prompt, 0 first and 9 last.

    Within a caller's rank, short prompts go first: they hardly delay long ones.

    Examples:
        >>> choose_priority(0, read_tokens=300), choose_priority(0, 17_000)
        (0, 2)
        >>> choose_priority(7, read_tokens=300)
        9
    """
    size_level = sum(
        read_tokens >= limit
        for limit in (_LONG_PROMPT_TOKENS, _VERY_LONG_PROMPT_TOKENS)
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
) -> Choice | None:
    """Returns the engine with the least cost.

    Args:
        engines: Those that may run the request.
        size: What it asks for.
        spec: What each engine offers.
        failure_domain: Where this gateway stands.

    Examples:
        >>> size = PromptSize("rules", 10_000, 12_000, 20)
        >>> idle = fleet.EndpointLoad()
        >>> engines = [EngineState(f"e{i}", "fd", idle) for i in range(4)]
        >>> spec = catalog.EngineSpec(24, 100_000, 18_432, 1e5, ("m",), 12)
        >>> first = choose_engine(engines, size, spec, "fd").id
        >>> held = PrefixSource.CACHED
        >>> others = [
        ...     dataclasses.replace(e, shared=held)
        ...     for e in engines
        ...     if e.id != first
        ... ]
        >>> cold = [e for e in engines if e.id == first]
        >>> choose_engine([*others, *cold], size, spec, "fd").id == first
        False
    """
    misplacements_ms = _compute_misplacement_ms(engines, size)
    preferred = _find_preferred(size, misplacements_ms)
    choices = [
        _compute_choice(
            engine,
            preferred,
            size,
            spec,
            failure_domain,
            misplacements_ms[engine.id],
        )
        for engine in engines
    ]
    return min(choices, key=lambda choice: choice.cost_ms, default=None)


def _find_preferred(
    size: PromptSize, misplacements_ms: Mapping[str, float]
) -> str:
    """Returns the engine where a shared prompt is at home; empty for none."""
    if not size.shared_key or not misplacements_ms:
        return ""
    least = min(misplacements_ms.values())
    group = [
        name for name, cost_ms in misplacements_ms.items() if cost_ms == least
    ]
    return rendezvous.rank_preferred(size.shared_key, group)[0]


def _compute_misplacement_ms(
    engines: Sequence[EngineState], size: PromptSize
) -> dict[str, float]:
    """Returns what it costs to put a prompt where the other kind belongs.

    While an engine reads a long prompt, each token of its other answers takes
    many times as long, and so do they hold their slots. A few engines are
    therefore kept from long prompts, and short ones go there first.

    References:
        Harchol-Balter, Crovella and Murta, "On Choosing a Task Assignment
        Policy for a Distributed Server System", JPDC 59 (2), 1999.
    """
    ranked = rendezvous.rank_preferred("short prompts", [e.id for e in engines])
    reserved_for_short = frozenset(
        ranked[: int(len(ranked) * _SHORT_PROMPT_ENGINE_SHARE)]
    )
    if size.tokens >= _LONG_PROMPT_TOKENS:
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


def _compute_choice(
    engine: EngineState,
    preferred: str,
    size: PromptSize,
    spec: catalog.EngineSpec,
    failure_domain: str,
    misplacement_ms: float,
) -> Choice:
    load = engine.load
    wait_ms = load.prompt_tokens / fleet.PREFILL_TOKENS_PER_MS
    cost_ms = wait_ms + load.running * _MS_PER_RUNNING_REQUEST + misplacement_ms
    cost_ms += max(0, load.running + 1 - spec.slots) * _MS_PER_QUEUED_REQUEST
    if engine.shared is PrefixSource.COMPUTED:
        prefill_ms = size.shared_tokens / fleet.PREFILL_TOKENS_PER_MS
        cost_ms += _RECOMPUTE_WEIGHT * prefill_ms
    elif engine.shared is PrefixSource.FETCHED:
        cost_ms += size.fetch_ms + _FETCH_PENALTY_MS
    if preferred and engine.id != preferred:
        is_short = size.tokens < _LONG_PROMPT_TOKENS
        cost_ms += (
            _NOT_PREFERRED_SHORT_PENALTY_MS
            if is_short
            else _NOT_PREFERRED_PENALTY_MS
        )
    needed = load.held_tokens + size.tokens + size.answer_tokens
    excess_tokens = max(
        0.0, needed - _USABLE_MEMORY_SHARE * spec.capacity_tokens
    )
    cost_ms += excess_tokens / 1000 * _MS_PER_1000_EXCESS_TOKENS
    if engine.has_outdated_weights:
        cost_ms += _OUTDATED_WEIGHTS_PENALTY_MS
    if engine.failure_domain != failure_domain:
        cost_ms += _REMOTE_DOMAIN_PENALTY_MS
    cost_ms /= max(0.1, 1.0 - engine.failure_rate)
    return Choice(engine.id, cost_ms, wait_ms, engine.shared)
