"""Runs a gateway: its servers, its copy of the store, and its shutdown."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import keyvalue
from sardinewharf import leases
from sardinewharf import limits
from sardinewharf import records
from sardinewharf import tasks
from sardinewharf.gateway import admission
from sardinewharf.gateway import app as app_lib
from sardinewharf.gateway import caches
from sardinewharf.gateway import changes
from sardinewharf.gateway import control as control_lib
from sardinewharf.gateway import dispatcher as dispatcher_lib
from sardinewharf.gateway import feeds
from sardinewharf.gateway import members
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import peers as peers_lib
from sardinewharf.gateway import prompts as prompts_lib
from sardinewharf.gateway import relay as relay_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import responder as responder_lib
from sardinewharf.gateway import rollout
from sardinewharf.gateway import rolls as rolls_lib
from sardinewharf.gateway import selection
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import sync
from sardinewharf.gateway import tables
from sardinewharf.http1 import server as http_server

# The entry point has turned away from a VM that is not ready by then, in
# seconds.
_TURN_AWAY_S = 2.4
# The process ends this long before it would be killed, in seconds.
_GRACE_MARGIN_S = 0.3
_TICK_S = 0.25
# Share of the retry budget that is split; the rest covers restarts.
_BUDGET_SHARE = 0.7
_CALL_S = 1.0
# The lease of the gateway that orders engines, in seconds.
_LEASE_S = 2.0
_LEASE_MARGIN_S = 0.7
_LEASE_RENEW_S = 1.4
_LEASE_CALL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """What a gateway needs of the platform it runs on.

    Attributes:
        store: The platform's store.
        reader: Translates the store's entries.
        dialect: Translates headers.
        control: Calls engines and cache stores.
    """

    store: keyvalue.PrefixStore
    reader: changes.ChangeReader
    dialect: messages.Dialect
    control: control_lib.EngineControl


class GatewayService:
    """One gateway.

    Args:
        settings: Its settings.
        platform: The platform that it runs on.
        log: Where it writes its log.
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
        self._replica = replica_lib.Replica(log)
        self._loads = fleet.LoadTable()
        self._health = fleet.HealthTable(log)
        self._tasks = tasks.TaskGroup()
        self._stopping = asyncio.Event()
        self._connections = tables.ConnectionTable()
        self._budgets = tables.BudgetTable(self._make_share())
        self._gatekeeper = admission.Gatekeeper(
            self._replica, settings.promises
        )
        self._rolls = rolls_lib.RollTable()
        self._crashes = limits.CrashTable()
        self._prompts = prompts_lib.PromptTable(self._tell_peers)
        selector = selection.Selector(
            settings,
            self._replica,
            self._loads,
            self._health,
            self._rolls,
            self._prompts,
        )
        dispatcher = dispatcher_lib.Dispatcher(
            dispatcher_lib.Parts(
                dialect=platform.dialect,
                gatekeeper=self._gatekeeper,
                selector=selector,
                registry=self._replica.registry,
                loads=self._loads,
                health=self._health,
                connections=self._connections,
                budgets=self._budgets,
                replica=self._replica,
                prompts=self._prompts,
                crashes=self._crashes,
                log=log,
                metrics=self._metrics,
            )
        )
        self._app = app_lib.GatewayApp(
            platform.dialect,
            self._replica,
            self._gatekeeper,
            selector,
            relay_lib.Relay(dispatcher, log, self._metrics),
            log,
            self._metrics,
        )
        feed = feeds.Feed(settings, self._replica)
        self._synchronizer = sync.Synchronizer(
            platform.store, platform.reader, self._replica, feed, log
        )
        self._peers = peers_lib.Peers(
            settings,
            self._replica,
            self._loads,
            self._rolls,
            self._prompts,
            self._crashes,
            feed,
            self._synchronizer.record_newer_revision,
        )
        self._follower = caches.StoreFollower(
            settings.name, platform.control, self._replica, self._prompts, log
        )
        self._roller = self._make_roller()
        self._server = http_server.HttpServer(self._app, self._read_limits)
        self._ready_server = http_server.HttpServer(
            _make_probe(self._is_ready), self._read_limits
        )
        self._metrics_server = http_server.HttpServer(
            _make_page(self._render_metrics), self._read_limits
        )

    def reload(self) -> None:
        """Notes that the settings file has changed.

        Nothing of it is read again: addresses are bound once, and gateways
        find one another in the store.
        """
        self._log.write(records.events.Reloaded("settings are read at start"))

    def stop(self) -> None:
        """Begins the shutdown."""
        self._stopping.set()

    async def run(self) -> None:
        """Serves until stopped, and then finishes what has begun."""
        await self._peers.start()
        await self._ready_server.start(self._settings.ready_listen)
        if self._settings.metrics_listen:
            await self._metrics_server.start(self._settings.metrics_listen)
        await self._server.start(self._settings.listen)
        self._tasks.start(self._synchronizer.run(), "sync")
        self._tasks.start(self._register(), "register")
        self._tasks.start(self._tick_forever(), "tick")
        self._tasks.start(self._peers.run(), "peers")
        self._tasks.start(self._follower.run(), "cache-store")
        self._tasks.start(self._roller.hold(), "office")
        self._tasks.start(self._roller.run(), "weights")
        self._log.write(
            records.events.Started(
                failure_domain=self._settings.failure_domain,
                listen=self._settings.listen,
                peer_listen=self._settings.peer_listen,
                store=self._settings.store,
            )
        )
        await self._stopping.wait()
        await self._drain()
        await self.close()
        self._log.write(records.events.Stopped(self._app.running))

    def _tell_peers(self) -> None:
        self._peers.schedule_broadcast()

    def _make_roller(self) -> rollout.Roller:
        tenure = leases.Tenure(
            self._platform.store,
            changes.ROLLOUT_LEASE,
            self._settings.name,
            leases.TenureSettings(
                lease_s=_LEASE_S,
                margin_s=_LEASE_MARGIN_S,
                renew_s=_LEASE_RENEW_S,
                call_s=_LEASE_CALL_S,
                pause_s=self._settings.promises.lease_ms / 1000,
            ),
        )
        return rollout.Roller(
            self._settings,
            tenure,
            self._platform.control,
            self._replica,
            self._loads,
            self._health,
            self._rolls,
            self._peers,
            self._log,
        )

    async def close(self) -> None:
        """Ends all tasks and stops listening, without finishing requests."""
        await self._tasks.close()
        await self._platform.store.close()
        for server in (self._server, self._ready_server, self._metrics_server):
            server.stop_listening()
            server.close_idle()
        self._peers.close()

    def _is_ready(self) -> bool:
        return (
            not self._app.is_leaving
            and self._gatekeeper.is_current()
            and bool(self._replica.configuration.version)
        )

    def _render_metrics(self) -> bytes:
        if self._replica.is_filled:
            age = self._replica.count_age()
            self._metrics.set_gauge("configuration_age_seconds", age)
        self._metrics.set_gauge(
            "configuration_version", self._replica.configuration.version
        )
        self._metrics.set_gauge("running_requests", self._app.running)
        self._metrics.set_gauge("endpoints", len(self._replica.registry))
        self._metrics.set_gauge("gateways", len(self._replica.members))
        self._metrics.set_gauge("log_lines_lost", self._log.total_dropped)
        self._metrics.set_gauge("store_calls", self._platform.store.calls)
        return self._metrics.render()

    def _read_limits(self) -> http_server.ServerLimits:
        found = self._replica.configuration.limits
        return http_server.ServerLimits(
            found.header_bytes, found.header_ms / 1000, found.idle_ms / 1000
        )

    def _make_share(self) -> limits.BudgetShare:
        promises = self._settings.promises
        gateways = max(1, len(self._replica.members))
        return limits.BudgetShare(
            ratio=promises.retry_ratio * _BUDGET_SHARE,
            extra=promises.retry_extra * _BUDGET_SHARE / gateways,
            window_s=promises.retry_window_ms / 1000,
        )

    async def _register(self) -> None:
        """Writes this gateway's entry, so that others find it."""
        entry = members.make_entry(
            self._settings.name,
            self._settings.peer_listen,
            self._settings.failure_domain,
        )
        while True:
            deadline = clocks.Deadline.after(_CALL_S)
            found = await self._platform.store.read(entry.key, deadline)
            if isinstance(found, keyvalue.Record | keyvalue.Absent):
                if getattr(found, "value", None) == entry.value:
                    return
                written = await self._platform.store.write(
                    entry.key, entry.value, found.revision, deadline
                )
                if isinstance(written, keyvalue.Written):
                    return
            await asyncio.sleep(_CALL_S)

    async def _tick_forever(self) -> None:
        changes_seen = -1
        while True:
            await asyncio.sleep(_TICK_S)
            self._replica.drop_expired()
            self._budgets.set_share(self._make_share())
            self._set_capacity()
            self._crashes.forget_old(clocks.read_monotonic())
            if self._replica.registry.changes != changes_seen:
                changes_seen = self._replica.registry.changes
                self._connections.close_gone(self._replica.registry)

    def _set_capacity(self) -> None:
        for service in self._replica.configuration.services.values():
            if service.engine is not None:
                self._prompts.set_capacity(service.engine.capacity_tokens)

    async def _drain(self) -> None:
        self._log.write(records.events.Stopping(self._app.running))
        self._app.is_leaving = True
        await self._roller.stop()
        grace_s = self._settings.promises.grace_ms / 1000
        end = clocks.Deadline.after(grace_s - _GRACE_MARGIN_S)
        await asyncio.sleep(_TURN_AWAY_S)
        self._app.is_closed = True
        self._server.stop_listening()
        self._server.close_idle()
        await self._app.wait_until_idle(end)


def _make_page(render: Callable[[], bytes]) -> Callable[..., object]:
    """Returns an application that answers with a text."""
    kind = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")

    async def page(
        scope: Mapping[str, object],
        receive: app_lib.Receive,
        send: responder_lib.Send,
    ) -> None:
        await _answer(send, 200, render(), (kind,))

    return page


def _make_probe(is_ready: Callable[[], bool]) -> Callable[..., object]:
    """Returns an application that answers with a status alone."""

    async def probe(
        scope: Mapping[str, object],
        receive: app_lib.Receive,
        send: responder_lib.Send,
    ) -> None:
        await _answer(send, 200 if is_ready() else 503)

    return probe


async def _answer(
    send: responder_lib.Send,
    status: int,
    body: bytes = b"",
    headers: http1.Headers = (),
) -> None:
    length = (b"content-length", b"%d" % len(body))
    sent = [*headers, length]
    await send(
        {"type": "http.response.start", "status": status, "headers": sent}
    )
    await send({"type": "http.response.body", "body": body})
