"""Counts what a gateway does, for its metrics address."""

import collections

import aioprometheus

from sardinewharf.gateway import requests

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
_MAX_BUFFERED_OBSERVATIONS = 2048
# What the two labels of each counter say.
_LABELS = {
    "answers": ("route", "status"),
    "refusals": ("route", "reason"),
    "unfinished": ("route", "how"),
    "sends": ("service", "endpoint"),
    "prompt_tokens": ("service", "kind"),
    "cache_fetches": ("service", "kind"),
    "failed_attempts": ("service", "outcome"),
}


class GatewayMetrics:
    """The metrics of a gateway, in a registry of their own.

    Requests are counted in plain tables and handed over when the metrics are
    read: a look-up by labels for each request would cost more than its choice.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._counts = collections.Counter[tuple[str, str, str]]()
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._observations: list[tuple[str, str, float]] = []
        self._histograms = {
            name: aioprometheus.Histogram(
                f"sardinewharf_{name}_seconds",
                text,
                buckets=list(_BUCKETS_S),
                registry=self.registry,
            )
            for name, text in (
                (
                    "first_byte",
                    "Time from arrival to the first byte.",
                ),
                ("answer", "Time from arrival to the whole answer."),
            )
        }

    def count_answer(
        self, route: str, status: int, first_byte_s: float, total_s: float
    ) -> None:
        """Counts an answer that was passed on whole."""
        self._counts["answers", route, str(status)] += 1
        self._observe("first_byte", route, first_byte_s)
        self._observe("answer", route, total_s)

    def count_refusal(self, route: str, reason: str) -> None:
        """Counts an answer of the gateway's own."""
        self._counts["refusals", route, reason] += 1

    def count_unfinished(self, route: str, how: str) -> None:
        """Counts a request that ended otherwise."""
        self._counts["unfinished", route, how] += 1

    def count_dispatch(self, service: str, target: requests.Target) -> None:
        """Counts a request that was sent to an endpoint."""
        self._counts["sends", service, target.endpoint.id] += 1
        if target.prefill_tokens:
            self._counts["prompt_tokens", service, "read"] += (
                target.prefill_tokens
            )
        if target.fetch_from:
            self._counts["cache_fetches", service, "asked"] += 1

    def count_failure(self, service: str, outcome: str) -> None:
        """Counts an attempt without an answer to pass on."""
        self._counts["failed_attempts", service, outcome] += 1

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a value that is read as it is now."""
        if name not in self._gauges:
            self._gauges[name] = aioprometheus.Gauge(
                f"sardinewharf_{name}",
                name.replace("_", " "),
                registry=self.registry,
            )
        self._gauges[name].set({}, value)

    def render(self) -> bytes:
        """Returns all metrics as text."""
        self._flush()
        content, _ = aioprometheus.render(self.registry, ["text/plain"])
        return content

    def _observe(self, name: str, route: str, seconds: float) -> None:
        self._observations.append((name, route, seconds))
        if len(self._observations) >= _MAX_BUFFERED_OBSERVATIONS:
            self._flush()

    def _flush(self) -> None:
        for name, route, seconds in self._observations:
            self._histograms[name].observe({"route": route}, seconds)
        self._observations.clear()
        for (name, group, value), count in self._counts.items():
            if name not in self._counters:
                self._counters[name] = aioprometheus.Counter(
                    f"sardinewharf_{name}_total",
                    name.replace("_", " "),
                    registry=self.registry,
                )
            first, second = _LABELS[name]
            self._counters[name].add({first: group, second: value}, count)
        self._counts.clear()
