"""Steps that change the configuration and the weights as operators do."""

import pathlib
import subprocess
import sys
import tempfile
import threading
import time

from behave import given
from behave import step
from behave import then
from behave import when

from sardinewharf import testbed

_HEADERS = {"Authorization": f"Bearer {testbed.OPERATOR_TOKEN}"}


def call_admin(context, daemon, method, path, body=b"", headers=_HEADERS):
    address = context.deployment.processes[daemon].admin
    path = f"/admin/v1/{path}"
    return testbed.call(address, method, path, body, headers)


def write_document(context, weights):
    return testbed.write_sample(
        weights, deadline=6.0, min_engines=3 if "rollout" in context.tags else 1
    )


def make_plan(context, weights, daemon):
    body = write_document(context, weights).encode()
    response = call_admin(context, daemon, "POST", "plan", body)
    assert response.status == 200, response
    context.weights_by_plan[response.body] = weights
    return response


def send_confirm(context, plan, daemon):
    """Confirms a plan and records its weights if it comes into force."""
    response = call_admin(context, daemon, "POST", "confirm", plan.body)
    context.responses.append(response)
    if response.status == 200:
        context.confirmed_weights.add(context.weights_by_plan[plan.body])
    return response


@step("an operator plans weights {weights} at {daemon}")
def plan(context, weights, daemon):
    context.plan = make_plan(context, weights, daemon)


@step("the plan is confirmed at {daemon}")
def confirm(context, daemon):
    response = send_confirm(context, context.plan, daemon)
    if response.status == 200:
        context.version = response.json()["version"]


@step("the same plan is confirmed at {first} and again at {second}")
def confirm_twice(context, first, second):
    confirm(context, first)
    confirm(context, second)


@step("the confirm is sent to {daemon} until it succeeds")
def confirm_until(context, daemon):
    def succeeded():
        confirm(context, daemon)
        return context.responses[-1].status == 200

    context.deployment.wait(succeeded, "the confirm to succeed")


def run_tool(context, *arguments):
    command = [sys.executable, "-m", "sardinewharf.cli.program", *arguments]
    environment = {"SARDINEWHARF_TOKEN": testbed.OPERATOR_TOKEN}
    done = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=30
    )
    context.tool = done
    assert done.returncode == 0, done
    return done


@when("an operator plans weights {weights} with the tool at {daemon}")
def plan_with_tool(context, weights, daemon):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name)
    (path / "wanted.toml").write_text(write_document(context, weights))
    context.plan_file = str(path / "plan.json")
    context.plan_weights = weights
    address = context.deployment.processes[daemon].admin
    run_tool(
        context,
        "plan",
        str(path / "wanted.toml"),
        "--out",
        context.plan_file,
        "--daemon",
        address,
    )


@when("the operator confirms with the tool at {daemon}")
def confirm_with_tool(context, daemon):
    address = context.deployment.processes[daemon].admin
    run_tool(context, "confirm", context.plan_file, "--daemon", address)
    context.confirmed_weights.add(context.plan_weights)
    context.version += 1


@then('the tool printed "{text}"')
def check_printed(context, text):
    assert text in context.tool.stdout, context.tool.stdout


@then("every daemon still has the previous version")
def check_unchanged(context):
    versions = [
        context.deployment.read_version(d) for d in context.deployment.daemons
    ]
    assert set(versions) == {context.version}, versions


@then("every daemon has the next version within {seconds:d} s")
def check_version(context, seconds):
    for daemon in context.deployment.daemons:
        context.deployment.wait(
            lambda daemon=daemon: (
                context.deployment.read_version(daemon) >= context.version
            ),
            f"{daemon.name} to have version {context.version}",
            seconds,
        )


@when("two operators plan on the same version")
def plan_both(context):
    context.plans = [
        make_plan(context, "race1", "daemon-1"),
        make_plan(context, "race2", "daemon-2"),
    ]


@when("both confirm")
def confirm_both(context):
    daemons = ("daemon-1", "daemon-2")
    threads = [
        threading.Thread(target=send_confirm, args=(context, *pair))
        for pair in zip(context.plans, daemons, strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    context.version += 1


@then("one is refused as stale and its error names the other's change")
def check_stale(context):
    statuses = sorted(response.status for response in context.responses)
    assert statuses == [200, 409], context.responses
    stale = next(r for r in context.responses if r.status == 409)
    error = stale.json()["error"]
    assert error["code"] == "stale_plan"
    assert "models/proof weights" in error["message"], error


@then("both responses name the same version")
def check_same_version(context):
    versions = [response.json()["version"] for response in context.responses]
    assert len(set(versions)) == 1, versions


@then("the history lists the plan once")
def check_history(context):
    name = context.plan.json()["plan"]
    history = call_admin(context, "daemon-1", "GET", "history").json()
    commits = [commit for commit in history if commit["plan"] == name]
    assert len(commits) == 1, history


@then("the response says that nothing was changed")
def check_nothing_changed(context):
    response = context.responses[-1]
    assert response.status == 503, response
    assert "Nothing was changed" in response.json()["error"]["message"]


@then("no daemon ever reverted to an older version")
def check_monotone(context):
    for name in context.deployment.planned_daemons:
        log = context.deployment.processes[name].log.read_text()
        versions = [
            int(line.split("ersion ")[1].split()[0])
            for line in log.splitlines()
            if "Took version" in line or "is in force" in line
        ]
        assert versions == sorted(versions), (name, versions)


@when("a caller asks for the status with the key of {organisation}")
def ask_with_key(context, organisation):
    headers = {"Authorization": f"Bearer {testbed.KEYS[organisation]}"}
    response = call_admin(context, "daemon-1", "GET", "status", headers=headers)
    context.responses.append(response)


@then("the operator API responds with status {status:d}")
def check_admin_status(context, status):
    assert context.responses[-1].status == status, context.responses[-1]


@then("no log contains a secret")
def check_logs(context):
    secrets = [testbed.OPERATOR_TOKEN, *testbed.KEYS.values()]
    for process in context.deployment.processes.values():
        text = process.log.read_text()
        assert not any(secret in text for secret in secrets), process.name


@when("an operator plans a document with 3 mistakes at {daemon}")
def plan_wrong(context, daemon):
    wrong = """
[[organisations]]
name = "Big Name"
weight = 0.0

[[adapters]]
name = "fine"
model = "none"
weights = "f1"
"""
    response = call_admin(context, daemon, "POST", "plan", wrong.encode())
    context.responses.append(response)


@then("each mistake is named with its remedy")
def check_mistakes(context):
    message = context.responses[-1].json()["error"]["message"]
    lines = message.splitlines()
    assert len(lines) == 3, lines
    fields = ("organisations[0].name", "organisations[0].weight", "adapters[0]")
    for field in fields:
        assert field in message, (field, message)
    assert all(line.count(". ") >= 1 for line in lines), lines


def list_engines(context):
    return [n for n in context.deployment.endpoints if n.startswith("engine")]


def read_weights(context):
    return [
        context.deployment.read_record(name)["weights"].get("proof", "")
        for name in list_engines(context)
    ]


def apply_weights(context, weights, daemon):
    context.version = context.deployment.apply(
        write_document(context, weights), daemon
    )
    context.confirmed_weights.add(weights)


def wait_weights(context, weights, seconds):
    context.deployment.wait(
        lambda: set(read_weights(context)) == {weights},
        f"every engine to have weights {weights}",
        seconds,
    )


@when("the weights become {weights} while the engines are watched")
def roll_out(context, weights):
    apply_weights(context, weights, "daemon-1")
    context.max_loading = 0
    context.min_ready = len(list_engines(context))
    end = time.monotonic() + 40
    while time.monotonic() < end:
        records = [
            context.deployment.read_record(name)
            for name in list_engines(context)
        ]
        loading = sum(bool(record["loading"]) for record in records)
        context.max_loading = max(context.max_loading, loading)
        ready = sum(
            not record["loading"] and "proof" in record["weights"]
            for record in records
        )
        context.min_ready = min(context.min_ready, ready)
        if all(r["weights"].get("proof") == weights for r in records):
            return
        time.sleep(0.02)


@then("at most {count:d} engines loaded at the same time")
def check_loading(context, count):
    assert 1 <= context.max_loading <= count, context.max_loading


@then("at least {count:d} engines were ready at any time")
def check_ready(context, count):
    assert context.min_ready >= count, context.min_ready


@then("every engine has weights {weights}")
def check_weights(context, weights):
    assert set(read_weights(context)) == {weights}, read_weights(context)


@then("every engine gets weights {weights} within {seconds:d} s")
def check_weights_soon(context, weights, seconds):
    wait_weights(context, weights, seconds)


@when("the placement leader is frozen")
def freeze_placement_leader(context):
    def find():
        for daemon in context.deployment.daemons:
            if context.deployment.read_status(daemon)["is_placer"]:
                context.placement_leader = daemon
                return True
        return False

    context.deployment.wait(find, "a daemon to be placement leader")
    context.placement_leader.freeze()


@when("the weights become {weights} at another daemon")
def apply_elsewhere(context, weights):
    others = [
        d
        for d in context.deployment.daemons
        if d is not context.placement_leader
    ]
    apply_weights(context, weights, others[0].name)


@when("the placement leader is thawed")
def thaw_placement_leader(context):
    context.placement_leader.thaw()


@then("every engine keeps weights {weights} for {seconds:d} s")
def check_kept(context, weights, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        check_weights(context, weights)
        time.sleep(0.05)


@given("engines that never load weights {weights}")
def set_stuck(context, weights):
    for name in list_engines(context):
        context.deployment.set_faults(name, never_load=weights)


@when("the weights become {weights}, confirmed at {daemon}")
def apply_at(context, weights, daemon):
    apply_weights(context, weights, daemon)


@then("a daemon reports that the rollout is halted")
def check_halted(context):
    def halted():
        statuses = [
            context.deployment.read_status(d)
            for d in context.deployment.daemons
        ]
        return any(status["rollout_halted"] for status in statuses)

    context.deployment.wait(
        halted, "a daemon to report that the rollout is halted"
    )


@then("at least {count:d} engines still serve")
def check_serving(context, count):
    records = [
        context.deployment.read_record(name) for name in list_engines(context)
    ]
    serving = [r for r in records if r["weights"] and not r["loading"]]
    assert len(serving) >= count, records
