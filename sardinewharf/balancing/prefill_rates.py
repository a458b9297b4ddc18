"""Measures how fast the engines work off prompts, while they serve.

The load pattern: engines of different models read prompts at different speeds,
and what a request waits for is more than the reading: decode steps of other
requests, batches and stale load reports. A rate that was right for one model
made all estimates of another wrong.

The time to the first token is fitted as a line over the prompt tokens queued
before it and its own. Recent requests count more. Until enough are measured, an
assumed line weighs in.

Examples:
    >>> estimator = PrefillRateEstimator()
    >>> for tokens in range(1_000, 60_000, 500):
    ...     estimator.record(tokens, 40.0 + tokens / 92.0)
    >>> 80.0 < estimator.tokens_per_ms < 95.0
    True
"""

# Assumed rate of prefill before it is measured, in tokens per millisecond, and
# assumed time to the first token of an empty prompt, in milliseconds.
ASSUMED_TOKENS_PER_MS = 50.0
ASSUMED_BASE_MS = 60.0
# The assumed line weighs as much as this many measured requests, with prompts
# of these lengths in tokens.
_ASSUMED_WEIGHT = 8.0
_ASSUMED_PROMPT_TOKENS = (1_000.0, 20_000.0)
# Weight of each older request relative to the next one.
_DECAY = 0.995
# A time counts as at most this multiple of the expected one, so that an engine
# that hangs does not determine the rate.
_MAX_TIME_FACTOR = 4.0
_MIN_TOKENS_PER_MS = 5.0
_MAX_TOKENS_PER_MS = 1_000.0


class PrefillRateEstimator:
    """Fits the time to the first token as a line over the prompt tokens."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0
        for tokens in _ASSUMED_PROMPT_TOKENS:
            self._add(
                tokens,
                ASSUMED_BASE_MS + tokens / ASSUMED_TOKENS_PER_MS,
                _ASSUMED_WEIGHT / len(_ASSUMED_PROMPT_TOKENS),
            )

    @property
    def tokens_per_ms(self) -> float:
        """Prompt tokens that an engine works off per millisecond."""
        variance = self._weight * self._sum_xx - self._sum_x**2
        covariance = self._weight * self._sum_xy - self._sum_x * self._sum_y
        if covariance * _MAX_TOKENS_PER_MS <= variance:
            return _MAX_TOKENS_PER_MS
        return max(_MIN_TOKENS_PER_MS, variance / covariance)

    @property
    def base_ms(self) -> float:
        """Time to the first token without any prompt, in milliseconds."""
        mean_x = self._sum_x / self._weight
        mean_y = self._sum_y / self._weight
        return max(0.0, mean_y - mean_x / self.tokens_per_ms)

    def record(self, prompt_tokens: int, first_token_ms: float) -> None:
        """Records a request that was served.

        Args:
            prompt_tokens: Tokens that were queued for prefill at the engine
                when the request was sent, and its own.
            first_token_ms: Time from its sending to its first token.
        """
        expected_ms = self.base_ms + (prompt_tokens / self.tokens_per_ms)
        time_ms = min(first_token_ms, _MAX_TIME_FACTOR * expected_ms)
        self._weight *= _DECAY
        self._sum_x *= _DECAY
        self._sum_y *= _DECAY
        self._sum_xx *= _DECAY
        self._sum_xy *= _DECAY
        self._add(float(prompt_tokens), time_ms, 1.0)

    def _add(self, tokens: float, time_ms: float, weight: float) -> None:
        self._weight += weight
        self._sum_x += weight * tokens
        self._sum_y += weight * time_ms
        self._sum_xx += weight * tokens * tokens
        self._sum_xy += weight * tokens * time_ms
