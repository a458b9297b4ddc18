"""Checks what is said of a refusal's truth from the lines of its request."""

from sardinewharf.records import histories
from sardinewharf.records.tests import test_histories


def explain(*rows: tuple[str, dict]) -> str:
    return test_histories.explain(
        *(
            (float(at), event, {"request": "r"} | fields)
            for at, (event, fields) in enumerate(rows)
        )
    )


def make_failure(outcome: str, **fields) -> tuple[str, dict]:
    return (
        "attempt_failed",
        {"attempt": 1, "endpoint": "e1", "outcome": outcome, "status": 503}
        | fields,
    )


def make_refusal(status: int, sends: int) -> tuple[str, dict]:
    return (
        "request_refused",
        {"reason": "x", "status": status, "detail": "d", "sends": sends},
    )


def test_a_true_refusal_is_told_from_one_after_a_run():
    """Guards against a cause that leaves open whether the promise was kept."""
    true = explain(make_failure("not_run"), make_refusal(503, sends=1))
    assert "stated that it had not run it: the refusal is true" in true
    assert "was not run, as e1 stated in its response to it" in true
    false = explain(
        make_failure("not_run"),
        make_failure("lost", detail="e2: reset"),
        make_refusal(503, sends=2),
    )
    assert "The refusal was not true" in false
    assert "sent 2 times, and only 1" in false
    assert "sent to no endpoint" in explain(make_refusal(503, sends=0))


def test_a_request_that_is_sent_after_its_refusal_is_found():
    """Guards against a refusal that looks true, but was broken later."""
    chosen = ("endpoint_chosen", {"endpoint": "e2"})
    cause = explain(
        make_refusal(503, sends=0), chosen, make_refusal(503, sends=0)
    )
    assert "vm-1 sent the same request to e2 after a refusal" in cause


def test_the_response_to_another_request_is_named():
    """Guards against a disbelieved refusal that looks like a lost response."""
    cause = explain(
        make_failure("mismatched", answered="r0", is_reused=True),
        make_refusal(502, sends=1),
    )
    assert "the response to another request (r0; status 503" in cause
    assert "used before), which was not believed" in cause
    assert "The refusal" not in cause


def test_a_promise_that_the_endpoint_did_not_make_is_named():
    """Guards against a status that was forwarded and read as a promise."""
    answer = {"status": 503, "endpoint": "e1", "sends": 1}
    doubtful = explain(("request_answered", answer))
    assert "The promise may be false" in doubtful
    stated = explain(("request_answered", answer | {"states_not_run": True}))
    assert "The promise" not in stated
    replaced = explain(make_failure("unconfirmed"), make_refusal(502, sends=1))
    assert "503 and did not state that it had not run it" in replaced


def test_other_statuses_promise_nothing():
    cause = explain(("request_answered", {"status": 500, "endpoint": "e1"}))
    assert "promise" not in cause
    assert histories.describe_cause(
        histories.find_history("other", [])
    ).startswith("No line")
