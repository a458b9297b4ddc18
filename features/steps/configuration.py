"""Steps of operators."""

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


def admin(context, daemon, method, path, body=b"", headers=_HEADERS):
    address = context.bed.processes[daemon].admin
    path = f"/admin/v1/{path}"
    return testbed.call(address, method, path, body, headers)


def document(context, weights):
    return testbed.write_sample(
        weights, deadline=6.0, min_engines=3 if "rollout" in context.tags else 1
    )


def make_plan(context, weights, daemon):
    body = document(context, weights).encode()
    answer = admin(context, daemon, "POST", "plan", body)
    assert answer.status == 200, answer
    return answer


@step("an operator plans weights {weights} at {daemon}")
def plan(context, weights, daemon):
    context.plan = make_plan(context, weights, daemon)


@step("the plan is confirmed at {daemon}")
def confirm(context, daemon):
    answer = admin(context, daemon, "POST", "confirm", context.plan.body)
    context.answers.append(answer)
    if answer.status == 200:
        context.version = answer.json()["version"]


@step("the same plan is confirmed at {first} and again at {second}")
def confirm_twice(context, first, second):
    confirm(context, first)
    confirm(context, second)


@step("the confirm is sent to {daemon} until it is answered")
def confirm_until(context, daemon):
    def answered():
        confirm(context, daemon)
        return context.answers[-1].status == 200

    context.bed.wait(answered, "the confirm to be answered")


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
    (path / "wanted.toml").write_text(document(context, weights))
    context.plan_file = str(path / "plan.json")
    address = context.bed.processes[daemon].admin
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
    address = context.bed.processes[daemon].admin
    run_tool(context, "confirm", context.plan_file, "--daemon", address)
    context.version += 1


@then('the tool printed "{text}"')
def check_printed(context, text):
    assert text in context.tool.stdout, context.tool.stdout


@then("every daemon has the version from before")
def check_unchanged(context):
    versions = [context.bed.read_version(d) for d in context.bed.daemons]
    assert set(versions) == {context.version}, versions


@then("every daemon has the next version within {seconds:d} s")
def check_version(context, seconds):
    for daemon in context.bed.daemons:
        context.bed.wait(
            lambda daemon=daemon: (
                context.bed.read_version(daemon) >= context.version
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
    def work(plan, daemon):
        answer = admin(context, daemon, "POST", "confirm", plan.body)
        context.answers.append(answer)

    daemons = ("daemon-1", "daemon-2")
    threads = [
        threading.Thread(target=work, args=pair)
        for pair in zip(context.plans, daemons, strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    context.version += 1


@then("one is refused as stale and told of the other's change")
def check_stale(context):
    statuses = sorted(answer.status for answer in context.answers)
    assert statuses == [200, 409], context.answers
    stale = next(a for a in context.answers if a.status == 409)
    error = stale.json()["error"]
    assert error["code"] == "stale_plan"
    assert "models/proof weights" in error["message"], error


@then("both answers name the same version")
def check_same_version(context):
    versions = [answer.json()["version"] for answer in context.answers]
    assert len(set(versions)) == 1, versions


@then("the history names the plan once")
def check_history(context):
    name = context.plan.json()["plan"]
    history = admin(context, "daemon-1", "GET", "history").json()
    found = [commit for commit in history if commit["plan"] == name]
    assert len(found) == 1, history


@then("the answer says that nothing was changed")
def check_nothing_changed(context):
    answer = context.answers[-1]
    assert answer.status == 503, answer
    assert "Nothing was changed" in answer.json()["error"]["message"]


@then("no daemon ever went back a version")
def check_monotone(context):
    for name in context.bed.planned_daemons:
        log = context.bed.processes[name].log.read_text()
        versions = [
            int(line.split("ersion ")[1].split()[0])
            for line in log.splitlines()
            if "Took version" in line or "is in force" in line
        ]
        assert versions == sorted(versions), (name, versions)


@when("a caller asks for the status with the key of {organisation}")
def ask_with_key(context, organisation):
    headers = {"Authorization": f"Bearer {testbed.KEYS[organisation]}"}
    answer = admin(context, "daemon-1", "GET", "status", headers=headers)
    context.answers.append(answer)


@then("the operator API answers {status:d}")
def check_admin_status(context, status):
    assert context.answers[-1].status == status, context.answers[-1]


@then("no secret stands in any log")
def check_logs(context):
    secrets = [testbed.OPERATOR_TOKEN, *testbed.KEYS.values()]
    for process in context.bed.processes.values():
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
    answer = admin(context, daemon, "POST", "plan", wrong.encode())
    context.answers.append(answer)


@then("each mistake is named with its remedy")
def check_mistakes(context):
    message = context.answers[-1].json()["error"]["message"]
    lines = message.splitlines()
    assert len(lines) == 3, lines
    fields = ("organisations[0].name", "organisations[0].weight", "adapters[0]")
    for field in fields:
        assert field in message, (field, message)
    assert all(line.count(". ") >= 1 for line in lines), lines


def engines(context):
    return [n for n in context.bed.endpoints if n.startswith("engine")]


def read_weights(context):
    return [
        context.bed.read_record(name)["weights"].get("proof", "")
        for name in engines(context)
    ]


def apply_weights(context, weights, daemon):
    context.version = context.bed.apply(document(context, weights), daemon)


def wait_weights(context, weights, seconds):
    context.bed.wait(
        lambda: set(read_weights(context)) == {weights},
        f"every engine to have weights {weights}",
        seconds,
    )


@when("the weights become {weights} while the engines are watched")
def roll_out(context, weights):
    apply_weights(context, weights, "daemon-1")
    context.most_loading = 0
    context.least_ready = len(engines(context))
    end = time.monotonic() + 40
    while time.monotonic() < end:
        records = [context.bed.read_record(name) for name in engines(context)]
        loading = sum(bool(record["loading"]) for record in records)
        context.most_loading = max(context.most_loading, loading)
        ready = sum(
            not record["loading"] and "proof" in record["weights"]
            for record in records
        )
        context.least_ready = min(context.least_ready, ready)
        if all(r["weights"].get("proof") == weights for r in records):
            return
        time.sleep(0.02)


@then("at most {count:d} engines loaded at the same time")
def check_loading(context, count):
    assert 1 <= context.most_loading <= count, context.most_loading


@then("at least {count:d} engines were ready at any time")
def check_ready(context, count):
    assert context.least_ready >= count, context.least_ready


@then("every engine has weights {weights}")
def check_weights(context, weights):
    assert set(read_weights(context)) == {weights}, read_weights(context)


@then("every engine gets weights {weights} within {seconds:d} s")
def check_weights_soon(context, weights, seconds):
    wait_weights(context, weights, seconds)


@when("the placer is frozen")
def freeze_placer(context):
    def find():
        for daemon in context.bed.daemons:
            if context.bed.read_status(daemon)["is_placer"]:
                context.placer = daemon
                return True
        return False

    context.bed.wait(find, "a daemon to be placer")
    context.placer.freeze()


@when("the weights become {weights} at another daemon")
def apply_elsewhere(context, weights):
    others = [d for d in context.bed.daemons if d is not context.placer]
    apply_weights(context, weights, others[0].name)


@when("the placer is thawed")
def thaw_placer(context):
    context.placer.thaw()


@then("every engine keeps weights {weights} for {seconds:d} s")
def check_kept(context, weights, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        check_weights(context, weights)
        time.sleep(0.05)


@given("engines that never load weights {weights}")
def set_stuck(context, weights):
    for name in engines(context):
        context.bed.set_faults(name, never_load=weights)


@when("the weights become {weights}, as {daemon} is told")
def apply_at(context, weights, daemon):
    apply_weights(context, weights, daemon)


@then("a daemon says that the rollout is halted")
def check_halted(context):
    def halted():
        statuses = [context.bed.read_status(d) for d in context.bed.daemons]
        return any(status["rollout_halted"] for status in statuses)

    context.bed.wait(halted, "a daemon to say that the rollout is halted")


@then("at least {count:d} engines still serve")
def check_serving(context, count):
    records = [context.bed.read_record(name) for name in engines(context)]
    serving = [r for r in records if r["weights"] and not r["loading"]]
    assert len(serving) >= count, records
