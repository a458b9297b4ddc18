"""Records what endpoints state in their responses about further requests.

Only a response that is to the attempt's request counts; see
``requests.Attempt.is_answered_by``. Status 421 may come from another endpoint
that has taken over the address, so nothing is concluded from it.
"""

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import records
from sardinewharf.gateway import requests
from sardinewharf.gateway import settings as settings_lib

_MISDIRECTED = 421


class NoticeRecorder:
    """Records and logs the statements of endpoints.

    Args:
        guarantees: Bounds that the gateway must keep.
        departures: Endpoints that are leaving.
        log: Receives a record of each new statement.
    """

    def __init__(
        self,
        guarantees: settings_lib.Guarantees,
        departures: fleet.DepartureTable,
        log: records.RecordSink,
    ):
        self._guarantees = guarantees
        self._departures = departures
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

    def _record_departure(
        self, call: requests.Call, attempt: requests.Attempt
    ) -> None:
        now = clocks.read_monotonic()
        endpoint = attempt.target.endpoint
        drain_ms = self._guarantees.endpoint_drain_ms
        send_until = clocks.Deadline.after(drain_ms / 1000, now)
        if self._departures.record(endpoint, send_until, now):
            self._log.write(
                records.events.EndpointLeaving(
                    endpoint=endpoint.id,
                    request=call.request.headers.request_id,
                    status=attempt.head.status,
                    drain_ms=drain_ms,
                )
            )
