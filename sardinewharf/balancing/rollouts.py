"""Chooses which engines take new weights next.

The load pattern: new weights are named while engines are busy, and every
engine that loads them serves nothing meanwhile.
"""

from collections.abc import Sequence
import dataclasses

# Share of the engines that load at a time.
_CONCURRENT_LOADS_SHARE = 0.34
# The share while hardly a prompt is in line, and what that means in ms.
_IDLE_CONCURRENT_LOADS_SHARE = 0.5
_IDLE_WAIT_MS = 40.0
# Prompts in line at the mean engine above which engines load one at a time,
# in ms of reading.
_BUSY_WAIT_MS = 250.0
# A version that was named this long ago is rolled out at full speed, as a
# share of the time in which all engines must have it.
_FULL_SPEED_ELAPSED_SHARE = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRolloutState:
    """An engine, as far as a roll is concerned.

    Attributes:
        id: Its id.
        version: Version of its weights.
        is_updating: Whether it is about to load, or loads.
        running: Requests that run there.
        is_usable: Whether it answers.
    """

    id: str
    version: int
    is_updating: bool
    running: int
    is_usable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutPace:
    """How urgent a roll is.

    Attributes:
        mean_wait_ms: Time until the mean engine has read its prompts in line.
        elapsed_share: Elapsed share of the time in which all engines must have
            the version; 1 if it is not known when the version was set.
    """

    mean_wait_ms: float = 0.0
    elapsed_share: float = 0.0

    @property
    def is_sequential(self) -> bool:
        """Whether engines are to load one at a time.

        After its load an engine holds no prompt: under load, those prompts are
        better read again a few at a time.
        """
        is_busy = self.mean_wait_ms > _BUSY_WAIT_MS
        return is_busy and self.elapsed_share < _FULL_SPEED_ELAPSED_SHARE


def choose_engines_to_update(
    engines: Sequence[EngineRolloutState],
    target_version: int,
    pace: RolloutPace,
) -> list[str]:
    """Returns the engines to order next, the idlest first.

    Examples:
        >>> engines = [
        ...     EngineRolloutState(f"e{i}", 1, False, i) for i in range(6)
        ... ]
        >>> choose_engines_to_update(engines, 2, RolloutPace())
        ['e0', 'e1', 'e2']
        >>> pace = RolloutPace(mean_wait_ms=100.0)
        >>> choose_engines_to_update(engines, 2, pace)
        ['e0', 'e1']
        >>> pace = RolloutPace(mean_wait_ms=500.0)
        >>> choose_engines_to_update(engines, 2, pace)
        ['e0']
        >>> pace = RolloutPace(500.0, elapsed_share=0.6)
        >>> choose_engines_to_update(engines, 2, pace)
        ['e0', 'e1']
        >>> choose_engines_to_update(engines, 1, RolloutPace())
        []
    """
    usable = [engine for engine in engines if engine.is_usable]
    free_loads = _count_concurrent_loads(len(usable), pace)
    free_loads -= sum(engine.is_updating for engine in usable)
    outdated = [
        e
        for e in engines
        if e.version < target_version and not e.is_updating and e.is_usable
    ]
    outdated.sort(key=lambda engine: (engine.version, engine.running))
    return [engine.id for engine in outdated[: max(0, free_loads)]]


def _count_concurrent_loads(engines: int, pace: RolloutPace) -> int:
    """Returns how many engines may load at a time."""
    if pace.is_sequential:
        return 1
    has_idle_queue = pace.mean_wait_ms < _IDLE_WAIT_MS
    share = (
        _IDLE_CONCURRENT_LOADS_SHARE
        if has_idle_queue
        else _CONCURRENT_LOADS_SHARE
    )
    return max(1, int(engines * share))
