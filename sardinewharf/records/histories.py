"""Puts together what the log lines of several VMs say of one request.

Examples:
    >>> lines = [
    ...     '{"time":1.0,"vm":"vm-1","event":"request_refused","request":"r",'
    ...     '"reason":"not_current","status":503,"detail":"no proof"}',
    ... ]
    >>> history = find_history("r", parse_lines(lines))
    >>> describe_cause(history)
    'vm-1 refused it (not_current): no proof.'
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json

# Lines of this long before a request's end may tell why it ended, in seconds.
_CONTEXT_WINDOW_S = 5.0
# A loss is noticed after the requests that suffered from it first, by at most
# this, in seconds.
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
        "gateway_fault",
    }
)
_ENDPOINT_EVENTS = frozenset(
    {
        "endpoint_seen",
        "endpoint_lost",
        "endpoint_closed",
        "endpoint_reopened",
        "order_given",
        "order_ended",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A log line.

    Attributes:
        time: Seconds since the epoch, by the clock of its VM.
        vm: Name of the VM.
        event: What happened.
        fields: All else.
    """

    time: float
    vm: str
    event: str
    fields: dict[str, object]

    def get(self, name: str) -> object:
        """Returns a field; an empty text if the line has none."""
        return self.fields.get(name, "")


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """What is known of one request.

    Attributes:
        request: Its id.
        lines: Its own lines, in order.
        context: Lines of the same VM and endpoints from shortly before, and
            the loss of the store that lasted, however long before.
        lost_lines: Lines that the VM's log lost around it.
    """

    request: str
    lines: tuple[Line, ...]
    context: tuple[Line, ...]
    lost_lines: int


def parse_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Returns the log lines among lines of text.

    What stands before a line's first brace is left out, so that logs that a
    collector has prefixed can be read as they are.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield Line(
                float(fields.pop("time")),
                str(fields.pop("vm")),
                str(fields.pop("event")),
                fields,
            )
        except (ValueError, KeyError, AttributeError, TypeError):
            # Other programs write to the same collector.
            continue


def find_history(request: str, lines: Iterable[Line]) -> History:
    """Returns what lines say of a request."""
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


def _find_outage(ordered: Iterable[Line], end: Line) -> Line | None:
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
    """Returns in one sentence why a request ended as it did."""
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
            f"{end.vm} cut the stream of {end.get('endpoint')} after"
            f" {end.get('total_ms')} ms: {end.get('detail') or 'no time left'}."
            + _describe_context(history, end)
        )
    if end.event == "caller_left":
        return (
            f"The caller left after {end.get('waited_ms')} ms while"
            f" {end.get('endpoint') or end.vm} had it."
            + _describe_failures(history)
            + _describe_wait(history)
        )
    if int(end.get("status") or 0) >= 400:
        return (
            f"{end.get('endpoint')} answered {end.get('status')}, which"
            f" {end.vm} passed on." + _describe_failures(history)
        )
    return (
        f"It was answered by {end.get('endpoint')}: first byte after"
        f" {end.get('first_ms')} ms, whole after {end.get('total_ms')} ms."
        + _describe_failures(history)
        + _describe_wait(history)
    )


def _explain_missing_end(history: History) -> str:
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
            f"{last.vm} began anew {restart.time - last.time:.1f} s after it"
            " had the request, without a word of stopping: it was killed."
        )
    if history.lost_lines:
        return f"Its end is among {history.lost_lines} lines that were lost."
    return f"It had not ended when the log of {last.vm} did."


def _explain_refusal(history: History, end: Line) -> str:
    text = f"{end.vm} refused it ({end.get('reason')}): {end.get('detail')}."
    if end.get("reason") == "not_current":
        return text + _describe_lost_contact(history, end)
    return text + _describe_failures(history) + _describe_context(history, end)


def _describe_lost_contact(history: History, end: Line) -> str:
    outage = _find_outage(history.context, end)
    if outage is not None:
        return (
            f" It was out of touch with the store ({outage.get('detail')}),"
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


def _format_offset(line: Line, end: Line) -> str:
    """Returns how long before or after a request's end a line was written."""
    seconds = end.time - line.time
    return f"{abs(seconds):.1f} s {'before' if seconds >= 0 else 'after'}"


def _describe_failures(history: History) -> str:
    failed = [line for line in history.lines if line.event == "attempt_failed"]
    return "".join(
        f" Attempt {line.get('attempt')} was {line.get('outcome')}"
        f" ({line.get('detail')})."
        for line in failed
    )


def _describe_wait(history: History) -> str:
    chosen = [line for line in history.lines if line.event == "endpoint_chosen"]
    if not chosen:
        return ""
    last = chosen[-1]
    return (
        f" When it was sent, {last.get('running')} requests ran there and"
        f" {last.get('prompt_tokens')} prompt tokens were in line."
    )


def _describe_context(history: History, end: Line) -> str:
    before = [
        line
        for line in history.context
        if line.time <= end.time + _DETECTION_DELAY_S
        and line.event
        in ("dependency_lost", "endpoint_closed", "endpoint_lost", "stopping")
    ]
    if not before:
        return ""
    last = before[-1]
    what = last.get("dependency") or last.get("endpoint") or last.vm
    return (
        f" {abs(end.time - last.time):.1f} s apart: {last.event} ({what}"
        f" {last.get('detail')}).".replace(" )", ")")
    )


def format_line(line: Line) -> str:
    """Returns a line for reading."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.time:.3f} {line.vm} {line.event} {fields}"
