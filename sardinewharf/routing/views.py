"""Estimates how busy an engine is from stale and partial reports.

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

# Dispatches kept for each engine, to add those sent after a report was made.
_MAX_SENT_DISPATCHES = 128


class EngineView:
    """This daemon's estimate of one engine's queue.

    Args:
        engine: The engine's id.
        tokens_per_second: Rate at which the engine computes prompts.

    Attributes:
        engine: The engine's id.
        incarnation: The engine's incarnation as last reported; empty before
            the first report.
    """

    def __init__(self, engine: str, tokens_per_second: float):
        self.engine = engine
        self.incarnation = ""
        self._tokens_per_second = tokens_per_second
        self._idle_at = 0.0
        self._reported_at = -math.inf
        self._sent: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_MAX_SENT_DISPATCHES
        )

    def estimate_wait(self, now: float) -> float:
        """Returns the seconds until the engine would start a new prompt."""
        return max(0.0, self._idle_at - now)

    def estimate_compute(self, tokens: float) -> float:
        """Returns the seconds that the engine takes to compute ``tokens``."""
        return tokens / self._tokens_per_second

    def record_dispatch(self, tokens: float, now: float) -> None:
        """Adds prompt tokens that this daemon has just sent."""
        self._enqueue(tokens, now)
        self._sent.append((now, tokens))

    def record_peer_dispatch(
        self, tokens: float, sent_at: float, now: float
    ) -> None:
        """Adds prompt tokens that another daemon sent.

        Tokens sent before the engine made its last report are already counted
        in that report.
        """
        if sent_at > self._reported_at:
            self._enqueue(tokens, now)
            self._sent.append((sent_at, tokens))

    def record_report(
        self, queued_tokens: float, now: float, made_at: float | None = None
    ) -> None:
        """Replaces the estimate by the queue length that the engine reported.

        Args:
            queued_tokens: Prompt tokens that are queued or being computed.
            now: Current time in seconds.
            made_at: Time at which the engine made the report, if known;
                otherwise ``now`` is assumed.
        """
        reported_at = now if made_at is None else made_at
        self._reported_at = reported_at
        self._idle_at = reported_at + queued_tokens / self._tokens_per_second
        # The report does not include prompts sent after it was made.
        for sent_at, tokens in self._sent:
            if sent_at > reported_at:
                self._enqueue(tokens, sent_at)

    def _enqueue(self, tokens: float, at: float) -> None:
        """Adds prompt tokens that were sent at a time to the estimate."""
        self._idle_at = (
            max(at, self._idle_at) + tokens / self._tokens_per_second
        )
