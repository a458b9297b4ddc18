"""Halts the orders to load weights that end the engines that load them.

The load pattern: a version's weights end each engine that loads them. Each
comes back as another engine, of which no failure is known, and is ordered
again.

Engines that end for another reason while they load must not be taken for a sign
of bad weights. So a halted version is tried again while there is still time to
roll it out.

Examples:
    >>> failures = LoadFailures(rollout_limit_s=20.0)
    >>> for engine in ("e1", "e2", "e3"):
    ...     failures.record("m", 2, engine, now=0.0)
    >>> failures.may_order("m", 2, now=1.0), failures.may_order("m", 3, now=1.0)
    (False, True)
    >>> failures.may_order("m", 2, now=10.0)
    True
    >>> failures.clear("m", 2)
    >>> failures.may_order("m", 2, now=1.0)
    True

See Also:
    ``rollouts``, which chooses the engines to update.
"""

import dataclasses

# Engines that a version may end, before any has loaded it, until it is halted.
_MAX_FAILURES = 3
# Longest time between two trials of a version that is halted, in seconds.
_MAX_TRIAL_INTERVAL_S = 15.0
# The same as a share of the time in which a version must be loaded everywhere.
_TRIAL_INTERVAL_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Failures:
    """The engines that a version ended.

    Attributes:
        engines: Their incarnations.
        last_at: When the last of them ended, or the last trial began.
    """

    engines: set[str] = dataclasses.field(default_factory=set)
    last_at: float = 0.0


class LoadFailures:
    """Engines that ended when they loaded weights, by model and version.

    Args:
        rollout_limit_s: Time in which a version must be loaded everywhere, in
            seconds.
    """

    def __init__(self, rollout_limit_s: float):
        self._trial_interval_s = min(
            _MAX_TRIAL_INTERVAL_S, _TRIAL_INTERVAL_SHARE * rollout_limit_s
        )
        self._failures: dict[tuple[str, int], _Failures] = {}

    def record(
        self, model: str, version: int, incarnation: str, now: float
    ) -> None:
        """Records that an engine ended while it loaded a version.

        Failures of the model's former versions are forgotten.
        """
        for key in list(self._failures):
            if key[0] == model and key[1] < version:
                del self._failures[key]
        found = self._failures.setdefault((model, version), _Failures())
        found.engines.add(incarnation)
        found.last_at = now

    def clear(self, model: str, version: int) -> None:
        """Records that an engine has loaded a version."""
        self._failures.pop((model, version), None)

    def is_halted(self, model: str, version: int) -> bool:
        """Returns whether a version is only tried now and then."""
        found = self._failures.get((model, version))
        return found is not None and len(found.engines) >= _MAX_FAILURES

    def may_order(self, model: str, version: int, now: float) -> bool:
        """Returns whether an engine may be ordered to load a version."""
        if not self.is_halted(model, version):
            return True
        last_at = self._failures[model, version].last_at
        return now >= last_at + self._trial_interval_s

    def record_trial(self, model: str, version: int, now: float) -> None:
        """Records that a version that is halted is tried."""
        self._failures[model, version].last_at = now
