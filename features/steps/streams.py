"""Steps that check streams while engines, links and daemons fail."""

import http.client
import re
import socket
import threading
import time

from behave import given
from behave import step
from behave import then
from behave import when
from faults import list_processes
import msgspec
from serving import expect_text
from serving import make_chat
from serving import post_chat
from serving import read_stream
from serving import stream_from

from sardinewharf import testbed

_RESPONSE_TIMEOUT_S = 40.0


def list_engines(context):
    return [n for n in context.deployment.endpoints if n.startswith("engine")]


def start_thread(context, work, *arguments):
    thread = threading.Thread(target=work, args=arguments)
    thread.start()
    context.threads.append(thread)


def begin_stream(context, daemon, text, tokens):
    start_thread(context, stream_from, context, daemon, make_chat(text, tokens))


@given("every engine's link has {field} set to {value:d}")
def set_engine_links(context, field, value):
    for name in list_engines(context):
        context.deployment.set_link_faults(name, **{field: value})


@given("every engine has {field} set to {value:d}")
def set_engine_faults(context, field, value):
    value = bool(value) if field == "refuse" else value
    for name in list_engines(context):
        context.deployment.set_faults(name, **{field: value})


@given(
    "the responses of {count:d} pairs of connections are swapped"
    " at every {kind}"
)
def swap_responses(context, count, kind):
    prefix = "engine" if kind == "engine" else "orders"
    for name in context.deployment.endpoints:
        if name.startswith(prefix):
            context.deployment.set_link_faults(name, cross_answers=count)


@given("the link of {name} is half open")
def half_open(context, name):
    context.deployment.set_link_faults(name, half_open=True)


@given("the VM list is down")
def stop_vms(context):
    context.deployment.set_faults("vms", outage=True)


@when("the faults are lifted after {seconds:d} s")
def lift_later(context, seconds):
    time.sleep(seconds)
    for link in context.deployment.links:
        context.deployment.set_link_faults(link)


@when("callers begin {count:d} streams of {tokens:d} tokens at every daemon")
def begin_streams(context, count, tokens):
    for number in range(count):
        for daemon in context.deployment.planned_daemons:
            begin_stream(context, daemon, f"Story {number} {daemon}", tokens)


@when("the engines have streams running")
def wait_running(context):
    def running():
        return all(
            context.deployment.read_record(name)["running"] > 0
            for name in list_engines(context)
            if context.deployment.processes[name].is_live
        )

    context.deployment.wait(running, "the engines to have streams running")


@when("the engines are started again")
def restart_engines(context):
    for name in list_engines(context):
        context.deployment.restart(name)
    context.deployment.wait_for_live_endpoints()


@then("every stream is complete or ends in an explicit error")
def check_whole_or_error(context):
    join_streams(context)
    for body, response in context.streams:
        if response.status != 200:
            assert response.json()["error"]["code"], response
            continue
        text, done = read_stream(response)
        if done:
            assert text == expect_text(body)
            continue
        last = response.body.decode().rstrip().split("\n\n")[-1]
        assert '"error"' in last, last
        assert expect_text(body).startswith(text)


def join_streams(context):
    for thread in context.threads:
        thread.join(_RESPONSE_TIMEOUT_S)
        assert not thread.is_alive(), "a caller got no response in time"
    context.threads = []


@then("every response echoes its own request")
def check_echo(context):
    assert context.responses
    for response in context.responses:
        if response.status == 200:
            assert response.json()["echo"] == '{"pallet": 7}', response
        else:
            state = response.headers["x-run-state"]
            assert state in ("unknown", "not_run"), response


_RULES = "The same rules for everyone. " * 1500


@when("{organisation} streams {tokens:d} tokens about the same rules")
def stream_rules(context, organisation, tokens):
    text = f"Question {len(context.streams)}"
    body = make_chat(text, tokens, rules=f"{context.scenario.line} {_RULES}")
    stream_from(context, "daemon-1", body, organisation)


@then("the rules were computed {count:d} times")
@then("the rules were computed {count:d} time")
def check_rules(context, count):
    runs = [
        run
        for name in list_engines(context)
        for run in context.deployment.read_record(name)["runs"]
        if run["computed_tokens"] > 8000
    ]
    assert len(runs) == count, runs


@then("the last decision expected {count:d} cached blocks")
def check_decision(context, count):
    text = context.deployment.processes["daemon-1"].log.read_text()
    counts = re.findall(r"cached_pieces=(\d+)", text)
    assert int(counts[-1]) == count, counts[-3:]


@when("callers keep streaming while the weights become {weights}")
def change_weights(context, weights):
    begin_streams(context, 4, 60)
    document = testbed.write_sample(weights, deadline=6.0)
    context.version = context.deployment.apply(document)
    for number in range(6):
        begin_stream(context, "daemon-1", f"Between {number}", 60)
        time.sleep(0.3)

    def loaded():
        return all(
            context.deployment.read_record(name)["weights"]["proof"] == weights
            for name in list_engines(context)
        )

    context.deployment.wait(loaded, f"every engine to have weights {weights}")
    context.deployment.wait_ready(context.version)
    join_streams(context)


@then("every stream is complete under one weights version")
def check_versions(context):
    for body, response in context.streams:
        text, done = read_stream(response)
        assert done, response
        texts = [expect_text(body, weights) for weights in ("w1", "w2")]
        assert text in texts, (text, texts)


@then("a stream begun now has weights {weights}")
def check_new_weights(context, weights):
    body = make_chat("After the change", 20)
    response = stream_from(context, "daemon-2", body)
    text, _ = read_stream(response)
    assert text == expect_text(body, weights), text


@then("no stream used cached blocks of other weights")
def check_no_stale_blocks(context):
    for name in list_engines(context):
        weights_by_block = {}
        for run in context.deployment.read_record(name)["runs"]:
            used = run["pieces"][: run["cached_pieces"]]
            for block in used:
                owner = weights_by_block.get(block, run["weights"])
                assert owner == run["weights"], run
            for block in run["pieces"]:
                weights_by_block.setdefault(block, run["weights"])


@when("{who} is started again")
def start_again(context, who):
    for name in list_processes(context, who):
        context.deployment.start_daemon(name)
    context.started = time.monotonic()


def serves(context, daemon):
    body = make_chat("Are you there?", 3)
    try:
        response = post_chat(context, daemon, body)
    except (OSError, http.client.HTTPException):
        return False
    text, done = read_stream(response)
    expected = [expect_text(body, w) for w in context.confirmed_weights]
    return response.status == 200 and done and text in expected


@then("{daemon} serves within {seconds:d} s")
def check_serves(context, daemon, seconds):
    remaining_s = seconds - (time.monotonic() - context.started)
    for name in list_processes(context, daemon):
        context.deployment.wait(
            lambda name=name: serves(context, name),
            f"{name} to serve",
            remaining_s,
        )


@when("callers keep streaming for {seconds:d} s while {name} leaves")
def stream_while_leaving(context, seconds, name):
    address = context.deployment.processes[name].address
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        for daemon in context.deployment.planned_daemons:
            begin_stream(context, daemon, f"Leaving {number} {daemon}", 5)
        number += 1
        if number == 4:
            testbed.call(address, "POST", "/v1/leave")
        time.sleep(0.1)
    join_streams(context)


@then("{name} got no new work {seconds:d} s after it began to leave")
def check_no_work(context, name, seconds):
    record = context.deployment.read_record(name)
    assert record["leaving"]
    late = [at for at in record["late_arrivals"] if at > seconds]
    assert not late, late
    context.deployment.restart(name)


@when("{daemon} is asked to stop")
def request_stop(context, daemon):
    context.deployment.processes[daemon].popen.terminate()


@when(
    "callers keep sending to {daemon} while the load balancer has not noticed"
)
def send_while_draining(context, daemon):
    end = time.monotonic() + 0.4
    number = 0
    while time.monotonic() < end:
        begin_stream(context, daemon, f"Drain {number}", 50)
        number += 1
        time.sleep(0.05)
    join_streams(context)


@then("{daemon} has exited by itself")
def check_ended(context, daemon):
    process = context.deployment.processes[daemon]
    context.deployment.wait(lambda: not process.is_live, f"{daemon} to end")
    assert process.popen.returncode == 0, process.popen.returncode


@when(
    "a caller sends the crashing request {count:d} times to the daemons in turn"
)
def send_crashing(context, count):
    names = context.deployment.planned_daemons
    body = make_chat("CRASH", 5)
    for number in range(count):
        daemon = names[number % len(names)]
        context.responses.append(post_chat(context, daemon, body))
    join_streams(context)


@when(
    "callers send {count:d} requests with the crashing message to the daemons"
    " in turn"
)
def send_crashing_message(context, count):
    names = context.deployment.planned_daemons
    for number in range(count):
        body = make_chat(f"Question {number}", 5)
        body["messages"].insert(0, {"role": "user", "content": "CRASH"})
        daemon = names[number % len(names)]
        context.responses.append(post_chat(context, daemon, body))
    join_streams(context)


@then("at most {count:d} engines have crashed")
def check_crashed(context, count):
    crashed = [
        name
        for name in list_engines(context)
        if not context.deployment.processes[name].is_live
    ]
    assert len(crashed) <= count, crashed


@when("a caller reads nothing of a long stream from {daemon}")
def open_unread_stream(context, daemon):
    host, port = context.deployment.processes[daemon].address.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)))
    body = msgspec.json.encode(make_chat("Endless", 5000))
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {testbed.KEYS['almagro']}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    connection.sendall(head.encode() + body)
    context.add_cleanup(connection.close)


@step("every caller of a stream has a response")
def join_step(context):
    join_streams(context)
