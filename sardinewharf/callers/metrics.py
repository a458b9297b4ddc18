"""Metrics of the requests from callers."""

import collections

import aioprometheus

from sardinewharf import outcomes

_FIRST_TOKEN_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0)
_MAX_BUFFERED_OBSERVATIONS = 4096


class CallerMetrics:
    """Metrics of the requests from callers, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._outcomes = aioprometheus.Counter(
            "sardinewharf_outcomes_total",
            "Requests by outcome.",
            registry=self.registry,
        )
        self._chunks = aioprometheus.Counter(
            "sardinewharf_chunks_total",
            "Stream chunks relayed.",
            registry=self.registry,
        )
        self._tokens = aioprometheus.Counter(
            "sardinewharf_prompt_tokens_total",
            "Prompt tokens by whether an engine had them cached.",
            registry=self.registry,
        )
        self._first_token = aioprometheus.Histogram(
            "sardinewharf_first_token_seconds",
            "Time from a request's arrival to its first chunk.",
            buckets=list(_FIRST_TOKEN_BUCKETS_S),
            registry=self.registry,
        )
        # Values are buffered here and passed to the registry when the metrics
        # are read or the buffer is full: looking up a metric by its labels for
        # each request would cost more than routing the request.
        self._counts = collections.Counter[tuple[str, str]]()
        self._sums = collections.Counter[str]()
        self._first_token_seconds: list[float] = []
        self._gauges: dict[str, aioprometheus.Gauge] = {}

    def count(self, route: str, outcome: outcomes.Outcome) -> None:
        """Counts the outcome of a request."""
        self._counts[route, name_outcome(outcome)] += 1
        self._sums["chunks"] += getattr(outcome, "chunks", 0)

    def observe_first_token(
        self, seconds: float, cached_tokens: int, computed_tokens: int
    ) -> None:
        """Records a time to first token and the prompt's tokens."""
        self._first_token_seconds.append(seconds)
        self._sums["cached"] += cached_tokens
        self._sums["computed"] += computed_tokens
        if len(self._first_token_seconds) >= _MAX_BUFFERED_OBSERVATIONS:
            self._flush()

    def set_gauge(self, name: str, description: str, value: float) -> None:
        """Sets a gauge; creates it on first use."""
        if name not in self._gauges:
            self._gauges[name] = aioprometheus.Gauge(
                f"sardinewharf_{name}", description, registry=self.registry
            )
        self._gauges[name].set({}, value)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the metrics in the text format, and its HTTP headers."""
        self._flush()
        return aioprometheus.render(self.registry, ["text/plain"])

    def _flush(self) -> None:
        """Passes the buffered values to the registry."""
        for (route, outcome), count in self._counts.items():
            self._outcomes.add({"route": route, "outcome": outcome}, count)
        self._chunks.add({}, self._sums["chunks"])
        for source in ("cached", "computed"):
            self._tokens.add({"source": source}, self._sums[source])
        for seconds in self._first_token_seconds:
            self._first_token.observe({}, seconds)
        self._counts.clear()
        self._sums.clear()
        self._first_token_seconds.clear()


def name_outcome(outcome: outcomes.Outcome) -> str:
    """Returns the name of an outcome in metrics and logs.

    Examples:
        >>> name_outcome(outcomes.Completed(200))
        'completed'
        >>> name_outcome(outcomes.CallerLeft())
        'caller_left'
    """
    match outcome:
        case outcomes.Completed():
            return "completed"
        case outcomes.CallerLeft():
            return "caller_left"
        case outcomes.BrokenStream(refusal, _):
            return f"broken_{refusal.kind.code}"
        case outcomes.Refusal(kind):
            return kind.code
