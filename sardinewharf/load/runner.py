"""Sends the requests of a trace to daemons as an open-loop load generator.

Each request is sent at the time that the trace gives it, whether or not
earlier requests have been answered.

References:
    "Scaling a WebRTC signaling layer horizontally": a load tool that measures
    the lag of its own event loop, so that results taken while the tool itself
    was too slow are marked as unreliable.
"""

import asyncio
import collections
import dataclasses
import time

import aiohttp
import hdrh.histogram
import msgspec

from sardinewharf.load import traces

_HISTOGRAM_MAX_US = 120_000_000
_MAX_LOOP_LAG_S = 0.05
_LOOP_LAG_INTERVAL_S = 0.01
_DONE_EVENT = b"data: [DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Targets and parameters of a load run.

    Attributes:
        addresses: ``HOST:PORT`` of each daemon, used round robin.
        keys: API key of each organisation.
        model: Model that the requests name.
        max_tokens: Maximum length of each completion.
        block_bytes: Size of a prefix block in bytes of text.
        timeout_s: Timeout of a whole request.
    """

    addresses: tuple[str, ...]
    keys: dict[str, str]
    model: str = "proof"
    max_tokens: int = 16
    block_bytes: int = 8192
    timeout_s: float = 60.0


class LoadReport:
    """Results of a load run.

    Attributes:
        sent: Requests sent.
        completed: Requests whose stream arrived up to its end marker.
        statuses: Requests by HTTP status; 0 for a timeout or a broken
            connection.
        chunks: Stream chunks received.
        max_loop_lag_s: Longest lag of the tool's own event loop.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.completed = 0
        self.statuses = collections.Counter[int]()
        self.chunks = 0
        self.max_loop_lag_s = 0.0
        self._ttft_us = hdrh.histogram.HdrHistogram(1, _HISTOGRAM_MAX_US, 3)

    @property
    def fell_behind(self) -> bool:
        """Whether the tool itself was too slow for its results to be valid."""
        return self.max_loop_lag_s > _MAX_LOOP_LAG_S

    def record_first_token(self, seconds: float) -> None:
        """Records a time to first token (TTFT)."""
        self._ttft_us.record_value(max(1, int(seconds * 1e6)))

    def find_ttft_percentile(self, percentile: float) -> float:
        """Returns a percentile (0 to 100) of the TTFT, in seconds."""
        return self._ttft_us.get_value_at_percentile(percentile) / 1e6


async def run_load(
    settings: LoadSettings,
    trace: tuple[traces.Prompt, ...],
    trace_settings: traces.TraceSettings,
) -> LoadReport:
    """Sends every prompt of a trace and returns the report."""
    report = LoadReport()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        lag_task = asyncio.create_task(_measure_loop_lag(report))
        begun = time.monotonic()
        send_tasks = []
        for number, prompt in enumerate(trace):
            wait = begun + prompt.at - time.monotonic()
            await asyncio.sleep(max(0.0, wait))
            address = settings.addresses[number % len(settings.addresses)]
            work = _send(
                session, settings, address, prompt, trace_settings, report
            )
            send_tasks.append(asyncio.create_task(work))
        await asyncio.gather(*send_tasks)
        lag_task.cancel()
    return report


async def _send(
    session: aiohttp.ClientSession,
    settings: LoadSettings,
    address: str,
    prompt: traces.Prompt,
    trace_settings: traces.TraceSettings,
    report: LoadReport,
) -> None:
    body = {
        "model": settings.model,
        "messages": traces.make_messages(
            prompt, trace_settings, settings.block_bytes
        ),
        "max_tokens": settings.max_tokens,
        "stream": True,
    }
    key = settings.keys[prompt.organisation]
    headers = {"Authorization": f"Bearer {key}"}
    report.sent += 1
    begun = time.monotonic()
    try:
        async with session.post(
            f"http://{address}/v1/chat/completions",
            data=msgspec.json.encode(body),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=settings.timeout_s),
        ) as response:
            report.statuses[response.status] += 1
            if response.status == 200:
                await _read_stream(response, begun, report)
    except (TimeoutError, aiohttp.ClientError, OSError):
        report.statuses[0] += 1


async def _read_stream(
    response: aiohttp.ClientResponse, begun: float, report: LoadReport
) -> None:
    tail = b""
    is_first = True
    while data := await response.content.readany():
        if is_first:
            report.record_first_token(time.monotonic() - begun)
            is_first = False
        report.chunks += data.count(b"data: ")
        tail = (tail + data)[-64:]
    if _DONE_EVENT in tail:
        report.completed += 1


async def _measure_loop_lag(report: LoadReport) -> None:
    while True:
        before = time.monotonic()
        await asyncio.sleep(_LOOP_LAG_INTERVAL_S)
        lag = time.monotonic() - before - _LOOP_LAG_INTERVAL_S
        report.max_loop_lag_s = max(report.max_loop_lag_s, lag)
