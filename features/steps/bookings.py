"""Steps that send bookings and check how often each one ran.

A booking is an application call that must not be repeated. How often it ran is
read from the application servers' own records.
"""

import http.client
import threading
import time

from behave import step
from behave import then
from behave import when
import msgspec
from serving import make_headers

from sardinewharf import testbed

_RESPONSE_TIMEOUT_S = 25.0
_KEY_IN_USE = 422


def send(context, key, daemon, body=b'{"pallet": 7}', **extra):
    """Sends a booking and records its response, with status 0 if none came."""
    address = context.deployment.processes[daemon].address
    headers = make_headers(**extra)
    if key:
        headers["Idempotency-Key"] = key
    path = "/v1/apps/orders/book"
    try:
        response = testbed.call(
            address, "POST", path, body, headers, _RESPONSE_TIMEOUT_S
        )
    except (OSError, http.client.HTTPException):
        response = testbed.Response(0, {}, b"")
    if read_run_state(response) == "not_run" and response.status != _KEY_IN_USE:
        # The report must be true when it arrives and must stay true for this
        # request, which check_not_run() looks at later.
        context.reported_not_run.append((response, count_runs(context, key)))
    context.responses.append(response)
    return response


def start(context, key, daemon):
    thread = threading.Thread(target=send, args=(context, key, daemon))
    thread.start()
    context.threads.append(thread)


def count(context, kind, name):
    """Returns how often a key or a request ran, by the servers' records."""
    records = [
        context.deployment.read_record(server)[kind]
        for server in context.deployment.endpoints
        if server.startswith("orders")
    ]
    return sum(record.get(name, 0) for record in records)


def count_runs(context, key):
    return count(context, "keys", key)


def count_requests(context, request):
    return count(context, "requests", request)


def read_run_state(response):
    if response.status == 0:
        return ""
    return response.headers.get("x-run-state", "")


@step('a caller sends booking "{key}" to {daemon}')
def book(context, key, daemon):
    send(context, key, daemon)


@step('a caller sends booking "{key}" with another body to {daemon}')
def book_other(context, key, daemon):
    send(context, key, daemon, b'{"pallet": 8}')


@step('a caller sends a booking "{key}" of {size:d} bytes to {daemon}')
def book_large(context, key, size, daemon):
    send(context, key, daemon, msgspec.json.encode({"note": "x" * size}))


@step('a caller first sends booking "{key}" to {daemon}')
def book_first(context, key, daemon):
    send(context, key, daemon, Idempotency_Attempt="1")


@step("a caller sends a booking without a key to {daemon}")
def book_without_key(context, daemon):
    context.request = f"no-key-{daemon}"
    send(context, "", daemon, X_Request_Id=context.request)


@step('a caller keeps sending booking "{key}" to {daemon} until it succeeds')
def book_until(context, key, daemon):
    context.deployment.wait(
        lambda: send(context, key, daemon).status == 200,
        f"booking {key} to succeed",
    )


@step('a caller begins booking "{key}" at {daemon}')
def begin(context, key, daemon):
    start(context, key, daemon)


@when('callers send booking "{key}" to every daemon at the same moment')
def book_everywhere(context, key):
    for _ in range(2):
        for daemon in context.deployment.planned_daemons:
            start(context, key, daemon)
    join(context)


@step("every caller has a response")
def join(context):
    for thread in context.threads:
        thread.join(_RESPONSE_TIMEOUT_S)
        assert not thread.is_alive(), "a caller got no response in time"
    context.threads = []


@when('booking "{key}" is running')
def wait_running(context, key):
    context.deployment.wait(
        lambda: count_runs(context, key) > 0, f"booking {key} to run"
    )


@then('booking "{key}" has run once')
def check_once(context, key):
    join(context)
    runs = count_runs(context, key)
    assert runs == 1, (runs, context.responses)


@then('booking "{key}" has run {count:d} times')
def check_count(context, key, count):
    join(context)
    runs = count_runs(context, key)
    assert runs == count, (runs, context.responses)


@then('booking "{key}" has run at most once')
def check_at_most_once(context, key):
    join(context)
    context.key = key
    # A request still in transit can reach a server after the responses.
    time.sleep(0.5)
    runs = count_runs(context, key)
    assert runs <= 1, (runs, context.responses)


@then('every reported "not run" was true')
def check_not_run(context):
    for response, runs in context.reported_not_run:
        assert runs == 0, (response, runs)
        request = response.headers["x-request-id"]
        assert not count_requests(context, request), response


@then("every response is the same complete response")
def check_same(context):
    bodies = {response.body for response in context.responses}
    assert all(a.status == 200 for a in context.responses), context.responses
    assert len(bodies) == 1, bodies


@then("the last response reports not run")
def check_says_not_run(context):
    assert read_run_state(context.responses[-1]) == "not_run", (
        context.responses[-1]
    )


@then("the last response reports unknown")
def check_says_unknown(context):
    assert read_run_state(context.responses[-1]) == "unknown", (
        context.responses[-1]
    )
