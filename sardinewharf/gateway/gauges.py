"""Sets the gauges among a gateway's metrics when these are rendered."""

import statistics

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import keyvalue
from sardinewharf import limits
from sardinewharf import memory
from sardinewharf import records
from sardinewharf.gateway import app as app_lib
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import overload_control
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.http1 import server as http_server


class GaugeReader:
    """Reads the state of a gateway into its gauges.

    Args:
        replica: This gateway's replica of the store.
        app: Counts the running requests.
        overload: Counts the requests that wait for room.
        suspects: Requests that ran when endpoints crashed.
        reports: What endpoints report of their load.
        store: Client of the platform's store.
        account: Counts the memory that is buffered for peers of all kinds.
        servers: The servers whose connections are counted.
        log: Counts the log lines that were lost.
        metrics: Receives the gauges.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        app: app_lib.GatewayApp,
        overload: overload_control.OverloadController,
        suspects: limits.SuspectTable,
        reports: fleet.ReportTable,
        store: keyvalue.PrefixStore,
        account: memory.MemoryAccount,
        servers: tuple[http_server.HttpServer, ...],
        log: records.RecordSink,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._replica = replica
        self._app = app
        self._overload = overload
        self._suspects = suspects
        self._reports = reports
        self._store = store
        self._account = account
        self._servers = servers
        self._log = log
        self._metrics = metrics

    def update(self) -> None:
        """Sets all gauges to the current state."""
        set_gauge = self._metrics.set_gauge
        if self._replica.is_filled:
            set_gauge("configuration_age_seconds", self._replica.count_age())
        set_gauge("configuration_version", self._replica.configuration.version)
        set_gauge("running_requests", self._app.running)
        set_gauge("waiting_requests", self._overload.waiting)
        set_gauge("endpoints", len(self._replica.registry))
        set_gauge("gateways", len(self._replica.members))
        set_gauge("log_lines_lost", self._log.total_dropped)
        set_gauge("quarantined_requests", self._suspects.count_quarantined())
        set_gauge("store_calls", self._store.calls)
        set_gauge(
            "held_connections", sum(s.held_connections for s in self._servers)
        )
        slowness = self._reports.list_slowness(clocks.read_monotonic())
        set_gauge("slowness_endpoints", len(slowness))
        if slowness:
            set_gauge("slowness_max", max(slowness))
            set_gauge("slowness_mean", statistics.mean(slowness))
        set_gauge("buffered_bytes", self._account.held_bytes)
        for use in memory.Use:
            set_gauge(f"evicted_{use.value}", self._account.evictions[use])
