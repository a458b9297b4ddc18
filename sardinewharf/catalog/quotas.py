"""Describes the quotas of organisations.

Examples:
    >>> quota = Quota(rate=100.0, burst=50.0, unit=QuotaUnit.TOKENS)
    >>> quota.capacity
    50.0
    >>> Quota(rate=100.0, burst=0.0).capacity
    10.0
"""

import dataclasses
import enum

# A quota with a smaller burst would admit nothing, as a share of its rate in a
# second.
_MIN_BURST_S = 0.1


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The amount of work that an organisation may request.

    Attributes:
        rate: Tokens or requests per second; above 0.
        burst: How much may be requested at once after a pause.
        unit: What is counted.
        plain_cost: Cost of a request that describes no prompt, if tokens are
            counted.
    """

    rate: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_cost: float = 0.0

    @property
    def capacity(self) -> float:
        """Most tokens that are saved up for later."""
        return max(self.burst, self.rate * _MIN_BURST_S, 1.0)

    def compute_cost(self, prompt_tokens: int | None) -> int:
        """Returns the cost of a request.

        Args:
            prompt_tokens: Tokens of the prompt and of the longest answer; None
                if the request describes no prompt.

        Examples:
            >>> Quota(9.0, 9.0).compute_cost(1_520)
            1
            >>> quota = Quota(9.0, 9.0, QuotaUnit.TOKENS, plain_cost=40.0)
            >>> quota.compute_cost(1_520), quota.compute_cost(None)
            (1520, 40)
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        cost = self.plain_cost if prompt_tokens is None else prompt_tokens
        return max(0, int(cost))
