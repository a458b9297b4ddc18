"""Explains whether the statement that a request has not run was true.

Callers take some statuses as the promise that their request has not run and
never will. Whether it was kept follows from the attempts that were logged.

Examples:
    >>> from sardinewharf.records import lines
    >>> end = lines.Line(1.0, "vm-1", "request_refused", {"status": 503})
    >>> judge_refusal([end], end)
    ' It was sent to no endpoint.'
"""

from collections.abc import Iterable
from collections.abc import Sequence

from sardinewharf.records import lines as lines_lib

# Statuses that callers take as the promise that nothing ran.
_PROMISES = frozenset({408, 421, 429, 503})


def judge_refusal(lines: Sequence[lines_lib.Line], end: lines_lib.Line) -> str:
    """Returns a sentence on whether a VM's refusal was true.

    Args:
        lines: The request's log lines, in order of time.
        end: The line that records the refusal.
    """
    if end.get("status") not in _PROMISES:
        return ""
    later = _find_later_attempt(lines)
    if later is not None:
        return (
            f" The refusal was not true: {later.vm} sent the same request to"
            f" {later.get('endpoint')} after a refusal."
        )
    sent = int(end.get("sends") or 0)
    if not sent:
        return " It was sent to no endpoint."
    refused = sum(line.get("outcome") == "not_run" for line in lines)
    if refused >= sent:
        return (
            " Each endpoint that it was sent to stated that it had not run it:"
            " the refusal is true if they are."
        )
    return (
        f" The refusal was not true: it was sent {sent} times, and only"
        f" {refused} of these are known not to have run."
    )


def _find_later_attempt(
    lines: Iterable[lines_lib.Line],
) -> lines_lib.Line | None:
    """Returns the first attempt after a refusal, if any."""
    is_refused = False
    for line in lines:
        if line.event == "request_refused":
            is_refused = is_refused or line.get("status") in _PROMISES
        elif line.event == "endpoint_chosen" and is_refused:
            return line
    return None


def judge_answer(end: lines_lib.Line) -> str:
    """Returns a sentence on whether a status that was forwarded is true.

    Args:
        end: The line that records the answer.
    """
    if end.get("status") not in _PROMISES or end.get("states_not_run"):
        return ""
    return (
        " The promise may be false: callers take this status to say that"
        " nothing ran, and the endpoint did not state that."
    )


def describe_attempts(lines: Iterable[lines_lib.Line]) -> str:
    """Returns a sentence on each failed attempt, and what it proves."""
    return "".join(
        f" Attempt {line.get('attempt')} {_describe_attempt(line)}."
        for line in lines
        if line.event == "attempt_failed"
    )


def _describe_attempt(line: lines_lib.Line) -> str:
    endpoint, status = line.get("endpoint"), line.get("status")
    where = "used before" if line.get("is_reused") else "not used before"
    match line.get("outcome"):
        case "not_run":
            return (
                f"was not run, as {endpoint} stated in its response to it"
                f" (status {status}, on a connection {where})"
            )
        case "mismatched":
            whose = line.get("answered") or "that it did not name"
            return (
                f"may have run: {endpoint} sent the response to another request"
                f" ({whose}; status {status}, on a connection {where}), which"
                " was not believed"
            )
        case "unconfirmed":
            return (
                f"may have run: {endpoint} responded with status {status} and"
                " did not state that it had not run it"
            )
        case "contradictory":
            return (
                f"may have run: {endpoint} responded with status {status} and"
                " the statement that it had not run it, which do not go"
                " together"
            )
    return f"was {line.get('outcome')} ({line.get('detail')})"
