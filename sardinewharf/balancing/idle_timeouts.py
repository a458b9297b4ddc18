"""Chooses the idle time after which an engine counts as unresponsive.

It depends on how many of a gateway's requests the engine serves. In a small
fleet a gateway receives data from every engine all the time, and half a second
without a byte means that the engine is gone. Where 85 gateways share 30
engines, a gateway has one request at an engine at a time; the same idle time
then only means that this request is queued.

Examples:
    >>> find_idle_timeout(own_requests=6) < find_idle_timeout(own_requests=1)
    True
"""

# Time without any data from an engine, beyond the prefill time of its queued
# prompts, after which it counts as unresponsive.
_IDLE_TIMEOUT_S = 0.6
# The same for an engine that runs at most _FEW_REQUESTS of this gateway.
_FEW_REQUESTS_IDLE_TIMEOUT_S = 1.2
_FEW_REQUESTS = 2


def find_idle_timeout(own_requests: int) -> float:
    """Returns how long an engine may send nothing, in seconds.

    Args:
        own_requests: Number of this gateway's requests at the engine, including
            the one that waits for data.
    """
    return (
        _FEW_REQUESTS_IDLE_TIMEOUT_S
        if own_requests <= _FEW_REQUESTS
        else _IDLE_TIMEOUT_S
    )
