"""Sends control calls to the platform's model servers and cache stores."""

import asyncio

import msgspec

from sardinewharf import clocks
from sardinewharf import decoding
from sardinewharf import fleet
from sardinewharf import http1
from sardinewharf import logs
from sardinewharf import memory
from sardinewharf.gateway import control
from sardinewharf.platform import calls
from sardinewharf.platform import headers
from sardinewharf.platform import wire

_MAX_CONNECTIONS = 4
# Bounds of the wait that a long poll of cache events asks for. The lower one
# also limits how often a cache that does not respond is polled.
_MAX_WAIT_MS = 1_000
_MIN_WAIT_MS = 250
# The response to a long poll may arrive this long after the requested wait.
_RESPONSE_GRACE_S = 0.5
_WAIT_HEADER = b"wait-ms"
# Largest response to an order or with a report, and largest batch of cache
# events. Decoded, a batch takes several times as much.
_MAX_REPLY_BYTES = 65_536
_MAX_EVENTS_BYTES = 1_048_576
_SWITCH_MODES = {
    control.SwitchMode.FINISH: "queue",
    control.SwitchMode.CUT: "truncate",
    control.SwitchMode.KEEP: "retain",
}
_RESULTS_BY_STATUS = {
    200: control.OrderResult.HOLDS_ALREADY,
    202: control.OrderResult.ACCEPTED,
    409: control.OrderResult.CONFLICT,
    412: control.OrderResult.OLD_EPOCH,
}
# With these statuses, a server states that it did not accept the order.
_REFUSAL_STATUSES = frozenset({400, 421, 429, 503})
_log = logs.get_logger("engines")


class ServerControl(control.EngineControl):
    """Client for the control calls of model servers and cache stores.

    Args:
        account: Account of the memory that responses take; None for no limit
            on all of them together.
    """

    def __init__(self, account: memory.MemoryAccount | None = None):
        self._account = account
        self._pools: dict[str, http1.Pool] = {}

    async def order_weights(
        self,
        endpoint: fleet.Endpoint,
        order: control.WeightsOrder,
        deadline: clocks.Deadline,
    ) -> control.OrderResult:
        """Sends an order to load weights to an engine.

        The order's result is only its status, which a late response to another
        call could have as well.
        """
        body = msgspec.json.encode(
            wire.Order(
                op="version",
                model=order.model,
                version=order.version,
                switch_mode=_SWITCH_MODES[order.mode],
                holder=order.holder,
                fence=order.epoch,
                expected=order.after_orders,
            )
        )
        try:
            reply = await calls.call(
                self._find_pool(endpoint.address),
                b"POST",
                "/-/order",
                body,
                deadline,
                [(headers.EXPECT_ENDPOINT, endpoint.id.encode())],
                is_alone=True,
                max_bytes=_MAX_REPLY_BYTES,
            )
        except calls.CallError as error:
            if error.was_sent:
                return control.OrderResult.UNKNOWN
            return control.OrderResult.REFUSED
        if reply.status in _REFUSAL_STATUSES:
            return control.OrderResult.REFUSED
        return _RESULTS_BY_STATUS.get(reply.status, control.OrderResult.UNKNOWN)

    async def read_report(
        self, endpoint: fleet.Endpoint, deadline: clocks.Deadline
    ) -> control.EngineReport | None:
        """Returns an engine's report; None if it could not be read."""
        try:
            reply = await calls.call(
                self._find_pool(endpoint.address),
                b"GET",
                "/-/report",
                b"",
                deadline,
                [(headers.EXPECT_ENDPOINT, endpoint.id.encode())],
                max_bytes=_MAX_REPLY_BYTES,
            )
            if reply.status != 200:
                return None
            report = calls.decode(reply.body, wire.Report)
        except calls.CallError as error:
            _log.warning("No report from engine {}: {}.", endpoint.id, error)
            return None
        if report.born and report.born != endpoint.started_ms:
            # Another incarnation of the server has taken over the address.
            return None
        return control.EngineReport(
            {row.name: row.version for row in report.models},
            report.busy,
            report.sequence,
        )

    async def read_cache(
        self, address: str, since: int, until: clocks.Deadline
    ) -> control.CacheUpdate | None:
        """Waits for changes of a cache and returns them; None on failure."""
        left_ms = int(until.remaining() * 1000)
        wait_ms = min(_MAX_WAIT_MS, max(_MIN_WAIT_MS, left_ms))
        response_deadline = clocks.Deadline.after(
            wait_ms / 1000 + _RESPONSE_GRACE_S
        )
        try:
            reply = await calls.call(
                self._find_pool(address),
                b"GET",
                f"/-/kv-events?since={since}",
                b"",
                response_deadline,
                [(_WAIT_HEADER, b"%d" % wait_ms)],
                max_bytes=_MAX_EVENTS_BYTES,
            )
            if reply.status != 200:
                await asyncio.sleep(wait_ms / 1000)
                return None
            batch = calls.decode(reply.body, wire.Events)
        except calls.CallError as error:
            _log.debug("No events from cache {}: {}.", address, error)
            await asyncio.sleep(_MIN_WAIT_MS / 1000)
            return None
        return control.CacheUpdate(
            epoch=batch.epoch,
            next_since=batch.next,
            has_gap=batch.lost,
            events=_decode_events(address, batch.events),
        )

    def _find_pool(self, address: str) -> http1.Pool:
        if address not in self._pools:
            self._pools[address] = http1.Pool(
                address, _MAX_CONNECTIONS, self._account, memory.Use.CONTROL
            )
        return self._pools[address]


def _decode_events(
    address: str, events: list[msgspec.Raw]
) -> tuple[control.CacheEvent, ...]:
    """Returns the events that can be decoded.

    If the batch were refused for one that cannot, it would be read again and
    again.
    """
    decoded = []
    error = None
    for raw in events:
        try:
            event = decoding.decode_json(raw, wire.Event)
        except decoding.DecodeError as found:
            error = found
            continue
        decoded.append(
            control.CacheEvent(
                event.sign == "+", event.salt, event.part, event.tokens
            )
        )
    if error is not None:
        _log.warning(
            "{} of {} events of cache {} cannot be decoded: {}.",
            len(events) - len(decoded),
            len(events),
            address,
            error,
        )
    return tuple(decoded)
