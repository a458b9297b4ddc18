"""Decides which dispatches other daemons must hear of at once.

The load pattern: caches are cold, and several daemons send long prompts to
engines that each of them takes for idle. A quarter of a second until the next
digest is long enough for three to meet at one engine.

Examples:
    >>> bucket = make_urgent_bucket(now=0.0)
    >>> [bucket.take(now=0.0, tokens=200) for _ in range(3)]
    [0.0, 0.0, 10.0]
"""

from sardinewharf import limits

# From this many tokens on, a prompt keeps an engine busy for long.
URGENT_TOKENS = 4_096
# Messages beside the regular ones, saved up and earned, to all peers together.
_BURST_MESSAGES = 400.0
_MESSAGES_PER_S = 20.0


def make_urgent_bucket(now: float) -> limits.TokenBucket:
    """Returns what bounds the messages that do not wait for a digest."""
    return limits.TokenBucket(_MESSAGES_PER_S, _BURST_MESSAGES, now)
