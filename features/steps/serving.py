"""Steps that send requests and check their responses."""

import http.client
import socket

from behave import step
from behave import then
from behave import when
import msgspec

from sardinewharf import standins
from sardinewharf import testbed

_RULES = "The label's standing artwork rules. " * 1000
_RULES_BLOCKS = 5


def make_headers(organisation="almagro", **extra):
    headers = {"Authorization": f"Bearer {testbed.KEYS[organisation]}"}
    headers.update({k.replace("_", "-"): v for k, v in extra.items()})
    return headers


def make_chat(text, tokens, stream=True, rules=""):
    messages = [{"role": "user", "content": text}]
    if rules:
        messages.insert(0, {"role": "system", "content": rules})
    body = {"model": "proof", "messages": messages, "max_tokens": tokens}
    return body | {"stream": stream}


def expect_text(body, weights="w1"):
    prompt = msgspec.json.encode(body["messages"])
    return standins.write_answer(prompt, weights, 0, body["max_tokens"])


def read_stream(response):
    """Returns the text of a stream and whether it has its end marker."""
    events = response.body.decode().split("\n\n")
    done = events[-2:] == ["data: [DONE]", ""]
    text = ""
    for event in events:
        data = event.removeprefix("data: ")
        if data.startswith("{") and '"choices"' in data:
            text += msgspec.json.decode(data)["choices"][0]["delta"]["content"]
    return text, done


def post_chat(context, daemon, body, organisation="almagro"):
    return testbed.call(
        context.deployment.processes[daemon].address,
        "POST",
        "/v1/chat/completions",
        msgspec.json.encode(body),
        make_headers(organisation),
    )


def stream_from(context, daemon, body, organisation="almagro"):
    try:
        response = post_chat(context, daemon, body, organisation)
    except (OSError, http.client.HTTPException) as error:
        # A stream whose connection broke is recorded too, so that the checks
        # see it.
        response = testbed.Response(0, {}, repr(error).encode())
    context.streams.append((body, response))
    return response


@when("a caller streams {tokens:d} tokens from {daemon}")
def stream(context, tokens, daemon):
    text = f"Is the sleeve right? {len(context.streams)}"
    stream_from(context, daemon, make_chat(text, tokens))


@when("a caller streams {tokens:d} tokens about shared rules from {daemon}")
def stream_shared(context, tokens, daemon):
    if context.streams:
        wait_for_cache_update(context, daemon)
    text = f"Question {len(context.streams)}"
    body = make_chat(text, tokens, rules=_RULES)
    stream_from(context, daemon, body)


def wait_for_cache_update(context, daemon):
    """Waits until a daemon knows that an engine caches the shared rules."""
    process = context.deployment.processes[daemon]

    def has_received():
        status = context.deployment.read_status(process)
        return status["believed_pieces"] >= _RULES_BLOCKS

    context.deployment.wait(
        has_received, f"{daemon} to learn where the rules are cached", 5.0
    )


@then("every stream is complete")
@then("the stream is complete")
def check_streams(context):
    for thread in context.threads:
        thread.join(40)
    assert context.streams
    for body, response in context.streams:
        assert response.status == 200, response
        text, done = read_stream(response)
        assert done, response.body[-300:]
        assert text == expect_text(body), (text, expect_text(body))


@when("a caller asks {daemon} for {tokens:d} tokens without streaming")
def ask(context, daemon, tokens):
    body = make_chat("Which catalogue number?", tokens, stream=False)
    stream_from(context, daemon, body)


@then("the response has the text that the engine generates")
def check_text(context):
    body, response = context.streams[-1]
    assert response.status == 200, response
    message = response.json()["choices"][0]["message"]
    assert message["content"] == expect_text(body)


@then("the shared rules were computed once")
def check_computed(context):
    runs = []
    for name in context.deployment.endpoints:
        if name.startswith("engine"):
            runs += context.deployment.read_record(name)["runs"]
    large = [run for run in runs if run["computed_tokens"] > 2000]
    assert len(large) == 1, large


@when("a caller calls {call} at {daemon}")
def call_application(context, call, daemon):
    address = context.deployment.processes[daemon].address
    context.request = f"call-{call}-{daemon}"
    extra = {"X_Request_Id": context.request}
    response = testbed.call(
        address,
        "POST",
        f"/v1/apps/orders/{call}",
        b'{"sku": 7}',
        make_headers(**extra),
    )
    context.responses.append(response)


@then("the call has run {count:d} time")
def check_runs(context, count):
    records = [
        context.deployment.read_record(name)["requests"]
        for name in context.deployment.endpoints
        if name.startswith("orders")
    ]
    runs = sum(record.get(context.request, 0) for record in records)
    assert runs == count, runs


_BAD_REQUESTS = {
    "malformed JSON": lambda: ("POST", "/v1/chat/completions", b"{", {}),
    "a wrong type": lambda: (
        "POST",
        "/v1/chat/completions",
        b'{"model": 7, "messages": []}',
        {},
    ),
    "no messages": lambda: (
        "POST",
        "/v1/chat/completions",
        b'{"model": "proof", "messages": []}',
        {},
    ),
    "an unknown model": lambda: (
        "POST",
        "/v1/chat/completions",
        msgspec.json.encode(make_chat("x", 1) | {"model": "other"}),
        {},
    ),
    "an oversize body": lambda: (
        "POST",
        "/v1/chat/completions",
        b" " * (9 << 20),
        {},
    ),
    "an oversize header": lambda: (
        "POST",
        "/v1/chat/completions",
        b"{}",
        {"X-Long": "x" * 40_000},
    ),
    "no key": lambda: (
        "POST",
        "/v1/chat/completions",
        b"{}",
        {"Authorization": ""},
    ),
    "a wrong key": lambda: (
        "POST",
        "/v1/chat/completions",
        b"{}",
        {"Authorization": "Bearer wrong"},
    ),
    "an unknown route": lambda: ("POST", "/v1/other", b"{}", {}),
    "a wrong method": lambda: ("GET", "/v1/chat/completions", b"", {}),
}


@when("a caller wrongly sends {what} to {daemon}")
def send_bad(context, what, daemon):
    method, path, body, headers = _BAD_REQUESTS[what]()
    address = context.deployment.processes[daemon].address
    response = testbed.call(
        address, method, path, body, make_headers() | headers
    )
    context.responses.append(response)


@then("the last response has status {status:d}")
def check_status(context, status):
    response = context.responses[-1]
    assert response.status == status, response


@then("the last response has status {status:d} and code {code}")
def check_code(context, status, code):
    response = context.responses[-1]
    assert response.status == status, response
    assert response.json()["error"]["code"] == code, response


@then("the last response names a remedy")
def check_remedy(context):
    error = context.responses[-1].json()["error"]
    assert len(error["message"].split(". ")) >= 2, error


@step("the daemons have logged no traceback")
def check_logs(context):
    for name in context.deployment.planned_daemons:
        text = context.deployment.processes[name].log.read_text()
        assert "Traceback" not in text, text[-3000:]


@when("a caller disconnects from {daemon} in the middle of a stream")
def leave_early(context, daemon):
    address = context.deployment.processes[daemon].address
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    body = msgspec.json.encode(make_chat("A long story", 2000))
    connection.request("POST", "/v1/chat/completions", body, make_headers())
    response = connection.getresponse()
    assert response.read(100)
    connection.sock.shutdown(socket.SHUT_RDWR)
    connection.close()


def read_gauge(context, daemon, name):
    address = context.deployment.processes[daemon].address
    text = testbed.call(address, "GET", "/metrics").body.decode()
    for line in text.splitlines():
        if line.startswith(f"sardinewharf_{name} "):
            return float(line.split()[-1])
    return None


@then("{daemon} has no request running")
def check_idle(context, daemon):
    context.deployment.wait(
        lambda: read_gauge(context, daemon, "running") == 0,
        f"{daemon} to have no request running",
        5.0,
    )


@then("the engines have no stream running")
def check_engines_idle(context):
    def idle():
        return all(
            context.deployment.read_record(name)["running"] == 0
            for name in context.deployment.endpoints
            if name.startswith("engine")
        )

    context.deployment.wait(idle, "the engines to have no stream running", 5.0)
