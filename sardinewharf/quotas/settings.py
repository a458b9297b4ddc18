"""Defines by how much quotas may be exceeded, and how that is divided.

A quota is kept by one gateway at a time, as far as gateways can know. What may
exceed it in a window covers the times at which they cannot.

Examples:
    >>> bounds = Bounds(window_s=8.0, over=0.1, slack=1_000.0)
    >>> bounds.find_slack(catalog.Quota(rate=100.0, burst=200.0))
    1100.0
"""

import dataclasses

from sardinewharf import catalog

# Shares of the slack. One request may leave a bucket in debt, a gateway that
# takes a quota over has some tokens to begin with, gateways that reach no owner
# spend the third share together, and the fourth makes up for tokens that are
# held in advance where they are not needed.
_DEBT_SHARE = 0.25
_CREDIT_SHARE = 0.3
_UNOWNED_SHARE = 0.35
_MARGIN_SHARE = 0.1
# Time for which gateways hold tokens in advance, in seconds.
_ADVANCE_S = 0.2
# A gateway that knows fewer others may have just started.
_MIN_GATEWAYS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How much more than a quota may be sent in a window.

    Attributes:
        window_s: Length of the window.
        over: Share of what the quota allows in a window.
        slack: Tokens or requests beyond that.
    """

    window_s: float = 8.0
    over: float = 0.1
    slack: float = 0.0

    def find_slack(self, quota: catalog.Quota) -> float:
        """Returns by how much a quota may be exceeded in a window."""
        allowed = quota.rate * self.window_s + quota.burst
        return allowed * self.over + self.slack

    def find_debt_limit(self, quota: catalog.Quota) -> float:
        """Returns the debt that a request may leave."""
        return self.find_slack(quota) * _DEBT_SHARE

    def find_capacity(self, quota: catalog.Quota) -> float:
        """Returns the most tokens that a bucket may hold."""
        margin = self.find_slack(quota) * _MARGIN_SHARE
        return quota.capacity + min(margin, quota.rate * _ADVANCE_S)

    def find_credit(self, quota: catalog.Quota) -> float:
        """Returns what a gateway may spend while it takes a quota over."""
        return self.find_slack(quota) * _CREDIT_SHARE

    def find_unowned_share(self, quota: catalog.Quota, gateways: int) -> float:
        """Returns what one gateway may spend in a window without an owner."""
        return (
            self.find_slack(quota)
            * _UNOWNED_SHARE
            / max(_MIN_GATEWAYS, gateways)
        )
