"""Records what endpoints state in their responses about further requests.

Only a response that is to the attempt's request counts; see
``requests.Attempt.is_answered_by``. Status 421 may come from another endpoint
that has taken over the address, so nothing is concluded from it.
"""

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import records
from sardinewharf.gateway import messages
from sardinewharf.gateway import requests
from sardinewharf.gateway import settings as settings_lib

_UNAVAILABLE = 503
_TOO_MANY = 429
_MISDIRECTED = 421
# Longest pause for a first statement, in seconds. It is longer than a restart
# or a load of weights takes. An endpoint that needs more says so again within
# the stated time, and is believed then.
_MAX_PAUSE_S = 120.0
# Longest pause for a statement that was repeated, in seconds.
_MAX_REPEATED_PAUSE_S = 86_400.0


class NoticeRecorder:
    """Records and logs the statements of endpoints.

    Args:
        guarantees: Bounds that the gateway must keep.
        table: Receives the statements.
        log: Receives a record of each new statement.
    """

    def __init__(
        self,
        guarantees: settings_lib.Guarantees,
        table: fleet.NoticeTable,
        log: records.RecordSink,
    ):
        self._guarantees = guarantees
        self._table = table
        self._log = log

    def record(self, call: requests.Call, attempt: requests.Attempt) -> None:
        """Records the statements in the head of an attempt's response.

        Args:
            call: The request.
            attempt: The attempt, whose response is to the request.
        """
        head = attempt.head
        if head.status == _MISDIRECTED:
            return
        if head.is_leaving:
            self._record_departure(call, attempt)
        if head.retry_after_s and _turns_away(head):
            self._record_pause(call, attempt, head.retry_after_s)

    def handle_renewal(
        self, former: fleet.Endpoint, current: fleet.Endpoint
    ) -> None:
        """Keeps what a new incarnation stated before it was known."""
        recovery_s = self._guarantees.recovery_ms / 1000
        since = clocks.read_monotonic() - recovery_s
        self._table.pauses.carry_over(
            former.incarnation,
            current.incarnation,
            current.started_ms / 1000,
            since,
        )
        self._table.departures.carry_over(former, current, since)

    def _record_departure(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        now = clocks.read_monotonic()
        endpoint = attempt.target.endpoint
        drain_ms = self._guarantees.endpoint_drain_ms
        send_until = clocks.Deadline.after(drain_ms / 1000, now)
        if self._table.departures.record(endpoint, send_until, now):
            self._log.write(
                records.events.EndpointLeaving(
                    endpoint=endpoint.id,
                    request=call.request.headers.request_id,
                    status=attempt.head.status,
                    drain_ms=drain_ms,
                )
            )

    def _record_pause(
        self, call: requests.Call, attempt: requests.Attempt, asked_s: float
    ) -> None:
        now = clocks.read_monotonic()
        endpoint = attempt.target.endpoint
        pauses = self._table.pauses
        is_repeated = pauses.is_repeated(endpoint.incarnation, now)
        limit_s = _MAX_REPEATED_PAUSE_S if is_repeated else _MAX_PAUSE_S
        pause_s = min(asked_s, limit_s)
        until = clocks.Deadline.after(pause_s, now)
        stated_s = min(asked_s, _MAX_REPEATED_PAUSE_S)
        stated_until = clocks.Deadline.after(stated_s, now)
        if pauses.record(endpoint.incarnation, until, now, stated_until):
            self._log.write(
                records.events.EndpointPaused(
                    endpoint=endpoint.id,
                    request=call.request.headers.request_id,
                    status=attempt.head.status,
                    asked_s=asked_s,
                    pause_s=pause_s,
                )
            )


def _turns_away(head: messages.ResponseHead) -> bool:
    """Returns whether a response tells the gateway to send no requests.

    Status 429 may limit one caller only, unless the endpoint refused to run
    the request.
    """
    if head.status == _TOO_MANY:
        return head.is_not_run
    return head.status == _UNAVAILABLE
