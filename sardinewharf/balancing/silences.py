"""Chooses how long an engine may send nothing before others are tried.

A sound engine may pause for a second or so. To try others then costs retry
budget and prefills that are not needed, so a silent engine that still accepts
connections is given that time. One that accepts none has stopped.

When a silence becomes suspicious depends on how many of a gateway's requests
the engine serves. In a small fleet a gateway receives data from every engine
all the time. Where 85 gateways share 30 engines, a gateway has one request at
an engine at a time; the same silence then only means that it is queued.

Examples:
    >>> suspect_after_s = find_suspicious_silence(own_requests=6)
    >>> suspect_after_s < find_suspicious_silence(own_requests=1)
    True
    >>> suspect_after_s < MAX_SILENCE_S
    True
"""

# Time without any data from an engine, beyond the prefill time of its queued
# prompts, after which it is tested whether it accepts connections.
_SUSPICIOUS_SILENCE_S = 0.6
# The same for an engine that runs at most _FEW_REQUESTS of this gateway.
_FEW_REQUESTS_SILENCE_S = 1.2
_FEW_REQUESTS = 2
# Time without any data after which other engines are tried even if it does.
MAX_SILENCE_S = 1.6


def find_suspicious_silence(own_requests: int) -> float:
    """Returns after how many seconds of silence an engine may have stopped.

    Args:
        own_requests: Number of this gateway's requests at the engine, including
            the one that waits for data.
    """
    return (
        _FEW_REQUESTS_SILENCE_S
        if own_requests <= _FEW_REQUESTS
        else _SUSPICIOUS_SILENCE_S
    )
