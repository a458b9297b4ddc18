"""Chooses which engines load new weights next during a rolling update.

The load pattern: the target version changes while engines are busy, and an
engine serves nothing while it loads weights.
"""

from collections.abc import Sequence
import dataclasses

# Share of the engines that may load weights at the same time.
_CONCURRENT_LOADS_SHARE = 0.34
# The same while queues are almost empty: while the mean queue takes less than
# this time to prefill.
_IDLE_CONCURRENT_LOADS_SHARE = 0.5
_IDLE_WAIT_MS = 40.0
# Prefill time of the mean engine's queue above which as few engines load at the
# same time as the deadline allows.
_BUSY_WAIT_MS = 250.0
# Share of the time in which all engines must have a version that a rollout to
# busy engines is planned to take.
_PLANNED_SHARE = 0.75
# Elapsed share of the time in which all engines must have a version, from which
# on it is rolled out at full speed despite long queues.
_FULL_SPEED_ELAPSED_SHARE = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRolloutState:
    """State of an engine during a rollout.

    Attributes:
        id: Id of the engine.
        version: Version of its weights.
        is_updating: Whether it is being drained for an update or loads weights.
        running: Number of requests that run there.
        is_usable: Whether requests may be sent to it.
    """

    id: str
    version: int
    is_updating: bool
    running: int
    is_usable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutPace:
    """Queues and deadline that set the pace of a rollout.

    Attributes:
        mean_wait_ms: Time in which the mean engine prefills its queued prompts.
        elapsed_share: Elapsed share of the time in which all engines must have
            the target version; 1 if it is not known when that was set.
        update_share: Time that the update of an engine takes, as a share of the
            time in which all must have the target version.
    """

    mean_wait_ms: float = 0.0
    elapsed_share: float = 0.0
    update_share: float = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether as few engines are to load at once as the deadline allows.

        After loading weights an engine's prefix cache is empty, and under load
        its shared prompts are better prefilled again a few at a time.
        """
        is_busy = self.mean_wait_ms > _BUSY_WAIT_MS
        return is_busy and self.elapsed_share < _FULL_SPEED_ELAPSED_SHARE


def choose_engines_to_update(
    engines: Sequence[EngineRolloutState],
    target_version: int,
    pace: RolloutPace,
) -> list[str]:
    """Returns the engines to update next, the least loaded first.

    Engines with the oldest weights go before all others.

    Args:
        engines: All engines of the service.
        target_version: Version that all engines must have.
        pace: Queues and deadline of the rollout.

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
        >>> pace = RolloutPace(mean_wait_ms=500.0, update_share=0.25)
        >>> choose_engines_to_update(engines, 2, pace)
        ['e0', 'e1']
        >>> pace = RolloutPace(500.0, elapsed_share=0.6)
        >>> choose_engines_to_update(engines, 2, pace)
        ['e0', 'e1']
        >>> choose_engines_to_update(engines, 1, RolloutPace())
        []
    """
    usable = [engine for engine in engines if engine.is_usable]
    outdated = [
        e
        for e in engines
        if e.version < target_version and not e.is_updating and e.is_usable
    ]
    outdated.sort(key=lambda engine: (engine.version, engine.running))
    updating = sum(engine.is_updating for engine in usable)
    free_loads = _count_concurrent_loads(
        len(usable), updating + len(outdated), pace
    )
    return [e.id for e in outdated[: max(0, free_loads - updating)]]


def _count_concurrent_loads(
    engines: int, outdated: int, pace: RolloutPace
) -> int:
    """Returns how many engines may load at the same time.

    Args:
        engines: Number of all usable engines.
        outdated: Number of those without the target version.
        pace: Queues and deadline of the rollout.
    """
    share = (
        _IDLE_CONCURRENT_LOADS_SHARE
        if pace.mean_wait_ms < _IDLE_WAIT_MS
        else _CONCURRENT_LOADS_SHARE
    )
    most = max(1, int(engines * share))
    if not pace.is_slow:
        return most
    left_share = _PLANNED_SHARE - pace.elapsed_share
    return min(most, max(1, int(outdated * pace.update_share / left_share)))
