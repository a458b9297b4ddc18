"""Chooses the Retry-After of refusals.

Each is drawn from a range, so that callers that were refused together do not
come back together.
"""

from collections.abc import Iterable
import math
import random

# If an endpoint may take requests again at any moment, in seconds.
_MIN_SOON_S = 0.2
_MAX_SOON_S = 0.5
# If all endpoints have left, in seconds: others have to start and register.
_MIN_REPLACEMENT_S = 1.0
_MAX_REPLACEMENT_S = 2.0
# Other endpoints may have registered after this time, in seconds.
_MAX_WAIT_S = 30.0
# Callers of endpoints that pause come back this much later at most, as a share
# of the wait and in seconds.
_SPREAD_SHARE = 0.1
_SPREAD_S = 0.5
# The same for callers of an organisation that is over its quota: each of them
# was told another time already, in seconds.
_QUOTA_SPREAD_S = 0.1


def choose_soon() -> float:
    """Returns the seconds if the cause may pass at any moment."""
    return random.uniform(_MIN_SOON_S, _MAX_SOON_S)


def choose_for_waits(waits_s: Iterable[float]) -> float:
    """Returns the seconds after which one of a service's endpoints is free.

    Args:
        waits_s: For each endpoint the seconds until it may be sent a request;
            infinite if it has left.

    Examples:
        >>> 3.0 <= choose_for_waits([4.0, 3.0, math.inf]) <= 3.8
        True
        >>> choose_for_waits([0.0, 3.0]) <= 0.5
        True
        >>> choose_for_waits([math.inf]) >= 1.0
        True
    """
    shortest_s = min(waits_s, default=0.0)
    if math.isinf(shortest_s):
        return random.uniform(_MIN_REPLACEMENT_S, _MAX_REPLACEMENT_S)
    if shortest_s <= 0.0:
        return choose_soon()
    wait_s = min(shortest_s, _MAX_WAIT_S)
    spread_s = _SPREAD_S + _SPREAD_SHARE * wait_s
    return wait_s + random.uniform(0.0, spread_s)


def choose_for_quota(wait_s: float) -> float:
    """Returns the seconds after which a quota admits a refused request.

    Args:
        wait_s: The same without a spread.

    Examples:
        >>> 3.0 <= choose_for_quota(3.0) <= 3.4
        True
    """
    spread_s = _QUOTA_SPREAD_S + _SPREAD_SHARE * wait_s
    return wait_s + random.uniform(0.0, spread_s)
