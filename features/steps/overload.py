"""Steps that overload a daemon and check refusals and fairness."""

import threading
import time

from behave import given
from behave import then
from behave import when
import msgspec
from serving import expect_text
from serving import make_chat
from serving import make_headers
from serving import read_stream
from streams import join_streams
from streams import list_engines
from streams import start_thread

from sardinewharf import testbed


def send(context, daemon, number, tokens, organisation="almagro", **extra):
    """Sends a request and records its response, start and end."""
    address = context.deployment.processes[daemon].address
    body = make_chat(f"{context.scenario.line} load {number}", tokens)
    headers = make_headers(organisation, **extra)
    begun = time.monotonic()
    response = testbed.call(
        address,
        "POST",
        "/v1/chat/completions",
        msgspec.json.encode(body),
        headers,
        40.0,
    )
    context.sent.append((body, response, begun, time.monotonic()))
    return response


@when(
    "callers send {count:d} requests of {tokens:d} tokens to {daemon} at once"
)
def send_at_once(context, count, tokens, daemon):
    context.sent = []
    for number in range(count):
        start_thread(context, send, context, daemon, number, tokens)
    if tokens < 100:
        join_streams(context)


@then("each is answered completely or refused as not run")
def check_each(context):
    for body, response, _, _ in context.sent:
        if response.status == 200:
            text, done = read_stream(response)
            assert done, response
            assert text == expect_text(body)
        else:
            assert response.status == 503, response
            assert response.headers["x-run-state"] == "not_run", response
            assert int(response.headers["retry-after"]) >= 1


def list_refused(context):
    return [item for item in context.sent if item[1].status != 200]


@then("some were refused")
def check_some_refused(context):
    assert list_refused(context)


@then("every refusal came within {seconds:d} s")
def check_early(context, seconds):
    waits = [end - begun for _, _, begun, end in list_refused(context)]
    assert max(waits) <= seconds, max(waits)


@then("no refused request has run at any engine")
def check_refused_not_run(context):
    ran = {
        run["request"]
        for name in list_engines(context)
        for run in context.deployment.read_record(name)["runs"]
    }
    reported = {
        a.headers["x-request-id"] for _, a, _, _ in list_refused(context)
    }
    assert not reported & ran


@when(
    "two organisations keep {count:d} requests in flight at {daemon}"
    " for {seconds:d} s"
)
def keep_busy(context, count, daemon, seconds):
    context.sent = []
    context.served = {"almagro": 0, "traversa": 0}
    end = time.monotonic() + seconds
    lock = threading.Lock()

    def work(organisation, number):
        while time.monotonic() < end:
            response = send(context, daemon, number, 10, organisation)
            if response.status == 200:
                with lock:
                    context.served[organisation] += 1
            else:
                time.sleep(0.02)

    for organisation in context.served:
        for number in range(count // 2):
            start_thread(context, work, organisation, number)
    join_streams(context)


@then("traversa got from {least:d} to {most:d} times what almagro got")
def check_shares(context, least, most):
    served = context.served
    ratio = served["traversa"] / max(1, served["almagro"])
    assert least <= ratio <= most, served


@when("an urgent caller sends a request to {daemon}")
def send_urgent(context, daemon):
    context.deployment.wait(
        lambda: read_waiting(context, daemon) >= 6, "requests to be queued"
    )
    send(context, daemon, "urgent", 5, X_Application="proofing")
    context.urgent = context.sent[-1]
    join_streams(context)


def read_waiting(context, daemon):
    address = context.deployment.processes[daemon].address
    text = testbed.call(address, "GET", "/metrics").body.decode()
    found = [
        line.split()[-1]
        for line in text.splitlines()
        if line.startswith("sardinewharf_waiting ")
    ]
    return float(found[0]) if found else 0.0


@then("the urgent request was answered before the last {count:d} of the others")
def check_urgent(context, count):
    assert context.urgent[1].status == 200, context.urgent
    others = [
        end
        for item in context.sent
        if item is not context.urgent and item[1].status == 200
        for end in [item[3]]
    ]
    later = [end for end in others if end > context.urgent[3]]
    assert len(later) >= count, (len(later), len(others))


@when(
    "callers send {count:d} requests of {tokens:d} tokens in turn to {daemon}"
)
def send_one_by_one(context, count, tokens, daemon):
    context.sent = []
    for number in range(count):
        send(context, daemon, number, tokens)


@then("the engines refused at most {count:d} requests")
def check_refusals(context, count):
    total = sum(
        context.deployment.read_record(name)["refused"]
        for name in list_engines(context)
    )
    assert total <= count, total


@when("{organisation} sends {count:d} requests to {daemon} above its rate")
def send_above_rate(context, organisation, count, daemon):
    context.sent = []
    for number in range(count):
        send(context, daemon, number, 1, organisation)


@then("some responses have status {status:d} and a Retry-After header")
def check_rate_limited(context, status):
    found = [a for _, a, _, _ in context.sent if a.status == status]
    assert found
    assert all(int(a.headers["retry-after"]) >= 1 for a in found)


@given("every engine's queue is {seconds:d} s long")
def fill_queues(context, seconds):
    for name in list_engines(context):
        context.deployment.set_faults(name, queued_seconds=seconds)

    def known():
        loads = [
            testbed.get_json(
                context.deployment.processes[n].address, "/v1/load"
            )
            for n in list_engines(context)
        ]
        return all(load["queued_tokens"] > 0 for load in loads)

    context.deployment.wait(known, "the engines to report their queues")
    # Leaves every daemon time to poll the load of every engine.
    time.sleep(1.0)


@when("an application with a deadline of 6 s sends a request to {daemon}")
def send_with_deadline(context, daemon):
    context.sent = []
    send(context, daemon, "late", 5, X_Application="orders")
    context.responses.append(context.sent[-1][1])


@then("the last response came within {seconds:d} s")
def check_soon(context, seconds):
    _, _, begun, end = context.sent[-1]
    assert end - begun <= seconds, end - begun
