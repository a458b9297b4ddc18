"""Tells a silent engine from one that a gateway seldom hears.

The load pattern: in a small fleet a gateway hears from an engine all the time,
and half a second without a byte means that the engine is gone. Where 85
gateways share 30 engines, a gateway has one request there at a time; the same
silence then means only that this request waits in line.

Examples:
    >>> find_idle_timeout(own_requests=6) < find_idle_timeout(own_requests=1)
    True
"""

# An engine that sends nothing to anybody here for this long beyond the time of
# reading its prompts in line may be silent, in seconds.
_IDLE_TIMEOUT_S = 0.6
# The same for an engine that few requests from here wait for.
_FEW_REQUESTS_IDLE_TIMEOUT_S = 1.2
_FEW_REQUESTS = 2


def find_idle_timeout(own_requests: int) -> float:
    """Returns how long an engine may send nothing, in seconds.

    Args:
        own_requests: Requests of this gateway at the engine, the one that
            waits included.
    """
    return (
        _FEW_REQUESTS_IDLE_TIMEOUT_S
        if own_requests <= _FEW_REQUESTS
        else _IDLE_TIMEOUT_S
    )
