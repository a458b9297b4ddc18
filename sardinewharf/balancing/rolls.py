"""Chooses which engines take new weights next.

The load pattern: new weights are named while engines are busy, and every
engine that loads them serves nothing meanwhile.
"""

from collections.abc import Sequence
import dataclasses

# Share of the engines that load at a time.
_AT_ONCE_SHARE = 0.34
# The share while hardly a prompt is in line, and what that means in ms.
_IDLE_SHARE = 0.5
_IDLE_WAIT_MS = 40.0
# Prompts in line at the mean engine above which engines load one at a time,
# in ms of reading.
_BUSY_WAIT_MS = 250.0
# A version that was named this long ago is rolled out at full speed, as a
# share of the time in which all engines must have it.
_HURRY_SHARE = 0.45


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


@dataclasses.dataclass(frozen=True, slots=True)
class RollPace:
    """How urgent a roll is.

    Attributes:
        mean_wait_ms: Time until the mean engine has read its prompts in line.
        time_used: Share of the time passed in which all engines must have the
            version; 1 if it is not known when it was named.
    """

    mean_wait_ms: float = 0.0
    time_used: float = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether engines are to load one at a time.

        After its load an engine holds no prompt: under load, those prompts are
        better read again a few at a time.
        """
        is_busy = self.mean_wait_ms > _BUSY_WAIT_MS
        return is_busy and self.time_used < _HURRY_SHARE


def choose_rolls(
    engines: Sequence[RollState], wanted: int, pace: RollPace
) -> list[str]:
    """Returns the engines to order next, the idlest first.

    Examples:
        >>> engines = [RollState(f"e{i}", 1, False, i) for i in range(6)]
        >>> choose_rolls(engines, 2, RollPace())
        ['e0', 'e1', 'e2']
        >>> choose_rolls(engines, 2, RollPace(mean_wait_ms=100.0))
        ['e0', 'e1']
        >>> choose_rolls(engines, 2, RollPace(mean_wait_ms=500.0))
        ['e0']
        >>> choose_rolls(engines, 2, RollPace(500.0, time_used=0.6))
        ['e0', 'e1']
        >>> choose_rolls(engines, 1, RollPace())
        []
    """
    usable = [engine for engine in engines if engine.is_usable]
    free = _count_at_once(len(usable), pace)
    free -= sum(engine.is_rolling for engine in usable)
    old = [
        e
        for e in engines
        if e.version < wanted and not e.is_rolling and e.is_usable
    ]
    old.sort(key=lambda engine: (engine.version, engine.running))
    return [engine.id for engine in old[: max(0, free)]]


def _count_at_once(engines: int, pace: RollPace) -> int:
    """Returns how many engines may load at a time."""
    if pace.is_slow:
        return 1
    is_idle = pace.mean_wait_ms < _IDLE_WAIT_MS
    share = _IDLE_SHARE if is_idle else _AT_ONCE_SHARE
    return max(1, int(engines * share))
