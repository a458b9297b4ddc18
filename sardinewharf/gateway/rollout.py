"""Brings engines to the weights that are named, under a lease.

One gateway at a time orders engines. It leads requests away from an engine
first, so that few are held up, and back when the engine shows the version.
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
from sardinewharf.gateway import peers as peers_lib
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import rolls as rolls_lib
from sardinewharf.gateway import settings as settings_lib

_TICK_S = 0.05
_HOLD_TICK_S = 0.25
# Gateways want an office that became free one after the other, the youngest
# first, in seconds.
_TAKE_STEP_S = 0.08
_TAKE_LIMIT_S = 1.0
# Time for the news that an engine is led away from, in seconds.
_LEAD_S = 0.06
_CALL_S = 0.5
# A load takes this long at least; the engine is asked from then on.
_LOAD_S = 0.75
_POLL_S = 0.12
# An engine that does not show the version by then is ordered again.
_LOAD_LIMIT_S = 4.0
# An order that is not answered by then is repeated, so many times at most.
_ORDER_S = 0.25
_MAX_ORDERS = 5
_FAILURE_PAUSE_S = 0.5


class Roller:
    """Orders engines to load weights while it holds the office.

    Args:
        settings: Settings of this gateway.
        tenure: The office.
        control: Calls engines.
        replica: What the gateway believes.
        loads: Work at endpoints.
        health: How endpoints answer.
        rolls: Engines that are led away from.
        peers: Tells other gateways.
        log: Where orders are written.
    """

    def __init__(
        self,
        settings: settings_lib.GatewaySettings,
        tenure: leases.Tenure,
        control: control_lib.EngineControl,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        health: fleet.HealthTable,
        rolls: rolls_lib.RollTable,
        peers: peers_lib.Peers,
        log: records.RecordSink,
    ):
        self._name = settings.name
        self._weights_s = settings.promises.weights_ms / 1000
        self._tenure = tenure
        self._control = control
        self._replica = replica
        self._loads = loads
        self._health = health
        self._rolls = rolls
        self._peers = peers
        self._log = log
        self._tasks = tasks.TaskGroup()
        self._busy: set[ids.EndpointId] = set()
        self._is_stopping = False

    async def hold(self) -> None:
        """Takes the office when it is free, and keeps it."""
        was_held = False
        while not self._is_stopping:
            is_held = bool(self._tenure.epoch)
            if is_held or self._may_take():
                if not is_held:
                    await asyncio.sleep(self._find_turn())
                if is_held or self._may_take():
                    await self._tenure.keep()
            is_held = bool(self._tenure.epoch)
            if is_held != was_held:
                was_held = is_held
                self._log.write(
                    records.events.OfficeChanged(is_held, self._tenure.epoch)
                )
            await asyncio.sleep(_HOLD_TICK_S)

    async def run(self) -> None:
        """Orders engines until cancelled."""
        while True:
            if self._tenure.find_deadline() and not self._is_stopping:
                self._start_rolls()
            await asyncio.sleep(_TICK_S)

    async def stop(self) -> None:
        """Gives no further order and leaves the office."""
        self._is_stopping = True
        self._peers.is_leaving = True
        self._peers.schedule_broadcast()
        await self._tasks.close()
        await self._tenure.resign()

    def _find_turn(self) -> float:
        """Returns the seconds to wait for gateways that should go first."""
        turn = self._peers.count_started_later() * _TAKE_STEP_S
        return min(_TAKE_LIMIT_S, turn + random.uniform(0, _TAKE_STEP_S / 2))

    def _may_take(self) -> bool:
        return self._replica.is_filled and not self._replica.rollout_leader

    def _start_rolls(self) -> None:
        for service in self._replica.configuration.services.values():
            if service.engine is None:
                continue
            for model in service.engine.models:
                wanted = self._replica.target_versions.find_wanted(model)
                self._start_model_rolls(service.name, model, wanted)

    def _start_model_rolls(self, service: str, model: str, wanted: int) -> None:
        now = clocks.read_monotonic()
        registry = self._replica.registry
        engines = registry.list_ready(service)
        states = [
            balancing.RollState(
                endpoint.id,
                registry.find_weights(endpoint.id, model),
                endpoint.id in self._busy,
                self._loads.read(endpoint.id, now).running,
                self._health.may_try(endpoint.incarnation, now),
            )
            for endpoint in engines
        ]
        if all(state.version >= wanted for state in states):
            return
        pace = self._measure_pace(engines, model, now)
        for engine in balancing.choose_rolls(states, wanted, pace):
            endpoint = registry.find(ids.EndpointId(engine))
            self._busy.add(endpoint.id)
            self._tasks.start(self._roll(endpoint, model), "roll")

    def _measure_pace(
        self, engines: Sequence[fleet.Endpoint], model: str, now: float
    ) -> balancing.RollPace:
        tokens = sum(
            self._loads.read(endpoint.id, now).prompt_tokens
            for endpoint in engines
        )
        wait = tokens / len(engines) / fleet.READ_TOKENS_PER_MS
        named_at = self._replica.target_versions.find_time(model)
        if named_at is None:
            return balancing.RollPace(wait, time_used=1.0)
        used = (now - named_at) / self._weights_s
        return balancing.RollPace(wait, used)

    async def _roll(self, endpoint: fleet.Endpoint, model: str) -> None:
        """Brings one engine to the wanted version."""
        until = clocks.Deadline.after(_LOAD_LIMIT_S)
        self._rolls.lead_away(endpoint.id, until)
        self._peers.schedule_broadcast()
        is_done = False
        began = clocks.read_monotonic()
        try:
            await asyncio.sleep(_LEAD_S)
            is_done = await self._order_and_wait(endpoint, model, until)
        finally:
            self._rolls.lead_back(endpoint.id)
            self._peers.schedule_broadcast()
            self._log_end(endpoint, model, is_done, began)
            if not is_done:
                await asyncio.sleep(_FAILURE_PAUSE_S)
            self._busy.discard(endpoint.id)

    def _log_end(
        self, endpoint: fleet.Endpoint, model: str, is_done: bool, began: float
    ) -> None:
        took = clocks.read_monotonic() - began
        self._log.write(
            records.events.OrderEnded(
                endpoint=endpoint.id,
                model=model,
                version=self._replica.registry.find_weights(endpoint.id, model),
                is_done=is_done,
                took_ms=int(took * 1000),
            )
        )

    async def _order_and_wait(
        self, endpoint: fleet.Endpoint, model: str, until: clocks.Deadline
    ) -> bool:
        wanted = self._replica.target_versions.find_wanted(model)
        result = await self._order_until_answered(endpoint, model, wanted)
        if result is control_lib.OrderResult.HOLDS_ALREADY:
            return True
        if result is not control_lib.OrderResult.ACCEPTED:
            return False
        await asyncio.sleep(_LOAD_S)
        while not until.is_past():
            report = await self._read(endpoint)
            if report is None:
                return False
            if self._note(endpoint, model, report, wanted):
                return True
            await asyncio.sleep(_POLL_S)
        return False

    async def _order_until_answered(
        self, endpoint: fleet.Endpoint, model: str, wanted: int
    ) -> control_lib.OrderResult | None:
        """Orders an engine, again if there is no answer.

        Repeats do no harm: each names the orders that the engine has accepted,
        so that one of them is carried out, and a late one never.
        """
        for _ in range(_MAX_ORDERS):
            report = await self._read(endpoint)
            if report is None:
                return None
            if self._note(endpoint, model, report, wanted):
                return control_lib.OrderResult.HOLDS_ALREADY
            if report.is_busy:
                return control_lib.OrderResult.ACCEPTED
            result = await self._order(endpoint, model, wanted, report.orders)
            if result is control_lib.OrderResult.HOLDS_ALREADY:
                self._peers.record_weights(endpoint.id, model, wanted)
            if result is not control_lib.OrderResult.UNKNOWN:
                return result
            await asyncio.sleep(_POLL_S)
        return None

    async def _order(
        self, endpoint: fleet.Endpoint, model: str, version: int, orders: int
    ) -> control_lib.OrderResult | None:
        """Gives an order; returns None if this gateway may not."""
        tenure = self._tenure.find_deadline()
        if tenure is None or self._is_stopping:
            return None
        self._tenure.note_act()
        order = control_lib.WeightsOrder(
            model=model,
            version=version,
            mode=control_lib.SwitchMode.FINISH,
            holder=self._name,
            epoch=self._tenure.epoch,
            after_orders=orders,
        )
        result = await self._control.order_weights(
            endpoint, order, clocks.Deadline.after(_ORDER_S).earlier(tenure)
        )
        self._log_order(endpoint, order, result)
        if result is control_lib.OrderResult.OLD_EPOCH:
            self._tenure.abandon()
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

    async def _read(
        self, endpoint: fleet.Endpoint
    ) -> control_lib.EngineReport | None:
        report = await self._control.read_report(
            endpoint, clocks.Deadline.after(_CALL_S)
        )
        if report is None:
            # Another engine has its turn while this one is tried more seldom.
            self._health.note_unreached(
                endpoint.incarnation, clocks.read_monotonic()
            )
        return report

    def _note(
        self,
        endpoint: fleet.Endpoint,
        model: str,
        report: control_lib.EngineReport,
        wanted: int,
    ) -> bool:
        """Notes what a report shows; returns whether it is the wanted one."""
        version = report.weights.get(model, 0)
        self._peers.record_weights(endpoint.id, model, version)
        return version >= wanted and not report.is_busy
