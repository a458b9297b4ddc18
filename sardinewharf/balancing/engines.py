"""Chooses a model engine by the time that a first event is likely to take.

The load pattern: requests share long prompts. Reading such a prompt takes an
engine longer than all else, and is wasted where another engine has read it.

See Also:
    ``homes``, which makes all gateways agree on where a prompt is read.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from sardinewharf import catalog
from sardinewharf import fleet
from sardinewharf.balancing import homes

# Time that each running request adds to the steps of an engine, in ms.
_MS_PER_RUNNING = 1.5
# Weight of a millisecond of reading a shared prompt again: it delays others
# too, and evicts what they would have found.
_REREAD_WEIGHT = 2.0
# Cost of a fetch beside its time, in ms: it takes the links from others.
_FETCH_MS = 20.0
# An engine that is not the home of a shared prompt costs this, in ms. For a
# short one it stands for reading the prompt there too.
_NOT_HOME_MS = 8.0
_NOT_HOME_SHORT_MS = 40.0
# Cost of memory that running requests exceed, in ms for each 1,000 tokens.
_MS_PER_1000_OVER = 60.0
# Share of an engine's memory that requests may fill before others wait.
_MEMORY_SHARE = 0.9
# Cost of an engine whose weights are to be replaced, in ms.
_OLD_WEIGHTS_MS = 150.0
# Share of the engines that short prompts have to themselves while long ones
# find others.
_SHORT_SHARE = 1 / 3
# Prompts from this many tokens to be read on are long.
_LONG_TOKENS = 1_500
# Waits are estimates: only one that exceeds the time left by this factor is
# sure to be too long.
_SURE_FACTOR = 1.2
# Prompts from this many tokens to be read on are very long.
_VERY_LONG = 6_000
_LAST_PRIORITY = 9
_PRIORITIES_PER_RANK = 3
# Cost of a long prompt at an engine that is left to short ones, in ms.
_LEFT_TO_SHORT_MS = 600.0
# Cost of a short prompt at an engine that is left to long ones, in ms.
_LEFT_TO_LONG_MS = 20.0
# Cost of each request that would wait for a slot, in ms.
_MS_PER_WAITING = 15.0
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


def is_hopeless(read_tokens: int, wait_ms: float, left_ms: float) -> bool:
    """Returns whether a long prompt cannot be answered in time.

    The load pattern: few engines are left, and their lines grow beyond what
    callers wait for. Short prompts pass long ones in line, so that the wait
    says nothing of them.

    Args:
        read_tokens: Prompt tokens that have to be read.
        wait_ms: Time until its first token, with its own prompt.
        left_ms: Time that the caller waits.

    Examples:
        >>> is_hopeless(20_000, wait_ms=9_500.0, left_ms=6_900.0)
        True
        >>> is_hopeless(20_000, wait_ms=3_000.0, left_ms=6_900.0)
        False
        >>> is_hopeless(300, wait_ms=9_500.0, left_ms=3_000.0)
        False
    """
    return read_tokens >= _LONG_TOKENS and wait_ms > _SURE_FACTOR * left_ms


def rank_urgency(rank: int, read_tokens: int) -> int:
    """Returns an engine's priority for a prompt, 0 first and 9 last.

    Within a caller's rank, short prompts go first: they hardly delay long ones.

    Examples:
        >>> rank_urgency(0, read_tokens=300), rank_urgency(0, 17_000)
        (0, 2)
        >>> rank_urgency(7, read_tokens=300)
        9
    """
    step = sum(read_tokens >= limit for limit in (_LONG_TOKENS, _VERY_LONG))
    return min(_LAST_PRIORITY, max(0, rank) * _PRIORITIES_PER_RANK + step)


def choose_engine(
    engines: Sequence[EngineState],
    size: PromptSize,
    sheet: catalog.EngineSheet,
    failure_domain: str,
) -> Choice | None:
    """Returns the engine with the least cost.

    Args:
        engines: Those that may run the request.
        size: What it asks for.
        sheet: What each engine offers.
        failure_domain: Where this gateway stands.

    Examples:
        >>> size = PromptSize("rules", 10_000, 12_000, 20)
        >>> idle = fleet.EndpointLoad()
        >>> engines = [EngineState(f"e{i}", "fd", idle) for i in range(4)]
        >>> sheet = catalog.EngineSheet(24, 100_000, 18_432, 1e5, ("m",), 12)
        >>> first = choose_engine(engines, size, sheet, "fd").id
        >>> held = SharedPrompt.HELD
        >>> others = [
        ...     dataclasses.replace(e, shared=held)
        ...     for e in engines
        ...     if e.id != first
        ... ]
        >>> cold = [e for e in engines if e.id == first]
        >>> choose_engine([*others, *cold], size, sheet, "fd").id == first
        False
    """
    misplaced = _rate_misplacement(engines, size)
    home = _find_home(size, misplaced)
    choices = [
        _rate(engine, home, size, sheet, failure_domain, misplaced[engine.id])
        for engine in engines
    ]
    return min(choices, key=lambda choice: choice.cost_ms, default=None)


def _find_home(size: PromptSize, misplaced: Mapping[str, float]) -> str:
    """Returns the engine where a shared prompt is at home; empty for none."""
    if not size.shared_key or not misplaced:
        return ""
    least = min(misplaced.values())
    group = [name for name, cost in misplaced.items() if cost == least]
    return homes.rank_homes(size.shared_key, group)[0]


def _rate_misplacement(
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
    ranked = homes.rank_homes("short prompts", [e.id for e in engines])
    left_to_short = frozenset(ranked[: int(len(ranked) * _SHORT_SHARE)])
    if size.tokens >= _LONG_TOKENS:
        return {
            name: _LEFT_TO_SHORT_MS if name in left_to_short else 0.0
            for name in ranked
        }
    return {
        name: 0.0 if name in left_to_short else _LEFT_TO_LONG_MS
        for name in ranked
    }


def _rate(
    engine: EngineState,
    home: str,
    size: PromptSize,
    sheet: catalog.EngineSheet,
    failure_domain: str,
    misplacement_ms: float,
) -> Choice:
    load = engine.load
    wait = load.prompt_tokens / fleet.READ_TOKENS_PER_MS
    cost = wait + load.running * _MS_PER_RUNNING + misplacement_ms
    cost += max(0, load.running + 1 - sheet.slots) * _MS_PER_WAITING
    if engine.shared is SharedPrompt.READ:
        reading = size.shared_tokens / fleet.READ_TOKENS_PER_MS
        cost += _REREAD_WEIGHT * reading
    elif engine.shared is SharedPrompt.FETCHED:
        cost += size.fetch_ms + _FETCH_MS
    if home and engine.id != home:
        is_short = size.tokens < _LONG_TOKENS
        cost += _NOT_HOME_SHORT_MS if is_short else _NOT_HOME_MS
    needed = load.held_tokens + size.tokens + size.answer_tokens
    over = max(0.0, needed - _MEMORY_SHARE * sheet.capacity_tokens)
    cost += over / 1000 * _MS_PER_1000_OVER
    if engine.has_old_weights:
        cost += _OLD_WEIGHTS_MS
    if engine.failure_domain != failure_domain:
        cost += _FAR_MS
    cost /= max(0.1, 1.0 - engine.failure_share)
    return Choice(engine.id, cost, wait, engine.shared)
