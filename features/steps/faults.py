"""Steps that inject faults and lift them again."""

import time

from behave import given
from behave import step
from behave import when


@step("the faults are lifted")
def lift_faults(context):
    deployment = context.deployment
    for link in deployment.links:
        deployment.set_link_faults(link)
    for name in ("kv", *deployment.endpoints):
        deployment.set_faults(name)


@given("the key-value service is down")
@when("the key-value service goes down")
def stop_kv(context):
    context.deployment.set_faults("kv", outage=True)


@when("the key-value service is back")
def start_kv(context):
    context.deployment.set_faults("kv")


@given("the key-value service stalls writes")
def stall_kv(context):
    context.writes = context.deployment.read_record("kv")["counts"]["writes"]
    context.deployment.set_faults("kv", stall_writes=True)


@when("a write has reached it")
def wait_for_write(context):
    def reached():
        counts = context.deployment.read_record("kv")["counts"]
        return counts["writes"] > context.writes

    context.deployment.wait(reached, "a write to reach the key-value service")


@given("the key-value service loses the responses to {count:d} writes")
def lose_writes(context, count):
    context.deployment.set_faults("kv", lose_writes=count)


@given("the key-value service takes {delay:d} ms to respond")
def slow_kv(context, delay):
    context.deployment.set_faults("kv", delay_ms=delay)


@given("{daemon} loses {count:d} responses of the key-value service")
def lose_answers(context, daemon, count):
    context.deployment.set_link_faults(f"kv-{daemon}", lose_answers=count)


def _list_applications(context):
    return [n for n in context.deployment.endpoints if n.startswith("orders")]


@given("the application servers lose their responses")
def lose_application_answers(context):
    for name in _list_applications(context):
        context.deployment.set_link_faults(name, lose_posts=1)


@given("the application servers do not respond")
def make_applications_unresponsive(context):
    context.writes = context.deployment.read_record("kv")["counts"]["writes"]
    for name in _list_applications(context):
        context.deployment.set_link_faults(name, half_open=True)


@given("the application servers are cut off")
def cut_applications(context):
    for name in _list_applications(context):
        context.deployment.set_link_faults(name, cut=True)


@given("the application servers take {delay:d} ms to respond")
def slow_applications(context, delay):
    for name in _list_applications(context):
        context.deployment.set_faults(name, delay_ms=delay)


@when("a claim is stored")
def wait_for_claim(context):
    wait_for_write(context)


_SOURCE_PREFIXES = {"fd1": "127.0.1.", "fd2": "127.0.2.", "fd3": "127.0.3."}
_ENDPOINT_KINDS = ("engine", "orders")


def cut_off(context, domain):
    """Blocks every link between a failure domain and the others."""
    number = domain[-1]
    others = [s for name, s in _SOURCE_PREFIXES.items() if name != domain]
    for link in context.deployment.links:
        if link.startswith(("kv-", "vms-")):
            continue
        is_inside = link.endswith(f"-{number}")
        sources = others if is_inside else [_SOURCE_PREFIXES[domain]]
        context.deployment.set_link_faults(link, cut_sources=sources)


@step("failure domain {domain} is cut off from the others")
def cut_domain(context, domain):
    cut_off(context, domain)


@step("failure domain {domain} is cut off from the platform")
def cut_platform(context, domain):
    context.started = time.monotonic()
    number = domain[-1]
    for kind in ("kv", "vms"):
        context.deployment.set_link_faults(f"{kind}-daemon-{number}", cut=True)


def list_processes(context, who):
    """Returns the names of the processes that a step refers to."""
    if who == "every daemon":
        return context.deployment.planned_daemons
    if who == "every engine":
        return [
            n for n in context.deployment.endpoints if n.startswith("engine")
        ]
    return [who]


@step("{who} is killed")
def kill(context, who):
    for name in list_processes(context, who):
        context.deployment.processes[name].kill()


@step("{daemon} is frozen")
def freeze(context, daemon):
    context.deployment.processes[daemon].freeze()


@step("{daemon} is thawed")
def thaw(context, daemon):
    context.deployment.processes[daemon].thaw()
