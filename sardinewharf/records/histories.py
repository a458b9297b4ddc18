"""Collects the log lines of one request from several VMs and explains its end.

Examples:
    >>> lines = [
    ...     '{"time":1.0,"vm":"vm-1","event":"request_refused","request":"r",'
    ...     '"reason":"not_current","status":503,"detail":"store lost"}',
    ... ]
    >>> history = find_history("r", parse_lines(lines))
    >>> describe_cause(history)
    'vm-1 refused it (not_current): store lost.'
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json

from sardinewharf.records import lines as lines_lib
from sardinewharf.records import promises

# Lines of the VM and the endpoints that are at most this far from a request's
# own lines may explain how it ended.
_CONTEXT_WINDOW_S = 5.0
# The loss of a dependency is logged up to this long after the first requests
# that failed because of it.
_DETECTION_DELAY_S = 1.0
_STORE = "store"
_END_EVENTS = frozenset(
    {"request_answered", "request_refused", "answer_cut", "caller_left"}
)
_VM_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "dependency_lost",
        "dependency_regained",
        "history_lost",
        "configuration_applied",
        "replica_stale",
        "replica_confirmed",
        "gateway_fault",
        "quota_owner_silent",
        "quota_taken_over",
    }
)
_ENDPOINT_EVENTS = frozenset(
    {
        "endpoint_seen",
        "endpoint_lost",
        "endpoint_closed",
        "endpoint_reopened",
        "endpoint_leaving",
        "endpoint_paused",
        "endpoint_crashed",
        "order_given",
        "order_ended",
    }
)

# Events of which the last one before a request's end may be its cause.
_EXPLAINING_EVENTS = frozenset(
    {
        "dependency_lost",
        "endpoint_closed",
        "endpoint_lost",
        "endpoint_leaving",
        "endpoint_paused",
        "stopping",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The log lines that concern one request.

    Attributes:
        request: Id of the request.
        lines: The request's own lines, in order of time.
        context: Lines about the same VMs and endpoints from around that time,
            and the loss of the store if it lasted until the request's end,
            however long before it began.
        lost_lines: Number of lines that the VMs' logs lost around that time.
    """

    request: str
    lines: tuple[lines_lib.Line, ...]
    context: tuple[lines_lib.Line, ...]
    lost_lines: int


def parse_lines(texts: Iterable[str]) -> Iterator[lines_lib.Line]:
    """Parses the lines of text that are log lines, and skips all others.

    Text before the first brace of a line is ignored, since log collectors add
    prefixes.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield lines_lib.Line(
                float(fields.pop("time")),
                str(fields.pop("vm")),
                str(fields.pop("event")),
                fields,
            )
        except (ValueError, KeyError, AttributeError, TypeError):
            # Logs from a collector also hold lines of other programs.
            continue


def find_history(request: str, lines: Iterable[lines_lib.Line]) -> History:
    """Returns the lines that concern a request.

    Args:
        request: Id of the request.
        lines: Log lines of all VMs, in any order.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.get("request") == request]
    if not own:
        return History(request, (), (), 0)
    vms = {line.vm for line in own}
    endpoints = {line.get("endpoint") for line in own} - {""}
    first = own[0].time - _CONTEXT_WINDOW_S
    last = own[-1].time + _CONTEXT_WINDOW_S
    near = [
        line
        for line in ordered
        if first <= line.time <= last and line.vm in vms
    ]
    context = [
        line
        for line in near
        if line.event in _VM_EVENTS
        or (
            line.event in _ENDPOINT_EVENTS and line.get("endpoint") in endpoints
        )
    ]
    outage = _find_outage(ordered, own[-1])
    if outage is not None and outage not in context:
        context.insert(0, outage)
    lost = sum(int(line.get("dropped_before") or 0) for line in near)
    return History(request, tuple(own), tuple(context), lost)


def _find_outage(
    ordered: Iterable[lines_lib.Line], end: lines_lib.Line
) -> lines_lib.Line | None:
    """Returns how a VM lost the store, if it was lost at a request's end."""
    outage = None
    for line in ordered:
        if line.time > end.time + _DETECTION_DELAY_S:
            break
        if line.vm != end.vm or line.get("dependency") != _STORE:
            continue
        if line.event == "dependency_lost":
            outage = line
        elif line.time <= end.time:
            outage = None
    return outage


def describe_cause(history: History) -> str:
    """Returns sentences that explain why a request ended as it did."""
    if not history.lines:
        return "No line names this request: it reached none of these VMs."
    end = next(
        (line for line in reversed(history.lines) if line.event in _END_EVENTS),
        None,
    )
    if end is None:
        return _explain_missing_end(history)
    if end.event == "request_refused":
        return _explain_refusal(history, end)
    if end.event == "answer_cut":
        return (
            f"{end.vm} aborted the response of {end.get('endpoint')} after"
            f" {end.get('total_ms')} ms: {end.get('detail') or 'no time left'}."
            + _describe_context(history, end)
        )
    if end.event == "caller_left":
        return (
            f"The caller disconnected after {end.get('waited_ms')} ms while"
            f" {end.get('endpoint') or end.vm} was handling it."
            + promises.describe_attempts(history.lines)
            + _describe_wait(history)
        )
    if int(end.get("status") or 0) >= 400:
        return (
            f"{end.get('endpoint')} responded with {end.get('status')}, which"
            f" {end.vm} forwarded."
            + promises.judge_answer(end)
            + promises.describe_attempts(history.lines)
        )
    return (
        f"{end.get('endpoint')} responded to it: first byte after"
        f" {end.get('first_ms')} ms, complete after {end.get('total_ms')} ms."
        + promises.describe_attempts(history.lines)
        + _describe_wait(history)
    )


def _explain_missing_end(history: History) -> str:
    """Explains why the logs hold no end of the request."""
    last = history.lines[-1]
    restart = next(
        (
            line
            for line in history.context
            if line.event == "started" and line.time > last.time
        ),
        None,
    )
    if restart is not None:
        return (
            f"{last.vm} restarted {restart.time - last.time:.1f} s after its"
            " last line on the request, without logging a stop: it was killed."
        )
    if history.lost_lines:
        return f"Its end is among {history.lost_lines} lines that were lost."
    return f"The log of {last.vm} ends before the request does."


def _explain_refusal(history: History, end: lines_lib.Line) -> str:
    text = f"{end.vm} refused it ({end.get('reason')}): {end.get('detail')}."
    if end.get("reason") == "not_current":
        return text + _describe_lost_contact(history, end)
    if end.get("reason") == "over_quota":
        return (
            text
            + promises.judge_refusal(history.lines, end)
            + _describe_quota_owner(history, end)
        )
    return (
        text
        + promises.judge_refusal(history.lines, end)
        + promises.describe_attempts(history.lines)
        + _describe_context(history, end)
    )


def _describe_lost_contact(history: History, end: lines_lib.Line) -> str:
    """Describes why the VM's replica of the store was not current."""
    outage = _find_outage(history.context, end)
    if outage is not None:
        return (
            f" It had lost contact with the store ({outage.get('detail')}),"
            f" noticed {_format_offset(outage, end)}."
        )
    starts = [
        line
        for line in history.context
        if line.event == "started" and line.time <= end.time
    ]
    if starts:
        return f" It had started {_format_offset(starts[-1], end)}."
    return _describe_context(history, end)


def _describe_quota_owner(history: History, end: lines_lib.Line) -> str:
    """Describes which gateways did not respond to asks for tokens before."""
    silent = [
        line
        for line in history.context
        if line.event == "quota_owner_silent" and line.time <= end.time
    ]
    if not silent:
        return ""
    last = silent[-1]
    return (
        f" {last.get('gateway')} had not responded to an ask for tokens,"
        f" noticed {_format_offset(last, end)}."
    )


def _format_offset(line: lines_lib.Line, end: lines_lib.Line) -> str:
    """Returns how long before or after a request's end a line was written."""
    seconds = end.time - line.time
    return f"{abs(seconds):.1f} s {'before' if seconds >= 0 else 'after'}"


def _describe_wait(history: History) -> str:
    """Describes the load of the endpoint that the request was last sent to."""
    chosen = [line for line in history.lines if line.event == "endpoint_chosen"]
    if not chosen:
        return ""
    last = chosen[-1]
    return _describe_hold(last) + (
        f" When it was sent, {last.get('running')} requests were running there"
        f" and {last.get('prompt_tokens')} prompt tokens were queued."
    )


def _describe_hold(chosen: lines_lib.Line) -> str:
    """Describes how long a request waited for room; empty if it did not."""
    held_ms = int(chosen.get("held_ms") or 0)
    if not held_ms:
        return ""
    return (
        f" It waited {held_ms} ms at {chosen.vm} for room; then the engines had"
        f" {chosen.get('places')} places."
    )


def _describe_context(history: History, end: lines_lib.Line) -> str:
    """Describes the last event around the end that may explain it."""
    before = [
        line
        for line in history.context
        if line.time <= end.time + _DETECTION_DELAY_S
        and line.event in _EXPLAINING_EVENTS
    ]
    if not before:
        return ""
    last = before[-1]
    what = last.get("dependency") or last.get("endpoint") or last.vm
    return (
        f" Logged {abs(end.time - last.time):.1f} s apart: {last.event} ({what}"
        f" {last.get('detail')}).".replace(" )", ")")
    )


def format_line(line: lines_lib.Line) -> str:
    """Returns a line as human-readable text."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.time:.3f} {line.vm} {line.event} {fields}"
