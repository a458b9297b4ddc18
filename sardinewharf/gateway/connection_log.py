"""Logs and counts connections that are closed with a request on them."""

from sardinewharf import clocks
from sardinewharf import records
from sardinewharf.gateway import messages
from sardinewharf.gateway import metrics as metrics_lib
from sardinewharf.http1 import closes


class ConnectionLog:
    """Logs and counts connections that the servers of a gateway close.

    Args:
        header_codec: Decodes the headers of the requests.
        log: Receives the records.
        metrics: Counts the connections.
    """

    def __init__(
        self,
        header_codec: messages.HeaderCodec,
        log: records.RecordSink,
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._header_codec = header_codec
        self._log = log
        self._metrics = metrics

    def record_close(self, listener: str, report: closes.CloseReport) -> None:
        """Logs and counts a connection that was closed with a request on it."""
        self._metrics.count_close(listener, report.reason.value)
        try:
            request_id = self._header_codec.read_request(
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
