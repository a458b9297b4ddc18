"""Draws the faults of a soak run from its seed."""

import random

from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults

_FAULT_FREE_MARGIN_S = 1.0
# A restart takes at most the grace period of a process plus its startup.
_MAX_RESTART_S = 10.0
# Other faults without a duration take at most this long.
_MAX_CHANGE_S = 0.2
# A gateway is suspended for this long while a change is made. A revoked key may
# stay valid for 5 s, and callers give up and send another request every 4 s.
_MISSED_CHANGE_PAUSE_S = 9.5
_MISSED_CHANGE_DELAY_S = 0.3
_MISSED_CHANGES = (
    faults.RevokeKey,
    faults.RevokeKey,
    faults.AddRoute,
    faults.SetTargetVersion,
)
_DURATIONS_S = (0.1, 0.5, 1.5, 3.0, 6.0)
_LINK_FAULTS = (
    ("cut", True),
    ("half_open", True),
    ("hold_requests", True),
    ("hold_answers", True),
    ("delay_ms", 150),
    ("lose_posts", 3),
    ("reset_after", 200),
)
_SERVER_FAULTS = (
    ("refuse", True),
    ("moved", True),
    ("status", 500),
    ("reset", True),
    ("hang", True),
    ("cut_after", 2),
    ("short_body", True),
    ("extra", True),
    ("garbage", True),
    ("wrong_id", True),
    ("no_id", True),
    ("is_unsigned", True),
    ("unframed", True),
)
_STORE_FAULTS = (
    ("status", 503),
    ("status", 429),
    ("is_silent", True),
    ("lose_answers", 4),
)


def draw_faults(
    seed: int, deployment: deployment_lib.Deployment, seconds: float
) -> list[faults.Fault]:
    """Returns the faults of a soak run, sorted by start.

    A target has one fault at a time; faults of different targets may overlap.

    Args:
        seed: Seed of the random choice.
        deployment: Deployment whose processes and links are the targets.
        seconds: Time by which all faults have ended.
    """
    rng = random.Random(seed)
    count = rng.randint(2, max(3, int(seconds)))
    schedule = _Schedule()
    for _ in range(count):
        at = rng.uniform(_FAULT_FREE_MARGIN_S, seconds - _FAULT_FREE_MARGIN_S)
        until = min(at + rng.choice(_DURATIONS_S), seconds)
        schedule.add(_draw_fault(rng, deployment, at, until))
    if seconds > _MISSED_CHANGE_PAUSE_S + 2 * _FAULT_FREE_MARGIN_S:
        for fault in _draw_missed_change(rng, deployment, seconds):
            schedule.add(fault)
    return sorted(schedule.faults, key=lambda fault: fault.at)


class _Schedule:
    """Collects faults, at most one at a time for each target."""

    def __init__(self) -> None:
        self.faults: list[faults.Fault] = []
        self._spans_by_target: dict[str, list[tuple[float, float]]] = {}

    def add(self, fault: faults.Fault) -> None:
        """Adds a fault unless its target has another one at that time.

        The target is the process or link; faults without one, such as those
        of the store, have their class as target.
        """
        target = getattr(fault, "name", type(fault).__name__)
        end = max(fault.until, fault.at + _find_min_span_s(fault))
        spans = self._spans_by_target.setdefault(target, [])
        if all(end < begin or fault.at > until for begin, until in spans):
            spans.append((fault.at, end))
            self.faults.append(fault)


def _draw_missed_change(
    rng: random.Random, deployment: deployment_lib.Deployment, seconds: float
) -> list[faults.Fault]:
    """Returns a change and the suspension of a gateway that misses it.

    The gateway is suspended for longer than a revoked key may stay valid.
    """
    at = rng.uniform(
        _FAULT_FREE_MARGIN_S,
        seconds - _MISSED_CHANGE_PAUSE_S - _FAULT_FREE_MARGIN_S,
    )
    change_at = at + _MISSED_CHANGE_DELAY_S
    pause = faults.Pause(
        at, at + _MISSED_CHANGE_PAUSE_S, rng.choice(deployment.gateways)
    )
    change = rng.choice(_MISSED_CHANGES)
    return [pause, change(change_at, change_at)]


def _find_min_span_s(fault: faults.Fault) -> float:
    return (
        _MAX_RESTART_S if isinstance(fault, faults.Restart) else _MAX_CHANGE_S
    )


def _draw_injected_fault(
    rng: random.Random, choices: tuple[tuple[str, object], ...]
) -> dict[str, object]:
    harm, value = rng.choice(choices)
    return {"harm": harm, "value": value}


def _draw_fault(
    rng: random.Random,
    deployment: deployment_lib.Deployment,
    at: float,
    until: float,
) -> faults.Fault:
    backends = [*deployment.engines, *deployment.servers]
    links = [f"store-{g}" for g in deployment.gateways]
    links += [f"front-{g}" for g in deployment.gateways]
    span = (at, until)
    factories = {
        "pause": lambda: faults.Pause(
            *span, rng.choice([*deployment.gateways, *backends, "store"])
        ),
        "kill": lambda: faults.Kill(
            *span, rng.choice([*deployment.gateways, *backends])
        ),
        "restart": lambda: faults.Restart(
            *span, rng.choice([*deployment.gateways, *backends])
        ),
        "reload": lambda: faults.Reload(
            at, at, rng.choice(deployment.gateways)
        ),
        "link": lambda: faults.LinkFault(
            *span,
            name=rng.choice([*links, *backends]),
            **_draw_injected_fault(rng, _LINK_FAULTS),
        ),
        "server": lambda: faults.ServerFault(
            *span,
            name=rng.choice(backends),
            **_draw_injected_fault(rng, _SERVER_FAULTS),
        ),
        "store": lambda: faults.StoreFault(
            *span, **_draw_injected_fault(rng, _STORE_FAULTS)
        ),
        "compact": lambda: faults.CompactStore(at, at),
        "weights": lambda: faults.SetTargetVersion(at, at),
        "route": lambda: faults.AddRoute(at, at),
        "revoke": lambda: faults.RevokeKey(at, at),
    }
    return factories[rng.choice(list(factories))]()
