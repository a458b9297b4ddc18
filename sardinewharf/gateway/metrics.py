"""Collects the metrics that a gateway serves at its metrics address."""

import collections

import aioprometheus

from sardinewharf import tasks
from sardinewharf.gateway import requests

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
_MAX_BUFFERED_OBSERVATIONS = 2048
# Names of the two labels of each counter.
_LABELS = {
    "answers": ("route", "status"),
    "refusals": ("route", "reason"),
    "unfinished": ("route", "how"),
    "sends": ("service", "endpoint"),
    "prompt_tokens": ("service", "kind"),
    "cache_fetches": ("service", "kind"),
    "holds": ("service", "outcome"),
    "failed_attempts": ("service", "outcome"),
    "task_failures": ("task", "effect"),
    "closes": ("listener", "reason"),
    "quota_messages": ("role", "kind"),
    "quota_use": ("organisation", "unit"),
}


class GatewayMetrics:
    """The metrics of one gateway, in a separate registry.

    Counts and observations are buffered and moved to the registry in batches,
    at the latest when the metrics are rendered: looking a metric up by its
    labels for each request would cost more time than choosing the endpoint.
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
        """Counts a response that was relayed completely."""
        self._counts["answers", route, str(status)] += 1
        self._observe("first_byte", route, first_byte_s)
        self._observe("answer", route, total_s)

    def count_refusal(self, route: str, reason: str) -> None:
        """Counts a request that the gateway itself refused."""
        self._counts["refusals", route, reason] += 1

    def count_unfinished(self, route: str, how: str) -> None:
        """Counts a request that ended without a complete response."""
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

    def count_hold(self, service: str, outcome: str) -> None:
        """Counts a request that waited for room at engines."""
        self._counts["holds", service, outcome] += 1

    def count_failure(self, service: str, outcome: str) -> None:
        """Counts an attempt that gave no response to relay."""
        self._counts["failed_attempts", service, outcome] += 1

    def count_task_failure(self, task: str, effect: tasks.Effect) -> None:
        """Counts a failure of background work."""
        self._counts["task_failures", task, effect.value] += 1

    def count_close(self, listener: str, reason: str) -> None:
        """Counts a connection that was closed with a request on it."""
        self._counts["closes", listener, reason] += 1

    def count_quota_messages(self, role: str, kind: str, count: int) -> None:
        """Counts messages about quotas, as their owner or as a borrower."""
        self._counts["quota_messages", role, kind] += count

    def count_quota_use(self, organisation: str, unit: str, cost: int) -> None:
        """Counts the cost of requests that a quota admitted."""
        self._counts["quota_use", organisation, unit] += cost

    def set_gauge(self, name: str, value: float) -> None:
        """Sets the current value of a gauge."""
        if name not in self._gauges:
            self._gauges[name] = aioprometheus.Gauge(
                f"sardinewharf_{name}",
                name.replace("_", " "),
                registry=self.registry,
            )
        self._gauges[name].set({}, value)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
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
