"""Chooses a model engine by the time that a first event is likely to take.

The load pattern: requests share long prompts. Reading such a prompt takes an
engine longer than all else, and is wasted where another engine has read it.

See Also:
    ``homes``, which makes all gateways agree on where a prompt is read.
"""

from collections.abc import Sequence
import dataclasses
import enum

from sardinewharf import fleet
from sardinewharf.balancing import homes

# Prompt tokens that an engine reads in a millisecond.
READ_TOKENS_PER_MS = 50.0
# Time that each running request adds to the steps of an engine, in ms.
_MS_PER_RUNNING = 1.5
# Weight of a millisecond of reading a shared prompt again: it delays others
# too, and evicts what they would have found.
_REREAD_WEIGHT = 2.0
# Cost of a fetch beside its time, in ms: it takes the links from others.
_FETCH_MS = 20.0
# An engine that is not the first home of a cold prompt costs this, in ms.
_NOT_HOME_MS = 8.0
# Cost of memory that running requests exceed, in ms for each 1,000 tokens.
_MS_PER_1000_OVER = 60.0
# Share of an engine's memory that requests may fill before others wait.
_MEMORY_SHARE = 0.9
# Cost of an engine whose weights are to be replaced, in ms.
_OLD_WEIGHTS_MS = 150.0
# Cost of an engine in another failure domain, in ms.
_FAR_MS = 2.0


class SharedPrompt(enum.Enum):
    """Where the shared part of a prompt would come from."""

    HELD = "held"
    FETCHED = "fetched"
    READ = "read"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """What is known of an engine.

    Attributes:
        id: Its id.
        failure_domain: Where it stands.
        load: Work at it.
        failure_share: Share of its answers that failed of late.
        shared: Where it would take the shared prompt from.
        has_old_weights: Whether newer weights were named.
    """

    id: str
    failure_domain: str
    load: fleet.EndpointLoad
    failure_share: float = 0.0
    shared: SharedPrompt = SharedPrompt.READ
    has_old_weights: bool = False


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
    shared: SharedPrompt


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
        >>> holder = EngineState("e9", "fd", idle, shared=SharedPrompt.HELD)
        >>> choose_engine([*engines, holder], size, 100_000, "fd").id
        'e9'
        >>> busy = fleet.EndpointLoad(running=9, prompt_tokens=90_000)
        >>> holder = dataclasses.replace(holder, load=busy)
        >>> choose_engine([*engines, holder], size, 100_000, "fd").id == home
        True
    """
    home = ""
    if size.shared_key and engines:
        home = homes.rank_homes(size.shared_key, [e.id for e in engines])[0]
    choices = [
        _rate(engine, home, size, capacity_tokens, failure_domain)
        for engine in engines
    ]
    return min(choices, key=lambda choice: choice.cost_ms, default=None)


def _rate(
    engine: EngineState,
    home: str,
    size: PromptSize,
    capacity_tokens: int,
    failure_domain: str,
) -> Choice:
    load = engine.load
    wait = load.prompt_tokens / READ_TOKENS_PER_MS
    cost = wait + load.running * _MS_PER_RUNNING
    if engine.shared is SharedPrompt.READ:
        reading = size.shared_tokens / READ_TOKENS_PER_MS
        cost += _REREAD_WEIGHT * reading
    elif engine.shared is SharedPrompt.FETCHED:
        cost += size.fetch_ms + _FETCH_MS
    if home and engine.id != home:
        cost += _NOT_HOME_MS
    needed = load.held_tokens + size.tokens + size.answer_tokens
    over = max(0.0, needed - _MEMORY_SHARE * capacity_tokens)
    cost += over / 1000 * _MS_PER_1000_OVER
    if engine.has_old_weights:
        cost += _OLD_WEIGHTS_MS
    if engine.failure_domain != failure_domain:
        cost += _FAR_MS
    cost /= max(0.1, 1.0 - engine.failure_share)
    return Choice(engine.id, cost, wait, engine.shared)
