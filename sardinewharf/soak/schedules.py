"""Draws the faults of a soak run from its seed."""

import random

from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import families
from sardinewharf.soak import faults
from sardinewharf.soak import operators
from sardinewharf.standins import server_faults

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
# Seeds draw from these alone, so that they keep their faults.
_SHORT_REFUSAL_PLACES = (
    server_faults.RefusalPlace.INSTEAD,
    server_faults.RefusalPlace.BEFORE,
    server_faults.RefusalPlace.BEHIND,
    server_faults.RefusalPlace.LATER,
)
# One seed in so many has only planned operations and short pauses, so that no
# fault excuses a stream that is cut.
_SEEDS_PER_CALM_SEED = 3
_CALM_REMAINDER = 1
_SHORT_PAUSE_RANGE_S = (0.8, 1.5)
_CHANGE_DELAY_RANGE_S = (0.1, 1.0)
_MAX_CHANGES = 8
_BURST_RESERVE_S = 1.0
_OVERRIDES = (
    (operators.Override.ROUTE, ("chat", "ask", "book", "look")),
    (operators.Override.KEY, (operators.TEMPORARY_KEY,)),
    (operators.Override.IDLE_LIMIT_MS, (100, 400, 1_000, 10_000)),
    (operators.Override.MAX_CONNS, (1, 2, 5, 200)),
    (operators.Override.TIMEOUT_MS, (400, 1_000, 2_000, 5_000)),
)


def draw_faults(
    seed: int,
    deployment: deployment_lib.Deployment,
    seconds: float,
    only: str = "",
) -> list[faults.Fault]:
    """Returns the faults of a soak run, sorted by start.

    A target has one fault at a time; faults of different targets may overlap.

    Args:
        seed: Seed of the random choice.
        deployment: Deployment whose processes and links are the targets.
        seconds: Time by which all faults have ended.
        only: Name of the only family of faults to draw; empty for all faults.
    """
    schedule = _Schedule()
    is_calm = seed % _SEEDS_PER_CALM_SEED == _CALM_REMAINDER
    if not only:
        _add_short_faults(schedule, seed, deployment, seconds, is_calm=is_calm)
    for family in families.FAMILIES:
        rng = random.Random(f"{family.name} {seed}")
        is_drawn = rng.random() < family.share and (
            family.is_planned or not is_calm
        )
        if family.name == only or (is_drawn and not only):
            for fault in family.draw(rng, deployment, seconds):
                schedule.add(fault)
    return sorted(schedule.faults, key=lambda fault: fault.at)


def _add_short_faults(
    schedule: "_Schedule",
    seed: int,
    deployment: deployment_lib.Deployment,
    seconds: float,
    *,
    is_calm: bool,
) -> None:
    """Adds faults that each last for some seconds at most."""
    if not is_calm:
        _add_general_faults(schedule, seed, deployment, seconds)
    # A generator of its own: the faults above stay those of their seed.
    rng = random.Random(f"answers {seed}")
    factories = _CALM_FACTORIES if is_calm else _ALL_FACTORIES
    for _ in range(rng.randint(int(seconds / 2), int(seconds))):
        at = rng.uniform(_FAULT_FREE_MARGIN_S, seconds - _FAULT_FREE_MARGIN_S)
        until = min(at + rng.choice(_DURATIONS_S), seconds)
        for fault in rng.choice(factories)(rng, deployment, at, until):
            if fault.until <= seconds:
                schedule.add(fault)


def _add_general_faults(
    schedule: "_Schedule",
    seed: int,
    deployment: deployment_lib.Deployment,
    seconds: float,
) -> None:
    """Adds faults of all processes and links, and planned operations."""
    rng = random.Random(seed)
    count = rng.randint(2, max(3, int(seconds)))
    for _ in range(count):
        at = rng.uniform(_FAULT_FREE_MARGIN_S, seconds - _FAULT_FREE_MARGIN_S)
        until = min(at + rng.choice(_DURATIONS_S), seconds)
        schedule.add(_draw_fault(rng, deployment, at, until))
    if seconds > _MISSED_CHANGE_PAUSE_S + 2 * _FAULT_FREE_MARGIN_S:
        for fault in _draw_missed_change(rng, deployment, seconds):
            schedule.add(fault)


class _Schedule:
    """Collects faults, at most one at a time for each target."""

    def __init__(self) -> None:
        self.faults: list[faults.Fault] = []
        self._spans_by_target: dict[str, list[tuple[float, float]]] = {}

    def add(self, fault: faults.Fault) -> None:
        """Adds a fault unless its target has another one at that time."""
        end = max(fault.until, fault.at + _find_min_span_s(fault))
        spans = self._spans_by_target.setdefault(fault.target, [])
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
    if isinstance(fault, faults.Restart):
        return _MAX_RESTART_S
    if isinstance(fault, faults.Leave):
        return fault.until - fault.at + _MAX_RESTART_S
    return _MAX_CHANGE_S


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


def _draw_stale_refusal(rng, deployment, at, until) -> list[faults.Fault]:
    value = {
        "status": rng.choice((421, 429, 503)),
        "place": rng.choice(_SHORT_REFUSAL_PLACES).value,
        "is_named": rng.random() < 0.5,
    }
    name = rng.choice([*deployment.engines, *deployment.servers])
    return [faults.ServerFault(at, until, "stale_refusal", value, name)]


def _draw_cut_head(rng, deployment, at, until) -> list[faults.Fault]:
    value = rng.choice(list(server_faults.HeadEnd)).value
    name = rng.choice([*deployment.engines, *deployment.servers])
    return [faults.ServerFault(at, until, "cut_head", value, name)]


def _draw_broken_streams(rng, deployment, at, until) -> list[faults.Fault]:
    """Returns an engine that breaks streams and one that does not resume."""
    broken, other = rng.sample(deployment.engines, 2)
    value = {
        "status": rng.choice((200, 400, 500, 503)),
        "framing": rng.choice(list(server_faults.Framing)).value,
    }
    return [
        faults.ServerFault(at, until, "cut_after", 2, broken),
        faults.ServerFault(at, until, "resume_error", value, other),
    ]


def _draw_short_pause(rng, deployment, at, until) -> list[faults.Fault]:
    """Returns a pause of one server, of one engine or of all engines."""
    names = rng.choice(
        (
            (rng.choice(deployment.servers),),
            (rng.choice(deployment.engines),),
            tuple(deployment.engines),
        )
    )
    end = at + rng.uniform(*_SHORT_PAUSE_RANGE_S)
    return [faults.ShortPause(at, end, names)]


def _draw_burst(rng, deployment, at, until) -> list[faults.Fault]:
    changes = []
    for _ in range(rng.randint(2, _MAX_CHANGES)):
        override, values = rng.choice(_OVERRIDES)
        delay_s = rng.uniform(*_CHANGE_DELAY_RANGE_S)
        changes.append(
            faults.TimedOverride(delay_s, override, rng.choice(values))
        )
    end = at + sum(change.delay_s for change in changes) + _BURST_RESERVE_S
    return [faults.ChangeBurst(at, end, tuple(changes))]


def _draw_drain(rng, deployment, at, until) -> list[faults.Fault]:
    name = rng.choice([*deployment.engines, *deployment.servers])
    return [faults.Drain(at, until, name)]


def _draw_planned(rng, deployment, at, until) -> list[faults.Fault]:
    """Returns a planned operation other than a burst of changes."""
    return [
        rng.choice(
            (
                faults.Restart(at, at, rng.choice(deployment.gateways)),
                faults.Reload(at, at, rng.choice(deployment.gateways)),
                faults.SetTargetVersion(at, at),
                faults.AddRoute(at, at),
                faults.RevokeKey(at, at),
            )
        )
    ]


_CALM_FACTORIES = (
    _draw_short_pause,
    _draw_short_pause,
    _draw_burst,
    _draw_drain,
    _draw_planned,
)
_ALL_FACTORIES = (
    _draw_stale_refusal,
    _draw_stale_refusal,
    _draw_cut_head,
    _draw_broken_streams,
    _draw_short_pause,
    _draw_burst,
    _draw_burst,
    _draw_drain,
)
