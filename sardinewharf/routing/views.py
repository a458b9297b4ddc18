"""Estimates how busy an engine is from stale and partial news.

Examples:
    >>> view = EngineView("e1", tokens_per_second=1000.0)
    >>> view.record_report(queued_tokens=2000, now=10.0)
    >>> view.estimate_wait(now=11.0)
    1.0
    >>> view.record_dispatch(500, now=11.0)
    >>> view.estimate_wait(now=11.0)
    1.5
"""

import collections
import math

_MAX_SENT = 128


class EngineView:
    """What this daemon believes of one engine's queue.

    Args:
        engine: The engine's id.
        tokens_per_second: Rate at which it computes prompts.

    Attributes:
        incarnation: The incarnation that the view is about.
    """

    def __init__(self, engine: str, tokens_per_second: float):
        self.engine = engine
        self.incarnation = ""
        self._rate = tokens_per_second
        self._idle_at = 0.0
        self._reported_at = -math.inf
        self._sent: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_MAX_SENT
        )

    def estimate_wait(self, now: float) -> float:
        """Returns the seconds until a new prompt would be begun."""
        return max(0.0, self._idle_at - now)

    def estimate_compute(self, tokens: float) -> float:
        """Returns the seconds that computing ``tokens`` takes."""
        return tokens / self._rate

    def record_dispatch(self, tokens: float, now: float) -> None:
        """Adds prompt tokens that were just sent."""
        self._enqueue(tokens, now)
        self._sent.append((now, tokens))

    def record_peer_dispatch(
        self, tokens: float, sent_at: float, now: float
    ) -> None:
        """Adds prompt tokens that another daemon sent.

        What it sent before the last report was made is in that report.
        """
        if sent_at > self._reported_at:
            self._enqueue(tokens, now)
            self._sent.append((sent_at, tokens))

    def record_report(
        self, queued_tokens: float, now: float, made_at: float | None = None
    ) -> None:
        """Takes in how many tokens the engine says are queued.

        Args:
            queued_tokens: Prompt tokens that wait or are being computed.
            now: Current time in seconds.
            made_at: When the engine made the report, if that is known.
        """
        at = now if made_at is None else made_at
        self._reported_at = at
        self._idle_at = at + queued_tokens / self._rate
        # The report cannot tell of what was sent after it was made.
        for sent_at, tokens in self._sent:
            if sent_at > at:
                self._enqueue(tokens, sent_at)

    def _enqueue(self, tokens: float, at: float) -> None:
        self._idle_at = max(at, self._idle_at) + tokens / self._rate
