"""Splits prompts into short and long ones by the lengths that callers send.

The load pattern: some callers send prompts many times as long as those of
others. Where the boundary lies differs between deployments: a short prompt of
one is as long as a long one of another.

The lengths are counted in logarithmic bins, weighted by their tokens, since
these are the work. The boundary is the one that separates the logarithms best
(Otsu's method).

Examples:
    >>> lengths = PromptLengths()
    >>> for _ in range(60):
    ...     lengths.record(400)
    ...     lengths.record(17_000)
    >>> 400 < lengths.split.long_tokens <= 17_000
    True

References:
    Otsu, "A Threshold Selection Method from Gray-Level Histograms", IEEE
    Transactions on Systems, Man, and Cybernetics 9 (1), 1979.
"""

import dataclasses
import math

# Bins for each doubling of the length, and number of bins.
_BINS_PER_DOUBLING = 2
_BINS = 48
# Weight of each older prompt relative to the next one.
_DECAY = 0.999
# Prompts that are counted before there is a boundary, and between two changes.
_MIN_PROMPTS = 64
_PROMPTS_PER_UPDATE = 16
# Before that, prompts of at least this many tokens count as long.
_ASSUMED_LONG_TOKENS = 3_000
# Prompts of at least this share of the boundary have a medium length.
_MEDIUM_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LengthSplit:
    """The boundaries between short, medium and long prompts.

    Attributes:
        long_tokens: Prompts of at least this many tokens are long.
    """

    long_tokens: int = _ASSUMED_LONG_TOKENS

    @property
    def medium_tokens(self) -> int:
        """Prompts of at least this many tokens have a medium length."""
        return int(self.long_tokens * _MEDIUM_SHARE)


class PromptLengths:
    """Counts the lengths of recent prompts.

    Attributes:
        split: The present boundaries.
    """

    def __init__(self) -> None:
        self._tokens = [0.0] * _BINS
        self._prompts = 0
        self.split = LengthSplit()

    def record(self, tokens: int) -> None:
        """Records the length of a prompt that a caller sent."""
        if tokens <= 0:
            return
        bin_index = min(_BINS - 1, int(math.log2(tokens) * _BINS_PER_DOUBLING))
        self._tokens = [weight * _DECAY for weight in self._tokens]
        self._tokens[bin_index] += tokens
        self._prompts += 1
        if self._prompts < _MIN_PROMPTS:
            return
        if not self._prompts % _PROMPTS_PER_UPDATE:
            self.split = self._compute_split()

    def _compute_split(self) -> LengthSplit:
        boundary = _find_boundary(self._tokens)
        return LengthSplit(round(2 ** (boundary / _BINS_PER_DOUBLING)))


def _find_boundary(weights: list[float]) -> int:
    """Returns the bin from which on values belong to the upper class.

    It maximises the variance between the two classes. Among equal boundaries,
    as in a gap between the classes, it is the middle one.
    """
    total = sum(weights)
    total_moment = sum(i * weight for i, weight in enumerate(weights))
    best_variance = -1.0
    best: list[int] = []
    lower = 0.0
    lower_moment = 0.0
    for boundary in range(1, len(weights)):
        lower += weights[boundary - 1]
        lower_moment += (boundary - 1) * weights[boundary - 1]
        upper = total - lower
        if lower <= 0.0 or upper <= 0.0:
            continue
        difference = (
            lower_moment / lower - (total_moment - lower_moment) / upper
        )
        variance = lower * upper * difference**2
        if variance > best_variance * (1 + 1e-9):
            best_variance = variance
            best = [boundary]
        elif variance >= best_variance * (1 - 1e-9):
            best.append(boundary)
    return best[len(best) // 2] if best else len(weights)
