"""Routes for health, readiness and metrics of a daemon.

Load balancers and monitoring read them.
"""

from starlette import requests as starlette_requests
from starlette import responses
from starlette import routing

from sardinewharf.callers import dependencies as dependencies_lib
from sardinewharf.callers import metrics as metrics_lib


def make_routes(
    dependencies: dependencies_lib.CallerDependencies,
    metrics: metrics_lib.CallerMetrics,
) -> list[routing.Route]:
    """Returns the routes for health, readiness and metrics."""

    async def show_health(
        http: starlette_requests.Request,
    ) -> responses.Response:
        return responses.PlainTextResponse("live\n")

    async def show_readiness(
        http: starlette_requests.Request,
    ) -> responses.Response:
        if dependencies.is_draining():
            return responses.PlainTextResponse("draining\n", 503)
        if not dependencies.is_ready():
            return responses.PlainTextResponse("no configuration yet\n", 503)
        return responses.PlainTextResponse("ready\n")

    async def show_metrics(
        http: starlette_requests.Request,
    ) -> responses.Response:
        _set_gauges(dependencies, metrics)
        body, headers = metrics.render()
        return responses.Response(body, headers=headers)

    return [
        routing.Route("/healthz", show_health),
        routing.Route("/readyz", show_readiness),
        routing.Route("/metrics", show_metrics),
    ]


def _set_gauges(
    dependencies: dependencies_lib.CallerDependencies,
    metrics: metrics_lib.CallerMetrics,
) -> None:
    gate = dependencies.admission.gate
    metrics.set_gauge("running", "Requests that run.", gate.running)
    metrics.set_gauge("waiting", "Requests that wait.", gate.waiting)
    metrics.set_gauge(
        "configuration_version",
        "Configuration version in force.",
        dependencies.holder.snapshot.version,
    )
