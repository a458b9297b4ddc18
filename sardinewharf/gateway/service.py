"""Runs a gateway: its servers, its background tasks, and its shutdown."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import functools
import statistics

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import keyvalue
from sardinewharf import leases
from sardinewharf import limits
from sardinewharf import memory
from sardinewharf import records
from sardinewharf import tasks
from sardinewharf.gateway import admission
from sardinewharf.gateway import app as app_lib
from sardinewharf.gateway import availability as availability_lib
from sardinewharf.gateway import caches
from sardinewharf.gateway import changes
from sardinewharf.gateway import control as control_lib
from sardinewharf.gateway import crash_probes
from sardinewharf.gateway import crashes as crashes_lib
from sardinewharf.gateway import dependencies as dependencies_lib
from sardinewharf.gateway import dispatcher as dispatcher_lib
from sardinewharf.gateway import drains as drains_lib
from sardinewharf.gateway import exchange as exchange_lib
from sardinewharf.gateway import feeds
from sardinewharf.gateway import members
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import notices as notices_lib
from sardinewharf.gateway import overload_control
from sardinewharf.gateway import peers as peers_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import quarantine as quarantine_lib
from sardinewharf.gateway import quotas as quotas_lib
from sardinewharf.gateway import ranking
from sardinewharf.gateway import readers
from sardinewharf.gateway import relay as relay_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import responder as responder_lib
from sardinewharf.gateway import rollout
from sardinewharf.gateway import selection
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import shutdown as shutdown_lib
from sardinewharf.gateway import staleness
from sardinewharf.gateway import suspect_recorder
from sardinewharf.gateway import suspect_reports
from sardinewharf.gateway import sync
from sardinewharf.gateway import tables
from sardinewharf.http1 import server as http_server

_MAINTENANCE_INTERVAL_S = 0.25
# Share of the retry budget that is split between the gateways. The rest covers
# gateways that restart, which begin with an unused budget.
_SPLIT_BUDGET_SHARE = 0.7
# Time between two attempts to register this gateway, and limit of each.
_REGISTER_INTERVAL_S = 1.0
# The task without which a gateway is not ready.
_SYNC_TASK = "sync"
# Durations of the leader lease for rolling updates.
_LEADER_LEASE_S = 2.0
_LEASE_EXPIRY_MARGIN_S = 0.7
_LEASE_RENEW_BEFORE_S = 1.4
_LEASE_CALL_TIMEOUT_S = 0.5


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
        self._leader_lease = self._make_leader_lease()
        self._replica = replica_lib.Replica(log, self._leader_lease.tenures)
        self._loads = fleet.LoadTable()
        self._health = fleet.HealthTable(log)
        self._failures = tasks.FailureCounter(self._metrics.count_task_failure)
        self._tasks = tasks.TaskGroup(self._failures)
        # The registry's count of changes when connections to removed endpoints
        # were last closed.
        self._handled_changes = -1
        self._stopping = asyncio.Event()
        self._connections = tables.ConnectionTable(platform.account)
        self._budgets = tables.RetryBudgetTable(self._make_budget_share())
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
        self._staleness_monitor = staleness.StalenessMonitor(
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
        self._server = http_server.HttpServer(
            self._app,
            self._read_limits,
            platform.account,
            functools.partial(self._log_close, "front"),
        )
        self._ready_server = http_server.HttpServer(
            _make_probe_app(self._is_ready),
            self._read_limits,
            platform.account,
            functools.partial(self._log_close, "ready"),
        )
        self._metrics_server = http_server.HttpServer(
            _make_text_app(self._render_metrics),
            self._read_limits,
            platform.account,
            functools.partial(self._log_close, "metrics"),
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
        keep_running(self._register, "register")
        keep_running(self._run_maintenance, "tick")
        keep_running(self._peers.run_gossip, "peers")
        keep_running(self._peers.run_broadcasts, "broadcasts")
        keep_running(self._peers.run_suspect_reports, "suspect-reports")
        keep_running(self._suspect_recorder.run, "suspect-entries")
        keep_running(self._quota_gate.run, "quotas")
        keep_running(self._remove_outdated_suspects, "suspect-cleanup")
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

    def _make_leader_lease(self) -> leases.LeaderLease:
        return leases.LeaderLease(
            self._platform.store,
            changes.ROLLOUT_LEASE,
            self._settings.name,
            leases.LeaderLeaseSettings(
                lease_s=_LEADER_LEASE_S,
                expiry_margin_s=_LEASE_EXPIRY_MARGIN_S,
                renew_before_s=_LEASE_RENEW_BEFORE_S,
                call_timeout_s=_LEASE_CALL_TIMEOUT_S,
                handover_pause_s=self._settings.guarantees.handover_pause_ms
                / 1000,
            ),
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
        for server in (self._server, self._ready_server, self._metrics_server):
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
        if self._replica.is_filled:
            age = self._replica.count_age()
            self._metrics.set_gauge("configuration_age_seconds", age)
        self._metrics.set_gauge(
            "configuration_version", self._replica.configuration.version
        )
        self._metrics.set_gauge("running_requests", self._app.running)
        self._metrics.set_gauge("waiting_requests", self._overload.waiting)
        self._metrics.set_gauge("endpoints", len(self._replica.registry))
        self._metrics.set_gauge("gateways", len(self._replica.members))
        self._metrics.set_gauge("log_lines_lost", self._log.total_dropped)
        self._metrics.set_gauge(
            "quarantined_requests", self._suspects.count_quarantined()
        )
        self._metrics.set_gauge("store_calls", self._platform.store.calls)
        servers = (self._server, self._ready_server, self._metrics_server)
        self._metrics.set_gauge(
            "held_connections", sum(s.held_connections for s in servers)
        )
        slowness = self._reports.list_slowness(clocks.read_monotonic())
        self._metrics.set_gauge("slowness_endpoints", len(slowness))
        if slowness:
            self._metrics.set_gauge("slowness_max", max(slowness))
            self._metrics.set_gauge("slowness_mean", statistics.mean(slowness))
        account = self._platform.account
        self._metrics.set_gauge("buffered_bytes", account.held_bytes)
        for use in memory.Use:
            self._metrics.set_gauge(
                f"evicted_{use.value}", account.evictions[use]
            )
        return self._metrics.render()

    def _read_limits(self) -> http_server.ServerLimits:
        configured = self._replica.configuration.limits
        return http_server.ServerLimits(
            configured.header_bytes,
            configured.header_ms / 1000,
            configured.idle_ms / 1000,
        )

    def _log_close(
        self, listener: str, report: http_server.CloseReport
    ) -> None:
        """Logs and counts a connection that was closed with a request on it."""
        self._metrics.count_close(listener, report.reason.value)
        try:
            request_id = self._platform.header_codec.read_request(
                report.headers, clocks.read_monotonic()
            ).request_id
        except (messages.MalformedError, UnicodeDecodeError):
            # The head may have ended anywhere.
            request_id = ""
        self._log.write(
            records.events.ConnectionEnded(
                request=request_id,
                reason=report.reason.value,
                head_bytes=report.head_bytes,
                queued=report.queued,
                has_responded=report.has_responded,
                listener=listener,
            )
        )

    def _make_budget_share(self) -> limits.BudgetShare:
        guarantees = self._settings.guarantees
        gateways = max(1, len(self._replica.members))
        return limits.BudgetShare(
            ratio=guarantees.retry_ratio * _SPLIT_BUDGET_SHARE,
            extra=guarantees.retry_extra * _SPLIT_BUDGET_SHARE / gateways,
            window_s=guarantees.retry_window_ms / 1000,
        )

    async def _register(self) -> None:
        """Keeps this gateway registered, so that other gateways find it.

        The entry is written again if another writer replaced or removed it.
        """
        while not self._shutdown.has_begun:
            if not self._is_registered():
                await self._write_registration()
            await asyncio.sleep(_REGISTER_INTERVAL_S)

    def _is_registered(self) -> bool:
        """Returns whether the replica shows this gateway's entry."""
        members_by_name = self._replica.members
        own_address = members_by_name.get(self._settings.name)
        return own_address == self._settings.peer_listen

    async def _write_registration(self) -> None:
        """Writes this gateway's entry unless the store holds it."""
        entry = members.make_entry(
            self._settings.name,
            self._settings.peer_listen,
            self._settings.failure_domain,
        )
        deadline = clocks.Deadline.after(_REGISTER_INTERVAL_S)
        stored_entry = await self._platform.store.read(entry.key, deadline)
        if not isinstance(stored_entry, keyvalue.Record | keyvalue.Absent):
            return
        if getattr(stored_entry, "value", None) != entry.value:
            await self._platform.store.write(
                entry.key, entry.value, stored_entry.revision, deadline
            )

    async def _remove_outdated_suspects(self) -> None:
        while True:
            await asyncio.sleep(_REGISTER_INTERVAL_S)
            await self._suspect_recorder.remove_outdated(
                set(self._replica.members)
            )

    async def _run_maintenance(self) -> None:
        """Drops outdated state and adjusts shares, at regular intervals."""
        steps = (
            self._replica.drop_expired,
            self._crashes.check_registry,
            self._staleness_monitor.check,
            self._adjust_shares,
            self._set_cache_capacity,
            self._forget_old_state,
            self._close_removed_connections,
        )
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            for step in steps:
                with self._failures.contain("tick"):
                    step()

    def _adjust_shares(self) -> None:
        self._budgets.set_share(self._make_budget_share())
        self._loads.set_report_interval(self._peers.estimate_digest_interval())

    def _forget_old_state(self) -> None:
        now = clocks.read_monotonic()
        self._crashes.forget_old(now)
        self._notices.forget_old(self._replica.registry, now)
        self._reports.forget_old(now)

    def _close_removed_connections(self) -> None:
        """Closes connections to endpoints that were removed since."""
        registry = self._replica.registry
        if registry.changes != self._handled_changes:
            self._connections.close_removed(registry)
            self._handled_changes = registry.changes

    def _set_cache_capacity(self) -> None:
        for service in self._replica.configuration.services.values():
            if service.engine is not None:
                self._prompts.set_capacity(service.engine.capacity_tokens)

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


def _make_text_app(render: Callable[[], bytes]) -> Callable[..., object]:
    """Returns an ASGI application that responds with a text."""
    content_type = (
        b"content-type",
        b"text/plain; version=0.0.4; charset=utf-8",
    )

    async def page(
        scope: Mapping[str, object],
        receive: app_lib.Receive,
        send: responder_lib.Send,
    ) -> None:
        await _respond(send, 200, render(), (content_type,))

    return page


def _make_probe_app(is_ready: Callable[[], bool]) -> Callable[..., object]:
    """Returns an ASGI application that responds 200 if ready, else 503."""

    async def probe(
        scope: Mapping[str, object],
        receive: app_lib.Receive,
        send: responder_lib.Send,
    ) -> None:
        await _respond(send, 200 if is_ready() else 503)

    return probe


async def _respond(
    send: responder_lib.Send,
    status: int,
    body: bytes = b"",
    headers: http1.Headers = (),
) -> None:
    length = (b"content-length", b"%d" % len(body))
    sent_headers = [*headers, length]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": sent_headers,
        }
    )
    await send({"type": "http.response.body", "body": body})
