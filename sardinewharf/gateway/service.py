"""Runs a gateway: its servers, its background tasks, and its shutdown."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools

from sardinewharf import fleet
from sardinewharf import keyvalue
from sardinewharf import limits
from sardinewharf import memory
from sardinewharf import records
from sardinewharf import tasks
from sardinewharf.gateway import admission
from sardinewharf.gateway import app as app_lib
from sardinewharf.gateway import availability as availability_lib
from sardinewharf.gateway import caches
from sardinewharf.gateway import changes
from sardinewharf.gateway import connection_log
from sardinewharf.gateway import control as control_lib
from sardinewharf.gateway import crash_probes
from sardinewharf.gateway import crashes as crashes_lib
from sardinewharf.gateway import dependencies as dependencies_lib
from sardinewharf.gateway import dispatcher as dispatcher_lib
from sardinewharf.gateway import drains as drains_lib
from sardinewharf.gateway import exchange as exchange_lib
from sardinewharf.gateway import feeds
from sardinewharf.gateway import gauges
from sardinewharf.gateway import maintenance as maintenance_lib
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import monitoring
from sardinewharf.gateway import notices as notices_lib
from sardinewharf.gateway import overload_control
from sardinewharf.gateway import peers as peers_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import quarantine as quarantine_lib
from sardinewharf.gateway import quotas as quotas_lib
from sardinewharf.gateway import ranking
from sardinewharf.gateway import readers
from sardinewharf.gateway import registrar as registrar_lib
from sardinewharf.gateway import relay as relay_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import rollout
from sardinewharf.gateway import rollout_lease
from sardinewharf.gateway import selection
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import shutdown as shutdown_lib
from sardinewharf.gateway import staleness
from sardinewharf.gateway import suspect_recorder
from sardinewharf.gateway import suspect_reports
from sardinewharf.gateway import sync
from sardinewharf.gateway import tables
from sardinewharf.http1 import server as http_server

# The task without which a gateway is not ready.
_SYNC_TASK = "sync"


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Adapters to the platform that a gateway runs on.

    Attributes:
        store: Client of the platform's store.
        change_reader: Translates entries of the store into changes.
        header_codec: Translates the platform's headers.
        control: Client of the control interface of engines and cache stores.
        account: Counts the memory that is buffered for peers of all kinds; the
            clients use it, too.
    """

    store: keyvalue.PrefixStore
    change_reader: changes.ChangeReader
    header_codec: messages.HeaderCodec
    control: control_lib.EngineControl
    account: memory.MemoryAccount


class GatewayService:
    """One gateway.

    Args:
        settings: Settings of the gateway.
        platform: Adapters to the platform.
        log: Where events are logged.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        platform: Platform,
        log: records.RecordSink,
    ):
        self._settings = settings
        self._platform = platform
        self._log = log
        self._metrics = metrics_lib.GatewayMetrics()
        self._leader_lease = rollout_lease.make_rollout_lease(
            settings, platform.store
        )
        self._replica = replica_lib.Replica(log, self._leader_lease.tenures)
        self._loads = fleet.LoadTable()
        self._health = fleet.HealthTable(log)
        self._failures = tasks.FailureCounter(self._metrics.count_task_failure)
        self._tasks = tasks.TaskGroup(self._failures)
        self._stopping = asyncio.Event()
        self._connections = tables.ConnectionTable(platform.account)
        self._budgets = tables.RetryBudgetTable(
            maintenance_lib.make_budget_share(
                settings.guarantees, len(self._replica.members)
            )
        )
        self._admission_controller = admission.AdmissionController(
            self._replica, settings.guarantees
        )
        self._drains = drains_lib.DrainTable()
        self._notices = fleet.NoticeTable()
        self._reports = fleet.ReportTable()
        self._suspects = limits.SuspectTable(quarantine_lib.QUARANTINE_S)
        self._crashes = crashes_lib.CrashDetector(
            settings,
            self._replica.registry,
            self._notices,
            self._suspects,
            log,
        )
        self._crash_prober = crash_probes.CrashProber(
            self._crashes, self._health, self._failures
        )
        self._prompts = prompts_lib.PromptTable(self._schedule_broadcast)
        self._estimators = tables.EstimatorTable()
        self._exchange = exchange_lib.StateExchange(
            settings,
            self._replica,
            self._loads,
            self._drains,
            self._prompts,
        )
        self._shutdown = shutdown_lib.Shutdown(self._exchange.has_other_gateway)
        notice_recorder = notices_lib.NoticeRecorder(
            settings.guarantees, self._notices, log
        )
        self._replica.registry.on_renewal = notice_recorder.handle_renewal
        availability = availability_lib.EndpointAvailability(
            self._replica.registry, self._health, self._notices
        )
        ranker = ranking.RequestRanker(
            self._replica, settings.guarantees.overload_policy
        )
        selector = selection.Selector(
            settings,
            self._replica,
            self._loads,
            self._health,
            self._drains,
            availability,
            self._prompts,
            self._estimators,
            self._reports,
            ranker,
        )
        self._overload = overload_control.OverloadController(
            self._replica,
            self._loads,
            selector,
            ranker,
            self._estimators,
            self._shutdown,
            self._metrics,
            self._failures,
        )
        reader = readers.EndpointReader(self._loads, self._health)
        dispatcher = dispatcher_lib.Dispatcher(
            dependencies_lib.DispatcherDependencies(
                header_codec=platform.header_codec,
                admission_controller=self._admission_controller,
                availability=availability,
                selector=selector,
                registry=self._replica.registry,
                loads=self._loads,
                health=self._health,
                connections=self._connections,
                budgets=self._budgets,
                replica=self._replica,
                prompts=self._prompts,
                crashes=self._crashes,
                crash_prober=self._crash_prober,
                suspects=self._suspects,
                quarantine=quarantine_lib.Quarantine(
                    settings,
                    self._replica,
                    self._suspects,
                    log,
                    self._exchange,
                ),
                notices=notice_recorder,
                reports=self._reports,
                estimators=self._estimators,
                overload=self._overload,
                reader=reader,
                shutdown=self._shutdown,
                log=log,
                metrics=self._metrics,
            )
        )
        self._quota_gate = quotas_lib.QuotaGate(
            settings, self._replica, log, self._metrics
        )
        self._app = app_lib.GatewayApp(
            platform.header_codec,
            self._replica,
            self._admission_controller,
            self._quota_gate,
            selector,
            relay_lib.Relay(
                dispatcher, reader, self._shutdown, log, self._metrics
            ),
            self._shutdown,
            platform.account,
            log,
            self._metrics,
        )
        feed = feeds.Feed(settings, self._replica)
        staleness_monitor = staleness.StalenessMonitor(
            self._replica, feed, settings.guarantees, log
        )
        self._synchronizer = sync.Synchronizer(
            settings,
            platform.store,
            platform.change_reader,
            self._replica,
            feed,
            log,
            self._failures,
        )
        suspect_exchange = suspect_reports.SuspectExchange(
            self._suspects, self._crashes
        )
        self._peers = peers_lib.Peers(
            settings,
            self._replica,
            self._exchange,
            suspect_exchange,
            feed,
            self._synchronizer.record_newer_revision,
            self._quota_gate,
            self._failures,
        )
        self._suspect_recorder = suspect_recorder.SuspectRecorder(
            settings.name,
            platform.store,
            self._suspects,
            suspect_exchange,
            quarantine_lib.QUARANTINE_S,
        )
        self._replica.on_suspect_change = self._suspect_recorder.handle_change
        self._suspects.on_suspect_change = self._suspect_recorder.schedule
        self._suspects.on_change = self._peers.schedule_suspect_report
        self._cache_store_watcher = caches.CacheStoreWatcher(
            settings.name, platform.control, self._replica, self._prompts, log
        )
        self._rollout_controller = self._make_rollout_controller()
        self._registrar = registrar_lib.Registrar(
            settings, platform.store, self._replica, self._shutdown
        )
        self._maintenance = maintenance_lib.Maintenance(
            settings.guarantees,
            self._replica,
            self._crashes,
            staleness_monitor,
            self._connections,
            self._budgets,
            self._loads,
            self._notices,
            self._reports,
            self._prompts,
            self._peers,
            self._suspect_recorder,
            self._failures,
        )
        self._connection_log = connection_log.ConnectionLog(
            platform.header_codec, log, self._metrics
        )
        self._server = self._make_server("front", self._app)
        self._ready_server = self._make_server(
            "ready", monitoring.make_probe_app(self._is_ready)
        )
        self._metrics_server = self._make_server(
            "metrics", monitoring.make_text_app(self._render_metrics)
        )
        self._servers = (
            self._server,
            self._ready_server,
            self._metrics_server,
        )
        self._gauge_reader = gauges.GaugeReader(
            self._replica,
            self._app,
            self._overload,
            self._suspects,
            self._reports,
            platform.store,
            platform.account,
            self._servers,
            log,
            self._metrics,
        )

    def reload(self) -> None:
        """Logs that a reload was requested; has no other effect.

        The settings file is not read again: addresses are bound once at the
        start, and gateways find each other through the store.
        """
        self._log.write(records.events.Reloaded("settings are read at start"))

    def stop(self) -> None:
        """Starts a graceful shutdown; the grace period begins now."""
        self._shutdown.begin(self._settings.guarantees.grace_ms / 1000)
        self._quota_gate.resign()
        self._stopping.set()

    async def run(self) -> None:
        """Serves until stopped, then finishes the running requests."""
        await self._peers.start()
        await self._ready_server.start(self._settings.ready_listen)
        if self._settings.metrics_listen:
            await self._metrics_server.start(self._settings.metrics_listen)
        await self._server.start(self._settings.listen)
        self._start_tasks()
        self._log.write(
            records.events.Started(
                failure_domain=self._settings.failure_domain,
                listen=self._settings.listen,
                peer_listen=self._settings.peer_listen,
                store=self._settings.store,
            )
        )
        await self._stopping.wait()
        await self._shut_down()
        await self.close()
        self._log.write(records.events.Stopped(self._app.running))

    def _start_tasks(self) -> None:
        """Starts the tasks that run as long as this gateway."""
        keep_running = self._tasks.keep_running
        keep_running(self._synchronizer.run, _SYNC_TASK)
        keep_running(self._registrar.run, "register")
        keep_running(self._maintenance.run, "tick")
        keep_running(self._peers.run_gossip, "peers")
        keep_running(self._peers.run_broadcasts, "broadcasts")
        keep_running(self._peers.run_suspect_reports, "suspect-reports")
        keep_running(self._suspect_recorder.run, "suspect-entries")
        keep_running(self._quota_gate.run, "quotas")
        keep_running(
            self._maintenance.remove_outdated_suspects, "suspect-cleanup"
        )
        keep_running(self._cache_store_watcher.run, "cache-store")
        keep_running(self._rollout_controller.maintain_lease, "office")
        keep_running(self._rollout_controller.run, "weights")

    def handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Logs and counts an error of a callback of the event loop."""
        self._failures.record_loop_error(loop, context)

    def _schedule_broadcast(self) -> None:
        self._peers.schedule_broadcast()

    def _make_server(
        self, listener: str, app: Callable[..., object]
    ) -> http_server.HttpServer:
        return http_server.HttpServer(
            app,
            self._read_limits,
            self._platform.account,
            functools.partial(self._connection_log.record_close, listener),
        )

    def _make_rollout_controller(self) -> rollout.RolloutController:
        return rollout.RolloutController(
            self._settings,
            self._leader_lease,
            self._platform.control,
            self._replica,
            self._loads,
            self._health,
            self._drains,
            self._notices,
            self._exchange,
            self._peers,
            self._estimators,
            self._log,
            self._failures,
        )

    async def close(self) -> None:
        """Ends all tasks and stops listening; does not wait for requests."""
        await self._tasks.close()
        await self._crash_prober.close()
        await self._platform.store.close()
        for server in self._servers:
            server.stop_listening()
            server.close_idle()
        self._peers.close()

    def _is_ready(self) -> bool:
        return (
            not self._shutdown.has_begun
            and self._admission_controller.is_current()
            and bool(self._replica.configuration.version)
            # It would go on with what the store held before.
            and not self._tasks.is_failing(_SYNC_TASK)
        )

    def _render_metrics(self) -> bytes:
        self._gauge_reader.update()
        return self._metrics.render()

    def _read_limits(self) -> http_server.ServerLimits:
        configured = self._replica.configuration.limits
        return http_server.ServerLimits(
            configured.header_bytes,
            configured.header_ms / 1000,
            configured.idle_ms / 1000,
            body_bytes=configured.body_bytes,
        )

    async def _shut_down(self) -> None:
        """Finishes the running requests, as far as the grace period allows.

        A request is finished when its response was sent, not only written.

        New requests are served until the load balancer should have noticed
        that the gateway is not ready, if they can end in time. What still runs
        near the end is answered then. The leader lease is given up meanwhile.
        """
        schedule = self._shutdown.schedule
        self._log.write(records.events.Stopping(self._app.running))
        self._tasks.start(self._rollout_controller.stop(), "resign")
        await asyncio.sleep(schedule.reject_from.remaining())
        self._app.rejects_new_requests = True
        self._server.stop_listening()
        self._server.close_idle()
        await self._app.wait_until_idle(schedule.answer_by)
        await self._app.end_requests()
        await self._app.wait_until_idle(schedule.exit_by)
        await self._server.wait_until_closed(schedule.exit_by)
