"""Builds a daemon from its settings and runs it."""

import asyncio
import contextlib
import functools
import time

import uvicorn
import xxhash

from sardinewharf import callers
from sardinewharf import claims
from sardinewharf import clocks
from sardinewharf import configuration
from sardinewharf import daemons
from sardinewharf import decoding
from sardinewharf import endpoints
from sardinewharf import ids
from sardinewharf import inventory
from sardinewharf import leases
from sardinewharf import limits
from sardinewharf import logs
from sardinewharf import memory
from sardinewharf import operators
from sardinewharf import placement
from sardinewharf import relay
from sardinewharf import routing
from sardinewharf import tasks
from sardinewharf.daemon import handler
from sardinewharf.daemon import polling
from sardinewharf.daemon import settings as settings_lib
from sardinewharf.http1 import closes
from sardinewharf.http1 import protocol
from sardinewharf.keyvalue import http as kv_http

_log = logs.get_logger("daemon")
# A daemon whose heartbeat has not changed for this many gossip ticks is not
# live.
_HEARTBEAT_TIMEOUT_TICKS = 10
# Daemons of a failure domain that watch the store and may become placement
# leader.
_WATCHERS_PER_DOMAIN = 2
_STORE_LOAD_TIMEOUT_S = 2.0
_BOOTSTRAP_RETRY_S = 0.5
_LISTEN_BACKLOG = 2048
# Limits of connections of callers and operators.
_LIMITS = closes.ServerLimits(header_bytes=65_536, header_s=10.0, idle_s=75.0)
# Most bytes of heads, pipelined requests and unread responses that all
# connections may hold together.
_BUFFER_BYTES = 16_777_216
# The task without which a daemon is not ready.
_CONFIGURATION_TASK = "configuration"


class _Server(uvicorn.Server):
    """A uvicorn server that leaves the handling of signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Captures no signals."""
        yield


class Daemon:
    """One router process.

    Args:
        settings: Its settings.

    Attributes:
        state: State that gossip reads and updates.
    """

    def __init__(self, settings: settings_lib.DaemonSettings):
        self._settings = settings
        self._tasks = tasks.TaskGroup()
        self._stopping = asyncio.Event()
        self._is_bootstrapped = False
        self._build_state()
        self._build_peers()
        self._build_relays()
        self._build_apps()

    def _build_state(self) -> None:
        settings = self._settings
        own = daemons.Member(
            ids.DaemonId(settings.name),
            settings.peer_address or settings.peer_listen,
            ids.FailureDomainId(settings.failure_domain),
            started=time.time_ns() // 1_000_000,
        )
        heartbeat_timeout = settings.gossip_seconds * _HEARTBEAT_TIMEOUT_TICKS
        self.state = daemons.GossipState(
            members=daemons.MemberTable(own, heartbeat_timeout),
            directory=endpoints.Directory(),
            suspects=limits.SuspectTable(settings.quarantine_seconds),
            holder=configuration.ConfigurationHolder(),
        )
        source = settings.source_address
        addresses = tuple(filter(None, settings.kv.split(",")))
        self._kv = kv_http.HttpKeyValueStore(addresses, source)
        self._vms = inventory.HttpVmList(settings.vm_list, source)
        self._engines = endpoints.HttpModelEngine(source)
        self._application_servers = endpoints.HttpApplicationServer(source)

    def _build_peers(self) -> None:
        settings = self._settings
        self._router = routing.Router(
            routing.AdaptivePolicy(),
            settings.cache_pieces,
            settings.prefill_rate,
            seed=xxhash.xxh3_64_intdigest(settings.name.encode()),
        )
        seeds = tuple(filter(None, settings.peers.split(",")))
        self._gossip = daemons.Gossip(
            self.state,
            daemons.GossipSettings(
                seeds,
                settings.gossip_seconds,
                xxhash.xxh3_64_intdigest(settings.name.encode()),
                settings.source_address,
            ),
        )
        self._forwarder = daemons.PeerClaimForwarder(
            self.state.members, self._gossip.get_client
        )
        self._ledger = claims.ClaimLedger(
            self._kv,
            claims.CommitterSettings(
                settings.claim_shards,
                settings.claim_linger_ms / 1000,
                settings.claim_interval_ms / 1000,
                retention_seconds=settings.claim_retention_seconds,
            ),
            self._forwarder if settings.claim_homes else None,
        )
        self._poller = polling.EndpointPoller(
            self.state.directory,
            self._vms,
            self._engines,
            self.state.members,
            self._router,
            self.state.suspects,
            self._gossip,
            settings,
        )
        self._gossip.listener = self._poller

    def _build_relays(self) -> None:
        settings = self._settings
        relay_settings = relay.RelaySettings(
            retry_ratio=settings.retry_ratio,
            failure_domain=ids.FailureDomainId(settings.failure_domain),
        )
        self._model_relay = relay.ModelRelay(
            self.state.directory,
            self._engines,
            self._router,
            self.state.suspects,
            limits.SuspectSlots(self._kv, settings.name),
            relay_settings,
        )
        self._dispatch_sender = daemons.DispatchSender(
            self._gossip, self._model_relay.pending_dispatches
        )
        self._peer_server = daemons.PeerServer(
            handler.DaemonHandler(
                self.state,
                self._gossip,
                self._ledger,
                self._poller,
                self._dispatch_sender,
            )
        )
        self._model_relay.on_crash = self._gossip.announce_crashes
        self._call_relay = relay.CallRelay(
            self.state.directory,
            self._application_servers,
            self._ledger,
            limits.RetryBudget(settings.retry_ratio),
        )
        self._admission = limits.Admission(
            limits.AdmissionSettings(
                settings.slots, settings.queue_limit, settings.queue_seconds
            )
        )

    def _build_apps(self) -> None:
        settings = self._settings
        self._store = configuration.ConfigurationStore(self._kv)
        self._placer = placement.Placer(
            self.state.holder,
            self.state.directory,
            self._engines,
            leases.LeaderLease(
                self._kv, settings.failure_domain, settings.name
            ),
            lambda: not self.state.is_draining and self._is_watcher(),
            placement.PlacerSettings(
                settings.failure_domain,
                settings.loads_at_once,
                load_seconds=settings.load_seconds,
            ),
        )
        self._watcher = configuration.ConfigurationWatcher(
            self.state.holder,
            self._store,
            self._is_watcher,
            self._gossip.exchange_now,
        )
        dependencies = callers.CallerDependencies(
            self.state.holder,
            self._admission,
            self._model_relay,
            self._call_relay,
            self.state.suspects,
            lambda: self.state.is_draining,
            self._is_ready,
        )
        caller_settings = callers.CallerSettings(settings.max_body_bytes)
        self._caller_app = callers.CallerApp(
            dependencies, caller_settings, callers.CallerMetrics()
        )
        self._operator_app = operators.OperatorApp(
            operators.OperatorDependencies(
                self.state.holder,
                self._store,
                operators.parse_tokens(settings.operators),
                self._gossip.exchange_now,
                self.describe,
            )
        )

    async def run(self) -> None:
        """Serves until ``stop`` is called, then drains and closes.

        Raises:
            OSError: If a listener cannot start or stops.
        """
        host, port = self._settings.peer_listen.rsplit(":", 1)
        await self._peer_server.start(host, int(port))
        self._ledger.start()
        account = memory.MemoryAccount(_BUFFER_BYTES)
        servers = [
            _make_server(
                self._settings.listen, self._caller_app.make_app(), account
            ),
            _make_server(
                self._settings.admin_listen,
                self._operator_app.make_app(),
                account,
            ),
        ]
        serving = [asyncio.create_task(server.serve()) for server in servers]
        self._tasks.keep_running(self._bootstrap, "prime")
        self._tasks.keep_running(self._update_daemon_count, "count-daemons")
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait(
            [stopping, *serving], return_when=asyncio.FIRST_COMPLETED
        )
        if not self._stopping.is_set():
            raise OSError("A listener failed; check that its address is free.")
        await self._drain(servers, serving)
        await self._close()

    def stop(self) -> None:
        """Starts the shutdown."""
        self._stopping.set()

    def describe(self) -> dict[str, object]:
        """Returns the daemon's status, as reported to operators."""
        now = clocks.read_monotonic()
        return {
            "daemon": self._settings.name,
            "failure_domain": self._settings.failure_domain,
            "version": self.state.holder.snapshot.version,
            "is_watcher": self._is_watcher(),
            "is_draining": self.state.is_draining,
            "is_placer": self._placer.is_leader,
            "rollout_halted": self._placer.halted,
            "daemons": [
                {
                    "daemon": m.daemon,
                    "failure_domain": m.failure_domain,
                    "version": m.configuration_version,
                    "is_draining": m.is_draining,
                }
                for m in self.state.members.list_live(now)
            ],
            "endpoints": [
                {
                    "endpoint": e.endpoint,
                    "kind": e.vm.kind.value,
                    "state": e.state.value,
                    "incarnation": e.report.incarnation,
                    "weights": e.report.weights,
                }
                for e in self.state.directory
            ],
            "believed_pieces": len(self._router.index),
            "kv_calls": self._kv.calls,
            "task_failures": {
                f"{name} {effect.value}": count
                for (name, effect), count in (
                    tasks.PROCESS_FAILURES.counts.items()
                )
            },
            "gossip_bytes": self._gossip.sent_bytes
            + self._peer_server.sent_bytes,
            "claim_writes": sum(c.writes for c in self._ledger.committers),
            "claims_committed": sum(
                c.committed for c in self._ledger.committers
            ),
        }

    async def _bootstrap(self) -> None:
        """Gets a configuration and the VM list, then starts what needs them.

        The configuration comes from the store or from a seed, the VM list
        from the platform or, if that gives none, from another daemon.
        """
        while not self._is_bootstrapped:
            await asyncio.gather(
                self._gossip.join(),
                self._load_from_store(),
                self._poller.poll_once(),
            )
            if not len(self.state.directory):
                await self._fetch_vms_from_peers()
            self._is_bootstrapped = self.state.holder.is_ready
            if not self._is_bootstrapped:
                await asyncio.sleep(_BOOTSTRAP_RETRY_S)
        _log.info(
            "Ready with configuration version {}.",
            self.state.holder.snapshot.version,
        )
        self._gossip.start()
        self._dispatch_sender.start()
        self._poller.start()
        self._tasks.keep_running(self._placer.run, "placer")
        self._tasks.keep_running(self._watcher.run, _CONFIGURATION_TASK)

    async def _load_from_store(self) -> None:
        snapshot = await self._store.load(
            self.state.holder.snapshot,
            clocks.Deadline.after(_STORE_LOAD_TIMEOUT_S),
        )
        if snapshot is not None:
            self.state.holder.adopt(snapshot)

    async def _fetch_vms_from_peers(self) -> None:
        for member in self.state.members.list_live(clocks.read_monotonic()):
            if member.daemon == self._settings.name:
                continue
            with contextlib.suppress(daemons.PeerError, decoding.DecodeError):
                vms = await self._gossip.fetch_vms(member.address)
                if vms:
                    self._poller.apply_vm_list(vms)
                    await self._poller.poll_once()
                    return

    async def _update_daemon_count(self) -> None:
        """Keeps the number of daemons that share the rate limits current."""
        while True:
            live = self.state.members.list_live(clocks.read_monotonic())
            self._admission.daemons = len(live)
            await asyncio.sleep(self._settings.gossip_seconds)

    def _is_ready(self) -> bool:
        return (
            self._is_bootstrapped
            and self.state.holder.is_ready
            # It would go on with a former configuration.
            and not self._tasks.is_failing(_CONFIGURATION_TASK)
        )

    def _is_watcher(self) -> bool:
        """Returns whether this daemon watches the store for its domain."""
        now = clocks.read_monotonic()
        members = self.state.members
        eligible = [
            m for m in members.list_same_domain(now) if not m.is_draining
        ]
        watchers = sorted(eligible, key=lambda m: m.daemon)[
            :_WATCHERS_PER_DOMAIN
        ]
        return members.own.daemon in [m.daemon for m in watchers]

    async def _drain(
        self, servers: list[uvicorn.Server], serving: list[asyncio.Task]
    ) -> None:
        """Reports the shutdown, waits for the balancer and ends the servers."""
        self.state.is_draining = True
        _log.info("Draining for {} s.", self._settings.drain_seconds)
        self.state.members.advance_heartbeat(
            self.state.holder.snapshot.version, True
        )
        self._gossip.exchange_now()
        await asyncio.sleep(self._settings.drain_seconds)
        for server in servers:
            server.should_exit = True
        await asyncio.gather(*serving)

    async def _close(self) -> None:
        await self._tasks.close()
        await self._model_relay.background.close()
        await self._poller.close()
        await self._dispatch_sender.close()
        await self._gossip.close()
        await self._forwarder.close()
        await self._ledger.close()
        await self._peer_server.close()
        await self._engines.close()
        await self._application_servers.close()
        await self._vms.close()
        await self._kv.close()
        _log.info("Stopped.")


def _make_server(
    address: str, app, account: memory.MemoryAccount
) -> uvicorn.Server:
    host, port = address.rsplit(":", 1)
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan="off",
        backlog=_LISTEN_BACKLOG,
        http=protocol.make_protocol(
            lambda: _LIMITS,
            account,
            asyncio.Event(),
            functools.partial(_log_close, address),
            # The applications take only a closed connection for a caller that
            # left.
            keeps_half_open=False,
        ),
        ws="none",
    )
    return _Server(config)


def _log_close(address: str, report: closes.CloseReport) -> None:
    """Logs a connection that was closed with a request on it."""
    _log.warning(
        "{}: a connection with a request on it was closed: {}.",
        address,
        report.reason.value,
    )
