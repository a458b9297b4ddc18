"""Chooses which engines take new weights next.

The load pattern: new weights are named while engines are busy, and every
engine that loads them serves nothing meanwhile.
"""

from collections.abc import Sequence
import dataclasses

# Share of the engines that load at a time.
_AT_ONCE_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class RollState:
    """An engine, as far as a roll is concerned.

    Attributes:
        id: Its id.
        version: Version of its weights.
        is_rolling: Whether it is about to load, or loads.
        running: Requests that run there.
        is_usable: Whether it answers.
    """

    id: str
    version: int
    is_rolling: bool
    running: int
    is_usable: bool = True


def choose_rolls(engines: Sequence[RollState], wanted: int) -> list[str]:
    """Returns the engines to order next, the idlest first.

    Examples:
        >>> engines = [RollState(f"e{i}", 1, False, i) for i in range(6)]
        >>> choose_rolls(engines, 2)
        ['e0', 'e1']
        >>> choose_rolls(engines, 1)
        []
    """
    at_once = max(1, round(len(engines) * _AT_ONCE_SHARE))
    free = at_once - sum(engine.is_rolling for engine in engines)
    old = [
        e
        for e in engines
        if e.version < wanted and not e.is_rolling and e.is_usable
    ]
    old.sort(key=lambda engine: (engine.version, engine.running))
    return [engine.id for engine in old[: max(0, free)]]
