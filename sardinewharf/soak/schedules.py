"""Draws the faults of a soak from its seed."""

import random

from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults

_QUIET_START_S = 1.0
# A restart may take as long as the grace of a process and its start.
_RESTART_S = 10.0
# What has no length of its own takes this long at most.
_CHANGE_S = 0.2
# A gateway is away for this long while a change comes: a revoked key may live
# for five seconds, and callers give up and ask again every four.
_AWAY_S = 9.5
_MISSED_LEAD_S = 0.3
_MISSED_CHANGES = (
    faults.RevokeKey,
    faults.RevokeKey,
    faults.AddRoute,
    faults.NameWeights,
)
_PAUSES_S = (0.1, 0.5, 1.5, 3.0, 6.0)
_LINK_HARMS = (
    ("cut", True),
    ("half_open", True),
    ("hold_requests", True),
    ("hold_answers", True),
    ("delay_ms", 150),
    ("lose_posts", 3),
    ("reset_after", 200),
)
_SERVER_HARMS = (
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
_STORE_HARMS = (
    ("status", 503),
    ("status", 429),
    ("is_silent", True),
    ("lose_answers", 4),
)


def draw_faults(
    seed: int, deployment: deployment_lib.Deployment, seconds: float
) -> list[faults.Fault]:
    """Returns the faults of a soak, in order of their start.

    Processes take one fault at a time; faults of different targets overlap.

    Args:
        seed: Decides all of it.
        deployment: Whose processes and links take the faults.
        seconds: All faults have ended by then.
    """
    rng = random.Random(seed)
    count = rng.randint(2, max(3, int(seconds)))
    schedule = _Schedule()
    for _ in range(count):
        at = rng.uniform(_QUIET_START_S, seconds - _QUIET_START_S)
        until = min(at + rng.choice(_PAUSES_S), seconds)
        schedule.add(_draw(rng, deployment, at, until))
    if seconds > _AWAY_S + 2 * _QUIET_START_S:
        for fault in _draw_missed_change(rng, deployment, seconds):
            schedule.add(fault)
    return sorted(schedule.faults, key=lambda fault: fault.at)


class _Schedule:
    """Faults, one at a time for each target."""

    def __init__(self) -> None:
        self.faults: list[faults.Fault] = []
        self._taken: dict[str, list[tuple[float, float]]] = {}

    def add(self, fault: faults.Fault) -> None:
        """Adds a fault unless its target has another at the time."""
        target = getattr(fault, "name", type(fault).__name__)
        end = max(fault.until, fault.at + _hold_s(fault))
        spans = self._taken.setdefault(target, [])
        if all(end < begin or fault.at > until for begin, until in spans):
            spans.append((fault.at, end))
            self.faults.append(fault)


def _draw_missed_change(
    rng: random.Random, deployment: deployment_lib.Deployment, seconds: float
) -> list[faults.Fault]:
    """Returns a change that comes while a gateway cannot hear of it.

    The gateway is away for longer than a revoked key may live.
    """
    at = rng.uniform(_QUIET_START_S, seconds - _AWAY_S - _QUIET_START_S)
    change_at = at + _MISSED_LEAD_S
    pause = faults.Pause(at, at + _AWAY_S, rng.choice(deployment.gateways))
    change = rng.choice(_MISSED_CHANGES)
    return [pause, change(change_at, change_at)]


def _hold_s(fault: faults.Fault) -> float:
    return _RESTART_S if isinstance(fault, faults.Restart) else _CHANGE_S


def _draw_harm(
    rng: random.Random, harms: tuple[tuple[str, object], ...]
) -> dict[str, object]:
    harm, value = rng.choice(harms)
    return {"harm": harm, "value": value}


def _draw(
    rng: random.Random,
    deployment: deployment_lib.Deployment,
    at: float,
    until: float,
) -> faults.Fault:
    backends = [*deployment.engines, *deployment.servers]
    links = [f"store-{g}" for g in deployment.gateways]
    links += [f"front-{g}" for g in deployment.gateways]
    span = (at, until)
    makers = {
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
        "link": lambda: faults.HarmLink(
            *span,
            name=rng.choice([*links, *backends]),
            **_draw_harm(rng, _LINK_HARMS),
        ),
        "server": lambda: faults.HarmServer(
            *span,
            name=rng.choice(backends),
            **_draw_harm(rng, _SERVER_HARMS),
        ),
        "store": lambda: faults.HarmStore(
            *span, **_draw_harm(rng, _STORE_HARMS)
        ),
        "compact": lambda: faults.Compact(at, at),
        "weights": lambda: faults.NameWeights(at, at),
        "route": lambda: faults.AddRoute(at, at),
        "revoke": lambda: faults.RevokeKey(at, at),
    }
    return makers[rng.choice(list(makers))]()
