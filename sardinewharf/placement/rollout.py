"""Chooses which engines load weights next, a few at a time.

Examples:
    >>> old = EngineWeightsState("e1", {"m": "w1"}, target={"m": "w2"})
    >>> other = EngineWeightsState("e2", {"m": "w1"}, target={"m": "w2"})
    >>> chosen = choose_engines_to_load([old, other], {"m": 1}, max_loading=2)
    >>> [e.engine for e in chosen]
    ['e1']
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWeightsState:
    """Loaded and target weights of an engine.

    Attributes:
        engine: Id of the engine.
        loaded: Loaded weights version of each model or adapter.
        target: Target weights version of each model or adapter.
        is_loading: Whether the engine loads weights now.
    """

    engine: str
    loaded: Mapping[str, str]
    target: Mapping[str, str]
    is_loading: bool = False

    @property
    def is_done(self) -> bool:
        """Whether the engine has loaded exactly its target weights."""
        return self.loaded == self.target and not self.is_loading


def choose_engines_to_load(
    engines: Sequence[EngineWeightsState],
    min_engines: Mapping[str, int],
    max_loading: int,
) -> list[EngineWeightsState]:
    """Returns the engines that are to load their target weights now.

    Args:
        engines: All engines of the failure domain.
        min_engines: Minimum number of ready engines of each model or adapter.
        max_loading: Maximum number of engines that load at the same time.
    """
    loading = sum(engine.is_loading for engine in engines)
    chosen: list[EngineWeightsState] = []
    for engine in engines:
        if engine.is_loading or engine.is_done:
            continue
        if loading + len(chosen) >= max_loading:
            break
        if _can_stop_serving(engine, engines, chosen, min_engines):
            chosen.append(engine)
    return chosen


def _can_stop_serving(
    engine: EngineWeightsState,
    engines: Sequence[EngineWeightsState],
    chosen: Sequence[EngineWeightsState],
    min_engines: Mapping[str, int],
) -> bool:
    """Returns whether every model keeps enough engines without this one."""
    for name in engine.loaded:
        serving = [e for e in engines if name in e.loaded]
        remaining = [
            e
            for e in serving
            if e is not engine and not e.is_loading and e not in chosen
        ]
        # With no more engines than the minimum a rollout could never start,
        # so one engine may be taken below it.
        min_remaining = min(min_engines.get(name, 0), len(serving) - 1)
        if len(remaining) < min_remaining:
            return False
    return True
