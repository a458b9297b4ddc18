"""Chooses a model engine by the time that a first event is likely to take.

The load pattern: requests share long prompts. Reading such a prompt takes an
engine longer than all else, and is wasted where another engine has read it.

See Also:
    ``homes``, which makes all gateways agree on where a prompt is read.
"""

from collections.abc import Sequence
import dataclasses

from sardinewharf import fleet
from sardinewharf.balancing import homes

# Prompt tokens that an engine reads in a millisecond.
_READ_TOKENS_PER_MS = 50.0
# Time that each running request adds to the steps of an engine, in ms.
_MS_PER_RUNNING = 1.5
# Cost of an engine that has to fetch a shared prompt: a share of the time that
# reading it would take.
_FETCH_SHARE = 0.4
# The second home costs this share of fetching, since it may hold the prompt.
_SECOND_HOME_SHARE = 0.5
# Cost of memory that running requests exceed, in ms for each 1,000 tokens.
_MS_PER_1000_OVER = 60.0
# Share of an engine's memory that requests may fill before others wait.
_MEMORY_SHARE = 0.9
# Cost of an engine whose weights are to be replaced, in ms.
_OLD_WEIGHTS_MS = 150.0
# Cost of an engine in another failure domain, in ms.
_FAR_MS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What is known of an engine.

    Attributes:
        id: Its id.
        failure_domain: Where it stands.
        load: Work at it.
        failure_share: Share of its answers that failed of late.
        holds_shared: Whether it is believed to hold the shared prompt; None
            if nothing is known.
        has_old_weights: Whether newer weights were named.
    """

    id: str
    failure_domain: str
    load: fleet.EndpointLoad
    failure_share: float = 0.0
    holds_shared: bool | None = None
    has_old_weights: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PromptSize:
    """What a request asks of an engine.

    Attributes:
        shared_key: Names its shared prompt; empty if it has none.
        shared_tokens: Tokens of the shared prompt.
        tokens: Tokens of the whole prompt.
        answer_tokens: Most tokens of the answer.
    """

    shared_key: str
    shared_tokens: int
    tokens: int
    answer_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An engine and what it was chosen by.

    Attributes:
        id: The engine.
        cost_ms: Its cost.
        wait_ms: Time until its prompts in line are read.
        fetch_cost_ms: Cost of bringing the shared prompt to it.
    """

    id: str
    cost_ms: float
    wait_ms: float
    fetch_cost_ms: float


def choose_engine(
    engines: Sequence[EngineState],
    size: PromptSize,
    capacity_tokens: int,
    failure_domain: str,
) -> Choice | None:
    """Returns the engine with the least cost.

    Args:
        engines: Those that may run the request.
        size: What it asks for.
        capacity_tokens: Memory of each engine.
        failure_domain: Where this gateway stands.

    Examples:
        >>> size = PromptSize("rules", 10_000, 12_000, 20)
        >>> idle = fleet.EndpointLoad()
        >>> engines = [EngineState(f"e{i}", "fd", idle) for i in range(4)]
        >>> home = choose_engine(engines, size, 100_000, "fd").id
        >>> home == homes.rank_homes("rules", [e.id for e in engines])[0]
        True
        >>> busy = fleet.EndpointLoad(running=9, prompt_tokens=90_000)
        >>> engines = [
        ...     dataclasses.replace(e, load=busy if e.id == home else idle)
        ...     for e in engines
        ... ]
        >>> choose_engine(engines, size, 100_000, "fd").id == home
        False
    """
    ranks: dict[str, int] = {}
    if size.shared_key:
        names = homes.rank_homes(size.shared_key, [e.id for e in engines])
        ranks = {name: rank for rank, name in enumerate(names)}
    choices = [
        _rate(engine, ranks.get(engine.id, 0), size, capacity_tokens)
        for engine in engines
    ]
    far = {e.id for e in engines if e.failure_domain != failure_domain}
    return min(
        choices,
        key=lambda c: c.cost_ms + (_FAR_MS if c.id in far else 0.0),
        default=None,
    )


def _rate(
    engine: EngineState, rank: int, size: PromptSize, capacity_tokens: int
) -> Choice:
    load = engine.load
    wait = load.prompt_tokens / _READ_TOKENS_PER_MS
    fetch = _estimate_fetch(engine, rank, size)
    needed = load.held_tokens + size.tokens + size.answer_tokens
    over = max(0.0, needed - _MEMORY_SHARE * capacity_tokens)
    cost = wait + fetch + load.running * _MS_PER_RUNNING
    cost += over / 1000 * _MS_PER_1000_OVER
    if engine.has_old_weights:
        cost += _OLD_WEIGHTS_MS
    cost /= max(0.1, 1.0 - engine.failure_share)
    return Choice(engine.id, cost, wait, fetch)


def _estimate_fetch(engine: EngineState, rank: int, size: PromptSize) -> float:
    if engine.holds_shared:
        return 0.0
    cost = _FETCH_SHARE * size.shared_tokens / _READ_TOKENS_PER_MS
    if rank == 0:
        return 0.0
    return cost * (_SECOND_HOME_SHARE if rank == 1 else 1.0)
