"""Draws the faults of a soak from its seed."""

import random

from sardinewharf.soak import faults
from sardinewharf.soak import field as field_lib

_QUIET_START_S = 1.0
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
    seed: int, field: field_lib.Field, seconds: float
) -> list[faults.Fault]:
    """Returns the faults of a soak, in order of their start.

    Processes take one fault at a time; faults of different targets overlap.

    Args:
        seed: Decides all of it.
        field: Whose processes and links take the faults.
        seconds: All faults have ended by then.
    """
    rng = random.Random(seed)
    count = rng.randint(2, max(3, int(seconds)))
    drawn: list[faults.Fault] = []
    taken: dict[str, list[tuple[float, float]]] = {}
    for _ in range(count):
        at = rng.uniform(_QUIET_START_S, seconds - _QUIET_START_S)
        until = min(at + rng.choice(_PAUSES_S), seconds)
        fault = _draw(rng, field, at, until)
        target = getattr(fault, "name", type(fault).__name__)
        # A restart may take as long as the grace of a process.
        spans = taken.setdefault(target, [])
        if all(until < begin or at > end for begin, end in spans):
            spans.append((at, max(until, at + _hold_s(fault))))
            drawn.append(fault)
    return sorted(drawn, key=lambda fault: fault.at)


def _hold_s(fault: faults.Fault) -> float:
    return 10.0 if isinstance(fault, faults.Restart) else 0.2


def _draw(
    rng: random.Random, field: field_lib.Field, at: float, until: float
) -> faults.Fault:
    backends = [*field.engines, *field.servers]
    links = [f"store-{g}" for g in field.gateways]
    links += [f"front-{g}" for g in field.gateways]
    span = (at, until)
    makers = {
        "pause": lambda: faults.Pause(
            *span, rng.choice([*field.gateways, *backends, "store"])
        ),
        "kill": lambda: faults.Kill(
            *span, rng.choice([*field.gateways, *backends])
        ),
        "restart": lambda: faults.Restart(
            *span, rng.choice([*field.gateways, *backends])
        ),
        "reload": lambda: faults.Reload(at, at, rng.choice(field.gateways)),
        "link": lambda: faults.HarmLink(
            *span, rng.choice([*links, *backends]), *rng.choice(_LINK_HARMS)
        ),
        "server": lambda: faults.HarmServer(
            *span, rng.choice(backends), *rng.choice(_SERVER_HARMS)
        ),
        "store": lambda: faults.HarmStore(*span, *rng.choice(_STORE_HARMS)),
        "compact": lambda: faults.Compact(at, at),
        "weights": lambda: faults.NameWeights(at, at),
        "route": lambda: faults.AddRoute(at, at),
        "revoke": lambda: faults.RevokeKey(at, at),
    }
    return makers[rng.choice(list(makers))]()
