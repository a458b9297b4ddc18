"""Chooses which engines are ordered next, a few at a time.

Examples:
    >>> old = EngineWeightsState("e1", {"m": "w1"}, target={"m": "w2"})
    >>> also = EngineWeightsState("e2", {"m": "w1"}, target={"m": "w2"})
    >>> chosen = choose_engines_to_load([old, also], {"m": 1}, max_loading=2)
    >>> [e.engine for e in chosen]
    ['e1']
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWeightsState:
    """What an engine has loaded, and what is wanted.

    Attributes:
        engine: The engine.
        loaded: Its weights version for each model or adapter.
        target: The target ones.
        is_loading: Whether it loads weights now.
    """

    engine: str
    loaded: Mapping[str, str]
    target: Mapping[str, str]
    is_loading: bool = False

    @property
    def is_done(self) -> bool:
        """Whether the engine has what is wanted."""
        return self.loaded == self.target and not self.is_loading


def choose_engines_to_load(
    engines: Sequence[EngineWeightsState],
    min_engines: Mapping[str, int],
    max_loading: int,
) -> list[EngineWeightsState]:
    """Returns the engines to order now.

    Args:
        engines: All engines of the failure domain.
        min_engines: Least number of ready engines for each model or adapter.
        max_loading: Most engines that load at a time.
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
    """Returns whether every model keeps its quorum without an engine."""
    for name in engine.loaded:
        serving = [e for e in engines if name in e.loaded]
        remaining = [
            e
            for e in serving
            if e is not engine and not e.is_loading and e not in chosen
        ]
        # With no more engines than the quorum, one has to go first.
        min_remaining = min(min_engines.get(name, 0), len(serving) - 1)
        if len(remaining) < min_remaining:
            return False
    return True
