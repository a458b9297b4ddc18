"""Updates engines to the target version of their models' weights.

The gateway that holds the leader lease orders engines to load weights. It first
drains an engine, so that few requests wait for the load, and ends the drain
when the engine reports the version.
"""

import asyncio
from collections.abc import Sequence
import random

from sardinewharf import balancing
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import leases
from sardinewharf import records
from sardinewharf import tasks
from sardinewharf.gateway import control as control_lib
from sardinewharf.gateway import drains as drains_lib
from sardinewharf.gateway import exchange as exchange_lib
from sardinewharf.gateway import peers as peers_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.gateway import tables

_SCHEDULE_INTERVAL_S = 0.05
_LEASE_CHECK_INTERVAL_S = 0.25
# Gateways try to acquire a free lease one after the other, the one that started
# last first: each waits this long for every gateway that started later.
_ACQUIRE_STAGGER_S = 0.08
_MAX_ACQUIRE_DELAY_S = 1.0
# A gateway that does not know when the former leader acted last would wait
# longest before its first order, and lets others acquire the lease first.
_UNINFORMED_DELAY_S = 0.3
# Time for the other gateways to learn that an engine is drained.
_DRAIN_PROPAGATION_S = 0.06
_REPORT_TIMEOUT_S = 0.5
# A load takes at least this long; the engine is polled from then on.
_MIN_LOAD_S = 0.75
_POLL_INTERVAL_S = 0.12
# The update of an engine that does not report the version within this time
# fails, and is started again later.
_LOAD_TIMEOUT_S = 4.0
# An order without a response by then is sent again, up to a limit.
_ORDER_TIMEOUT_S = 0.25
_MAX_ORDER_ATTEMPTS = 5
# After these, the engine's next report shows what it does.
_UNSETTLED_RESULTS = frozenset(
    {control_lib.OrderResult.UNKNOWN, control_lib.OrderResult.CONFLICT}
)
_FAILURE_BACKOFF_S = 0.5
# An engine that sent data within this time can be reached; others are probed
# before they are drained.
_RECENT_RESPONSE_S = 1.0
# Assumed time of an update before one was measured, and weight of the latest
# one in the moving average.
_INITIAL_UPDATE_S = 1.5
_UPDATE_SMOOTHING = 0.3


# Engines that are asked for a report when one ends while it loads weights.
_MAX_COMPARED_ENGINES = 3


class RolloutController:
    """Orders engines to load weights while this gateway is the leader.

    Args:
        settings: Settings of this gateway.
        leader_lease: Only its holder orders engines.
        control: Client of the engines' control interface.
        replica: This gateway's replica of the store.
        loads: Estimated load of each endpoint.
        health: Failures and ejections of each endpoint.
        drains: Engines that are drained.
        notices: What endpoints stated about the requests that they want.
        exchange: Reports weights to the other gateways.
        peers: Sends the reports.
        estimators: What is measured of engines and prompts.
        log: Where leadership changes and orders are logged.
        failures: Counts the failures of updates.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        leader_lease: leases.LeaderLease,
        control: control_lib.EngineControl,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        health: fleet.HealthTable,
        drains: drains_lib.DrainTable,
        notices: fleet.NoticeTable,
        exchange: exchange_lib.StateExchange,
        peers: peers_lib.Peers,
        estimators: tables.EstimatorTable,
        log: records.RecordSink,
        failures: tasks.FailureCounter | None = None,
    ):
        self._name = settings.name
        self._rollout_limit_s = settings.guarantees.rollout_limit_ms / 1000
        self._leader_lease = leader_lease
        self._control = control
        self._replica = replica
        self._loads = loads
        self._health = health
        self._drains = drains
        self._notices = notices
        self._exchange = exchange
        self._peers = peers
        self._estimators = estimators
        self._log = log
        self._failures = failures or tasks.FailureCounter()
        self._tasks = tasks.TaskGroup(self._failures)
        self._updating: set[ids.EndpointId] = set()
        # Engines that are probed, and those whose last update failed.
        self._probing: set[ids.EndpointId] = set()
        self._backoffs: dict[ids.EndpointId, clocks.Deadline] = {}
        self._load_failures = balancing.LoadFailures(self._rollout_limit_s)
        # Moving average of the time that updates take.
        self._update_s = _INITIAL_UPDATE_S
        self._was_leader = False
        self._is_stopping = False

    async def maintain_lease(self) -> None:
        """Acquires the leader lease when it is free, and renews it."""
        while not self._is_stopping:
            is_held = bool(self._leader_lease.epoch)
            if is_held or self._may_acquire():
                if not is_held:
                    await asyncio.sleep(self._choose_acquire_delay())
                if is_held or self._may_acquire():
                    await self._leader_lease.acquire_or_renew()
            is_held = bool(self._leader_lease.epoch)
            if is_held != self._was_leader:
                self._was_leader = is_held
                self._log.write(
                    records.events.LeadershipChanged(
                        is_held, self._leader_lease.epoch
                    )
                )
            await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)

    async def run(self) -> None:
        """Starts updates of engines until cancelled."""
        while True:
            if self._leader_lease.find_deadline() and not self._is_stopping:
                self._start_updates()
            await asyncio.sleep(_SCHEDULE_INTERVAL_S)

    async def stop(self) -> None:
        """Sends no further orders and gives up the leader lease."""
        self._is_stopping = True
        self._exchange.is_leaving = True
        self._peers.schedule_broadcast()
        await self._tasks.close()
        await self._leader_lease.resign()

    def _choose_acquire_delay(self) -> float:
        """Returns the seconds to wait before acquiring a free lease."""
        if self._replica.rollout_leader:
            # The lease of this gateway's former process.
            return 0.0
        delay = self._exchange.count_started_later() * _ACQUIRE_STAGGER_S
        if not self._leader_lease.may_act_soon():
            delay += _UNINFORMED_DELAY_S
        return min(
            _MAX_ACQUIRE_DELAY_S,
            delay + random.uniform(0, _ACQUIRE_STAGGER_S / 2),
        )

    def _may_acquire(self) -> bool:
        """Returns whether the lease is free, as far as the replica shows.

        A gateway that stops has resigned, and takes no lease.
        """
        return (
            self._replica.is_filled
            and self._is_lease_free()
            and not self._is_stopping
        )

    def _is_lease_free(self) -> bool:
        leader = self._replica.rollout_leader
        return not leader or self._leader_lease.may_take_over(leader)

    def _start_updates(self) -> None:
        """Starts updates of engines that lack their models' target versions."""
        for service in self._replica.configuration.services.values():
            if service.engine is None:
                continue
            for model in service.engine.models:
                target = self._replica.target_versions.find_target(model)
                with self._failures.contain("weights"):
                    self._start_model_updates(service.name, model, target)

    def _start_model_updates(
        self, service: str, model: str, target: int
    ) -> None:
        now = clocks.read_monotonic()
        registry = self._replica.registry
        engines = registry.list_ready(service)
        estimates = self._estimators.find(service).read()
        states = [
            balancing.EngineRolloutState(
                endpoint.id,
                registry.find_weights(endpoint.id, model),
                endpoint.id in self._updating,
                self._loads.read(endpoint.id, now).running,
                self._is_usable(endpoint, now),
            )
            for endpoint in engines
        ]
        if all(state.version >= target for state in states):
            return
        if any(state.version >= target for state in states):
            self._load_failures.clear(model, target)
        if not self._load_failures.may_order(model, target, now):
            return
        pace = self._measure_pace(engines, model, estimates, now)
        chosen = balancing.choose_engines_to_update(states, target, pace)
        if chosen and self._load_failures.is_halted(model, target):
            self._load_failures.record_trial(model, target, now)
            chosen = chosen[:1]
        for engine in chosen:
            endpoint = registry.find(ids.EndpointId(engine))
            if self._responded_recently(endpoint, now):
                self._updating.add(endpoint.id)
                self._tasks.start(self._update_engine(endpoint, model), "roll")
            else:
                self._probing.add(endpoint.id)
                self._tasks.start(self._probe_engine(endpoint), "probe")

    def _is_usable(self, endpoint: fleet.Endpoint, now: float) -> bool:
        """Returns whether an engine may be updated now.

        One that is leaving is not. A pause of an engine concerns requests only.
        """
        backoff = self._backoffs.get(endpoint.id)
        return (
            self._health.may_try(endpoint.incarnation, now)
            and not self._notices.departures.is_leaving(endpoint.incarnation)
            and endpoint.id not in self._probing
            and (backoff is None or backoff.is_past(now))
        )

    def _responded_recently(self, endpoint: fleet.Endpoint, now: float) -> bool:
        last_response_at = self._health.read_last_response_at(
            endpoint.incarnation
        )
        return now - last_response_at < _RECENT_RESPONSE_S

    async def _probe_engine(self, endpoint: fleet.Endpoint) -> None:
        """Reads an engine's report, to see whether it can be reached.

        An engine that has crashed must not take the place of one that could
        load weights.
        """
        try:
            if await self._read_report(endpoint) is not None:
                self._health.record_response(
                    endpoint.incarnation, clocks.read_monotonic()
                )
        finally:
            self._probing.discard(endpoint.id)

    def _measure_pace(
        self,
        engines: Sequence[fleet.Endpoint],
        model: str,
        estimates: balancing.EngineEstimates,
        now: float,
    ) -> balancing.RolloutPace:
        """Returns how loaded the engines are, and how urgent the rollout is."""
        tokens = sum(
            self._loads.read(
                endpoint.id, now, estimates.prefill_tokens_per_ms
            ).prompt_tokens
            for endpoint in engines
        )
        mean_wait_ms = tokens / len(engines) / estimates.prefill_tokens_per_ms
        target_set_at = self._replica.target_versions.find_target_time(model)
        if target_set_at is None:
            return balancing.RolloutPace(mean_wait_ms, elapsed_share=1.0)
        return balancing.RolloutPace(
            mean_wait_ms,
            elapsed_share=(now - target_set_at) / self._rollout_limit_s,
            update_share=self._update_s / self._rollout_limit_s,
        )

    async def _update_engine(
        self, endpoint: fleet.Endpoint, model: str
    ) -> None:
        """Drains one engine and updates it to the target version."""
        load_deadline = clocks.Deadline.after(_LOAD_TIMEOUT_S)
        self._drains.drain(endpoint.id, load_deadline)
        self._peers.schedule_broadcast()
        is_done = False
        started_at = clocks.read_monotonic()
        try:
            await asyncio.sleep(_DRAIN_PROPAGATION_S)
            is_done = await self._order_and_wait_for_load(
                endpoint, model, load_deadline
            )
        finally:
            self._updating.discard(endpoint.id)
            self._drains.end_drain(endpoint.id)
            self._peers.schedule_broadcast()
            self._record_update_end(endpoint, model, is_done, started_at)

    def _record_update_end(
        self,
        endpoint: fleet.Endpoint,
        model: str,
        is_done: bool,
        started_at: float,
    ) -> None:
        """Records and logs whether an update succeeded and how long it took."""
        took_s = clocks.read_monotonic() - started_at
        if is_done:
            self._update_s += _UPDATE_SMOOTHING * (took_s - self._update_s)
        else:
            self._backoffs[endpoint.id] = clocks.Deadline.after(
                _FAILURE_BACKOFF_S
            )
        self._log.write(
            records.events.OrderEnded(
                endpoint=endpoint.id,
                model=model,
                version=self._replica.registry.find_weights(endpoint.id, model),
                is_done=is_done,
                took_ms=int(took_s * 1000),
            )
        )

    async def _order_and_wait_for_load(
        self,
        endpoint: fleet.Endpoint,
        model: str,
        load_deadline: clocks.Deadline,
    ) -> bool:
        """Orders an engine to load; returns whether it did by the deadline."""
        target = self._replica.target_versions.find_target(model)
        result = await self._order_with_retries(endpoint, model, target)
        if result is control_lib.OrderResult.HOLDS_ALREADY:
            return True
        if result is not control_lib.OrderResult.ACCEPTED:
            return False
        await asyncio.sleep(_MIN_LOAD_S)
        while not load_deadline.is_past():
            report = await self._read_report(endpoint)
            if report is None:
                await self._record_load_failure(endpoint, model, target)
                return False
            if self._record_report(endpoint, model, report, target):
                return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False

    async def _record_load_failure(
        self, endpoint: fleet.Endpoint, model: str, target: int
    ) -> None:
        """Records an engine that ended while it loaded weights.

        It is not recorded if engines that load nothing cannot be reached
        either: then the weights are not the cause.
        """
        others = self._choose_idle_engines(endpoint)
        reports = await asyncio.gather(*map(self._read_report, others))
        if others and not any(reports):
            return
        self._load_failures.record(
            model, target, endpoint.incarnation, clocks.read_monotonic()
        )

    def _choose_idle_engines(
        self, endpoint: fleet.Endpoint
    ) -> list[fleet.Endpoint]:
        """Returns the engines of its service heard last that load nothing.

        Those whose last update failed are left out: weights may have ended
        them.
        """
        others = [
            other
            for other in self._replica.registry.list_ready(endpoint.service)
            if other.id not in self._updating
            and other.id not in self._backoffs
            and other.id != endpoint.id
        ]
        others.sort(
            key=lambda other: self._health.read_last_response_at(
                other.incarnation
            ),
            reverse=True,
        )
        return others[:_MAX_COMPARED_ENGINES]

    async def _order_with_retries(
        self, endpoint: fleet.Endpoint, model: str, target: int
    ) -> control_lib.OrderResult | None:
        """Orders an engine to load weights; retries without a response.

        Retries are safe: each order states how many orders the engine has
        accepted so far, so at most one of them is carried out and one that
        arrives late is not. A conflict shows that the report was old: the
        engine may have accepted an order whose response was lost.
        """
        for _ in range(_MAX_ORDER_ATTEMPTS):
            report = await self._read_report(endpoint)
            if report is None:
                return None
            if self._record_report(endpoint, model, report, target):
                return control_lib.OrderResult.HOLDS_ALREADY
            if report.is_busy:
                return control_lib.OrderResult.ACCEPTED
            result = await self._send_order(
                endpoint, model, target, report.orders
            )
            if result is control_lib.OrderResult.HOLDS_ALREADY:
                self._exchange.record_weights(endpoint.id, model, target)
            if result not in _UNSETTLED_RESULTS:
                return result
            await asyncio.sleep(_POLL_INTERVAL_S)
        return None

    async def _send_order(
        self, endpoint: fleet.Endpoint, model: str, version: int, orders: int
    ) -> control_lib.OrderResult | None:
        """Sends an order; returns None if this gateway must not."""
        if not await self._leader_lease.prepare_action():
            return None
        lease_deadline = self._leader_lease.find_deadline()
        if lease_deadline is None or self._is_stopping:
            return None
        self._leader_lease.record_action()
        order = control_lib.WeightsOrder(
            model=model,
            version=version,
            mode=control_lib.SwitchMode.FINISH,
            holder=self._name,
            epoch=self._leader_lease.epoch,
            after_orders=orders,
        )
        result = await self._control.order_weights(
            endpoint,
            order,
            clocks.Deadline.after(_ORDER_TIMEOUT_S).earlier(lease_deadline),
        )
        self._log_order(endpoint, order, result)
        if result is control_lib.OrderResult.OLD_EPOCH:
            self._leader_lease.step_down()
        return result

    def _log_order(
        self,
        endpoint: fleet.Endpoint,
        order: control_lib.WeightsOrder,
        result: control_lib.OrderResult,
    ) -> None:
        now = clocks.read_monotonic()
        self._log.write(
            records.events.OrderGiven(
                endpoint=endpoint.id,
                model=order.model,
                version=order.version,
                shown=self._replica.registry.find_weights(
                    endpoint.id, order.model
                ),
                after_orders=order.after_orders,
                epoch=order.epoch,
                running=self._loads.read(endpoint.id, now).running,
                result=result.value,
            )
        )

    async def _read_report(
        self, endpoint: fleet.Endpoint
    ) -> control_lib.EngineReport | None:
        """Returns an engine's report; None if it could not be read."""
        report = await self._control.read_report(
            endpoint, clocks.Deadline.after(_REPORT_TIMEOUT_S)
        )
        if report is None:
            # Ejects the engine for a while, so that the rollout goes on with
            # others.
            self._health.record_unreachable(
                endpoint.incarnation, clocks.read_monotonic()
            )
        return report

    def _record_report(
        self,
        endpoint: fleet.Endpoint,
        model: str,
        report: control_lib.EngineReport,
        target: int,
    ) -> bool:
        """Records a report; returns whether the target version is loaded."""
        version = report.weights.get(model, 0)
        self._exchange.record_weights(endpoint.id, model, version)
        return version >= target and not report.is_busy
