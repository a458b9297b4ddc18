"""Lets requests wait for room at engines, or refuses them, under overload.

See Also:
    ``overload``, which decides, and ``docs/design/0018-load-shedding.md``.
"""

import asyncio

from sardinewharf import catalog
from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import overload
from sardinewharf import tasks
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.gateway import overload_rooms
from sardinewharf.gateway import overload_states
from sardinewharf.gateway import ranking
from sardinewharf.gateway import refusals
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway import requests
from sardinewharf.gateway import selection
from sardinewharf.gateway import shutdown as shutdown_lib
from sardinewharf.gateway import tables

# Time between two looks at the room, in seconds. Each takes over a millisecond,
# and the loads of other gateways are about a second old; what this gateway
# sends and what ends here counts at once.
_POLL_S = 0.2
# While at least this share of the places is free and no request waits, requests
# are sent at once.
_AMPLE_SHARE = 0.125
# While at least this share of the places is free, all waiting ones are sent.
# While this share of the slots is free, none is refused.
_IDLE_SHARE = 0.5
# Number of waiting requests that are tried in turn, if the first ones do not
# fit.
_MAX_TRIED = 8
_TASK = "overload"


class OverloadController:
    """Delays and refuses requests that are less urgent than others.

    Args:
        replica: This gateway's replica of the store.
        loads: Estimated load of each endpoint.
        selector: Lists the engines that may run a request.
        ranker: Ranks requests.
        estimators: What is measured of engines and prompts.
        shutdown: Tells whether requests can end before the gateway exits.
        metrics: Counts the requests that wait.
        failures: Counts failures of background work.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        loads: fleet.LoadTable,
        selector: selection.Selector,
        ranker: ranking.RequestRanker,
        estimators: tables.EstimatorTable,
        shutdown: shutdown_lib.Shutdown,
        metrics: metrics_lib.GatewayMetrics,
        failures: tasks.FailureCounter,
    ):
        self._replica = replica
        self._rooms = overload_rooms.RoomReader(
            replica, loads, selector, estimators
        )
        self._ranker = ranker
        self._estimators = estimators
        self._shutdown = shutdown
        self._metrics = metrics
        self._failures = failures
        self._states: dict[str, overload_states.ServiceState] = {}
        if ranker.is_active:
            loads.on_end = self._handle_end

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return sum(len(state.queue) for state in self._states.values())

    async def wait_for_room(self, call: requests.Call) -> bool:
        """Waits until a request may be sent.

        Returns:
            Whether it waited, so that it has to be checked again.

        Raises:
            RefusedError: If it cannot be served before its deadline.
        """
        spec = self._find_spec(call)
        if spec is None or call.may_have_run:
            return False
        if call.has_room:
            self._find_open(call)
            return False
        now = clocks.read_monotonic()
        state = self._states.setdefault(
            call.service, overload_states.ServiceState()
        )
        waiting = self._make_waiting(call, state)
        state.demand.record(waiting.rank, waiting.work, now)
        call.has_room = True
        if not waiting.rank:
            return False
        room = self._read_room(state, call, spec, now)
        if room is None:
            return False
        if not len(state.queue) and self._is_ample(state, waiting, now):
            self._record_sent(state, waiting, call, now)
            self._find_open(call)
            return False
        call.has_room = False
        await self._hold(state, waiting, call)
        call.held_s += clocks.read_monotonic() - now
        return True

    async def _hold(
        self,
        state: overload_states.ServiceState,
        waiting: overload.Waiting,
        call: requests.Call,
    ) -> None:
        """Waits until a request is released.

        Raises:
            RefusedError: If it is refused.
        """
        loop = asyncio.get_running_loop()
        hold = overload_states.Hold(call, loop.create_future())
        state.holds[waiting] = hold
        state.queue.add(waiting)
        outcome = "left"
        try:
            self._release(state)
            if len(state.queue) and state.task is None:
                state.task = loop.create_task(self._poll(state))
            async with asyncio.timeout_at(call.deadline.at):
                await hold.released
            outcome = "sent"
        except TimeoutError:
            # It is refused when it is checked again.
            outcome = "refused"
        except refusals.RefusedError:
            outcome = "refused"
            raise
        finally:
            self._remove(state, waiting)
            self._metrics.count_hold(call.service, outcome)

    async def _poll(self, state: overload_states.ServiceState) -> None:
        """Releases and refuses requests until none waits."""
        try:
            while len(state.queue):
                with self._failures.contain(_TASK):
                    self._refuse_late(state)
                with self._failures.contain(_TASK):
                    self._release(state)
                await asyncio.sleep(_POLL_S)
        finally:
            state.task = None

    def _handle_end(
        self, endpoint_id: ids.EndpointId, held_tokens: int, took_s: float
    ) -> None:
        """Handles the end of a request of this gateway at an endpoint."""
        endpoint = self._replica.registry.find(endpoint_id)
        state = self._states.get(endpoint.service) if endpoint else None
        if state is None:
            return
        split = self._estimators.find(endpoint.service).read().split
        state.record_time(held_tokens >= split.long_tokens, took_s)
        state.ended.record(held_tokens, clocks.read_monotonic())
        if not len(state.queue):
            return
        state.credit.record_end()
        if state.room is not None:
            state.room = state.room.remove_request(endpoint_id, held_tokens)
        with self._failures.contain(_TASK):
            self._release(state)

    def _release(self, state: overload_states.ServiceState) -> None:
        """Sends the waiting requests for which there is room."""
        now = clocks.read_monotonic()
        while len(state.queue):
            first = next(iter(state.holds.values())).call
            spec = self._find_spec(first)
            room = spec and self._read_room(state, first, spec, now)
            if not room:
                # Nothing is known of the engines, so that none may be kept.
                self._release_all(state)
                return
            waiting = self._find_next(state, room, now)
            if waiting is None:
                return
            self._send(state, waiting, now)

    def _send(
        self,
        state: overload_states.ServiceState,
        waiting: overload.Waiting,
        now: float,
    ) -> None:
        """Sends a waiting request."""
        call = state.holds[waiting].call
        self._remove_and_resolve(state, waiting)
        self._record_sent(state, waiting, call, now)

    def _find_next(
        self,
        state: overload_states.ServiceState,
        room: overload.ServiceRoom,
        now: float,
    ) -> overload.Waiting | None:
        """Returns the next request that may be sent now, if any.

        A request that does not fit does not stop those behind it, which leave
        room for it.
        """
        kept = overload.Reserve()
        has_slot = room.count_places(1, kept) > state.sent_since
        tried = state.queue.list_in_order(now)[:_MAX_TRIED] if has_slot else []
        for waiting in tried:
            if not self._shutdown.can_finish(state.holds[waiting].call):
                # It is refused when it is checked again.
                return waiting
            need = state.find_need(waiting, now)
            need = overload.Need(need.tokens, need.reserve.add(kept))
            if room.has_share(_IDLE_SHARE, need, state.sent_since):
                return waiting
            places = room.count_places(need.tokens, need.reserve)
            if places > state.sent_since:
                return waiting if state.credit.take() else None
            kept = overload.Reserve(1, max(kept.tokens, waiting.work))
        aged = state.queue.find_aged(now)
        if aged is not None and state.credit.take_aged():
            return aged
        return None

    def _refuse_late(self, state: overload_states.ServiceState) -> None:
        """Refuses the requests that cannot be served before their deadline."""
        now = clocks.read_monotonic()
        room = state.room
        if room is None:
            return
        state.update_limits()
        if room.taken < _IDLE_SHARE * room.slots:
            # Only memory is known to be scarce, which is an estimate.
            for waiting in state.queue.list_expired(now):
                self._send(state, waiting, now)
            return
        drain = state.read_drain(now)
        waited = len(state.queue)
        for waiting in state.queue.refuse_late(now, drain):
            wait_s = state.queue.estimate_wait(waiting.rank, drain)
            detail = (
                f"{waited} requests wait for {room.slots} slots with"
                f" {room.running} requests; expected wait {wait_s:.1f} s,"
                f" {waiting.latest.remaining(now):.1f} s are left to send it"
            )
            self._remove_and_resolve(
                state,
                waiting,
                refusals.refuse(
                    refusals.Reason.OVERLOADED,
                    detail,
                    overload.choose_retry_after(wait_s),
                ),
            )

    def _record_sent(
        self,
        state: overload_states.ServiceState,
        waiting: overload.Waiting,
        call: requests.Call,
        now: float,
    ) -> None:
        """Records that a request is sent now, to engines with room."""
        call.has_room = True
        state.sent.record(waiting.work, now)
        state.queue.record_sent(waiting)
        call.need = state.find_need(waiting, now)
        state.sent_since += 1

    def _find_open(self, call: requests.Call) -> None:
        """Finds the engines that have room for a call now."""
        room = self._states[call.service].room
        if call.need is None or room is None:
            return
        places = room.list_places(call.need.tokens, call.need.reserve)
        call.open_engines = frozenset(places)
        call.places = sum(places.values())

    def record_choice(
        self, call: requests.Call, target: requests.Target
    ) -> None:
        """Counts a request at its engine before it is connected.

        Requests that are released together are thus sent to several engines.
        """
        state = self._states.get(call.service)
        if state is None or state.room is None:
            return
        if call.need is not None:
            state.sent_since = max(0, state.sent_since - 1)
            call.need = None
            call.open_engines = None
        state.room = state.room.add_request(
            target.endpoint.id, target.held_tokens
        )

    def _read_room(
        self,
        state: overload_states.ServiceState,
        call: requests.Call,
        spec: catalog.EngineSpec,
        now: float,
    ) -> overload.ServiceRoom | None:
        """Returns the room at the engines of a call; None if it is unknown."""
        if now - state.room_read_at < _POLL_S:
            return state.room
        state.room_read_at = now
        state.sent_since = 0
        state.room = self._rooms.read(call, spec, now)
        if state.room is not None:
            share = self._rooms.compute_share(state.room, len(state.queue))
            state.credit.refill(state.count_places(now), share, now)
        return state.room

    def _is_ample(
        self,
        state: overload_states.ServiceState,
        waiting: overload.Waiting,
        now: float,
    ) -> bool:
        """Returns whether a request need not wait for its turn."""
        need = state.find_need(waiting, now)
        return state.room.has_share(_AMPLE_SHARE, need, state.sent_since)

    def _make_waiting(
        self,
        call: requests.Call,
        state: overload_states.ServiceState,
    ) -> overload.Waiting:
        """Returns what decides how long a call waits."""
        prompt = call.request.headers.prompt
        estimates = self._estimators.find(call.service).read()
        work = prompt.tokens + prompt.answer_tokens
        is_long = work >= estimates.split.long_tokens
        prefill_s = prompt.tokens / estimates.prefill_tokens_per_ms / 1000
        expected_s = state.read_time(is_long)
        limits = overload_states.find_limits(
            call, prefill_s if expected_s is None else expected_s
        )
        return overload.Waiting(
            rank=self._ranker.find_rank(call),
            organisation=call.admitted.organisation_name,
            work=work,
            is_long=is_long,
            target_by=limits.target_by,
            latest=limits.latest,
        )

    def _find_spec(self, call: requests.Call) -> catalog.EngineSpec | None:
        """Returns the engines of a call; None if it never waits for room."""
        if not self._ranker.is_active or call.request.headers.prompt is None:
            return None
        service = self._replica.configuration.services.get(call.service)
        return service.engine if service is not None else None

    def _release_all(self, state: overload_states.ServiceState) -> None:
        for waiting in state.queue.list_all():
            state.holds[waiting].call.has_room = True
            self._remove_and_resolve(state, waiting)

    def _remove_and_resolve(
        self,
        state: overload_states.ServiceState,
        waiting: overload.Waiting,
        error: refusals.RefusedError | None = None,
    ) -> None:
        """Ends the wait of a request, with a refusal if one is given."""
        released = state.holds[waiting].released
        self._remove(state, waiting)
        if released.done():
            return
        if error is None:
            released.set_result(None)
        else:
            released.set_exception(error)

    def _remove(
        self, state: overload_states.ServiceState, waiting: overload.Waiting
    ) -> None:
        state.queue.remove(waiting)
        state.holds.pop(waiting, None)
