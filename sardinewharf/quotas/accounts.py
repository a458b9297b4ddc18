"""Holds what a gateway has of an organisation's quota, and how it uses it."""

import dataclasses
import math

# Demand for which tokens are granted in advance, in seconds, and the requests a
# second from which on they are.
_ADVANCE_S = 0.2
_MIN_REQUESTS_PER_S = 5.0
# Tokens that were granted in advance expire after this time, in seconds.
_EXPIRY_S = 1.0
# Time over which the demand is averaged, in seconds.
_AVERAGE_S = 1.0
# A denial counts for this long at most without another ask, in seconds.
_MAX_BLOCKED_S = 0.1
# While a gateway is denied more than this number of requests between two asks,
# it asks so rarely that the owner gets one ask in 2 ms from all gateways: more
# would take its processor. Each is then granted all that was added since.
_MANY_DENIED = 2.0
_ASK_INTERVAL_S = 0.002
_MAX_PAUSE_S = 0.5
# A time before all others that can be computed with.
_LONG_AGO = -1e9


@dataclasses.dataclass(slots=True)
class Account:
    """An organisation's quota, as a gateway uses it.

    Attributes:
        tokens: Tokens that were granted and not used yet.
        returned: Tokens that go back to the owner.
        refused: Cost of the requests that were refused without an ask.
        used: Cost of the requests that were admitted.
        expires_at: When the tokens expire.
        blocked_until: Until when the owner admits no request.
        wait_until: When it would have admitted the last one that it denied.
        unowned: Tokens that may be spent without an owner.
        unowned_at: When they were last added to.
        asking: Number of requests that await a response of an owner.
        queued: Requests that wait for these responses.
    """

    tokens: int = 0
    returned: int = 0
    refused: int = 0
    used: int = 0
    expires_at: float = -math.inf
    blocked_until: float = -math.inf
    wait_until: float = -math.inf
    unowned: float = 0.0
    unowned_at: float = _LONG_AGO
    asking: int = 0
    queued: list[object] = dataclasses.field(default_factory=list)
    _requests_per_s: float = 0.0
    _cost_per_s: float = 0.0
    _counted_at: float = -math.inf

    @property
    def is_settled(self) -> bool:
        """Whether there is nothing to report, return or wait for."""
        return not (
            self.tokens or self.returned or self.used > 0 or self.queued
        )

    def count_demand(self, cost: int, now: float) -> None:
        """Counts a request for the average demand."""
        elapsed = now - self._counted_at
        decay = math.exp(-elapsed / _AVERAGE_S)
        self._requests_per_s = self._requests_per_s * decay + 1 / _AVERAGE_S
        self._cost_per_s = self._cost_per_s * decay + cost / _AVERAGE_S
        self._counted_at = now

    def find_target(self) -> int:
        """Returns how many tokens should be there in advance."""
        if self._requests_per_s < _MIN_REQUESTS_PER_S:
            return 0
        return int(self._cost_per_s * _ADVANCE_S)

    def take(self, cost: int, now: float) -> bool:
        """Returns whether a request is covered by tokens granted before."""
        if self.tokens < cost or now >= self.expires_at:
            return False
        self.tokens -= cost
        self.used += cost
        return True

    def add(self, tokens: int, now: float) -> None:
        """Adds tokens that were granted."""
        self.drop_expired(now)
        self.tokens += tokens
        self.expires_at = now + _EXPIRY_S

    def drop_expired(self, now: float) -> None:
        """Returns what was not used in time or is more than needed."""
        kept = 0 if now >= self.expires_at else 2 * self.find_target()
        if self.tokens > kept:
            self.returned += self.tokens - kept
            self.tokens = kept

    def find_pause(self, gateways: int) -> float:
        """Returns for how long the owner is not asked after a denial.

        It is 0 unless many requests come.

        Args:
            gateways: Number of gateways that may ask the owner.
        """
        pause_s = min(gateways * _ASK_INTERVAL_S, _MAX_PAUSE_S)
        is_flood = self._requests_per_s * pause_s >= _MANY_DENIED
        return pause_s if is_flood else 0.0

    def record_denial(
        self, wait_s: float, blocked_s: float, pause_s: float, now: float
    ) -> None:
        """Records that the owner denied a request.

        Args:
            wait_s: Time after which it would have been admitted.
            blocked_s: Time in which the owner admits no request.
            pause_s: Time in which it is not asked.
            now: The time.
        """
        blocked_s = min(blocked_s, _MAX_BLOCKED_S)
        self.blocked_until = now + max(blocked_s, pause_s)
        self.wait_until = now + wait_s

    def refuse(self, cost: int, rate: float, now: float) -> float:
        """Refuses a request without an ask; returns the seconds to wait."""
        wait_s = max(0.0, self.wait_until - now) + self.refused / rate
        self.refused += cost
        return wait_s

    def take_unowned(
        self, cost: int, share: float, window_s: float, now: float
    ) -> bool:
        """Returns whether a request is admitted without an owner.

        Args:
            cost: Its cost.
            share: What this gateway may spend in a window.
            window_s: Length of the window.
            now: The time.
        """
        # Half of it at once and half over the window, so that no window has
        # more than the share.
        added = (now - self.unowned_at) * share / 2 / window_s
        self.unowned = min(share / 2, self.unowned + added)
        self.unowned_at = now
        if self.unowned < cost:
            return False
        self.unowned -= cost
        self.used += cost
        return True
