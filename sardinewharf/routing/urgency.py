"""Decides which dispatches are reported to other daemons at once.

With cold caches, several daemons send long prompts to engines that look idle
to each of them. The quarter of a second until the next regular message is long
enough for three daemons to choose the same engine.

Examples:
    >>> bucket = make_urgent_bucket(now=0.0)
    >>> [bucket.take(now=0.0, tokens=200) for _ in range(3)]
    [0.0, 0.0, 10.0]
"""

from sardinewharf import limits

# Prompts of at least this many tokens occupy an engine for a long time.
URGENT_TOKENS = 4_096
# Limits of the messages beside the regular ones, over all peers together.
_BURST_MESSAGES = 400.0
_MESSAGES_PER_S = 20.0


def make_urgent_bucket(now: float) -> limits.TokenBucket:
    """Returns the rate limit of messages sent ahead of the regular ones."""
    return limits.TokenBucket(_MESSAGES_PER_S, _BURST_MESSAGES, now)
