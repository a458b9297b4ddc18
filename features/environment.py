"""Starts a deployment for each feature and clears faults after each scenario.

The links between the processes pass through a proxy that can inject faults. A
feature's tag selects its deployment: ``@rollout`` has engines that ignore
fencing tokens, ``@small`` low limits, ``@crash`` engines that exit on a marked
prompt, and ``@spare`` three more engines.
"""

from behave.model_core import Status

from sardinewharf import testbed

_DOMAINS = ("fd1", "fd2", "fd3")
_LOG_TAIL_LINES = 60
_MAX_LINE_CHARACTERS = 400
_FAST_FLAGS = (
    "--drain-seconds=0.5",
    "--gossip-seconds=0.3",
    "--poll-seconds=0.3",
    "--vm-list-seconds=0.5",
)


def before_feature(context, feature):
    deployment = testbed.TestDeployment(has_proxy=True)
    context.deployment = deployment
    # Weights of each plan, and the weights that were in force in this feature.
    context.weights_by_plan = {}
    context.confirmed_weights = {"w1"}
    if "rollout" in feature.tags:
        plan_rollout(deployment)
        start(context, feature, deployment)
        return
    for number, domain in enumerate(_DOMAINS, 1):
        flags = ("--decode-ms=5", "--prefill-rate=200000")
        deployment.plan_engine(
            f"engine-{number}", domain, *flags, *_make_crash_flags(feature)
        )
        deployment.plan_application(f"orders-{number}", domain, "orders")
        deployment.plan_daemon(
            f"daemon-{number}",
            domain,
            *_FAST_FLAGS,
            *_make_limit_flags(feature),
        )
    if "spare" in feature.tags:
        plan_spare_engines(deployment, feature)
    start(context, feature, deployment)


def plan_spare_engines(deployment, feature):
    for number in range(4, 7):
        flags = ("--decode-ms=5", "--prefill-rate=200000")
        deployment.plan_engine(
            f"engine-{number}", "fd1", *flags, *_make_crash_flags(feature)
        )


def plan_rollout(deployment):
    for number in range(1, 7):
        flags = ("--ignore-fence",) if number % 2 else ()
        deployment.plan_engine(f"engine-{number}", "fd1", *flags)
    for number in range(1, 4):
        flags = (*_FAST_FLAGS, "--load-seconds=3")
        deployment.plan_daemon(f"daemon-{number}", "fd1", *flags)


def start(context, feature, deployment):
    deployment.start(kv_flags=("--writes-per-second=2000",))
    is_small = "small" in feature.tags
    min_engines = 3 if "rollout" in feature.tags else 1
    document = testbed.write_sample(
        deadline=6.0, uneven=is_small, min_engines=min_engines
    )
    context.version = deployment.apply(document)
    deployment.wait_ready(context.version)


def after_feature(context, feature):
    context.deployment.close()


def before_scenario(context, scenario):
    context.responses = []
    context.reported_not_run = []
    context.streams = []
    context.threads = []


def print_logs(deployment):
    """Prints the last log lines of each process, to explain a failure."""
    for process in deployment.processes.values():
        lines = process.log.read_text(errors="replace").splitlines()
        print(f"Last lines of {process.name}:")
        for line in lines[-_LOG_TAIL_LINES:]:
            print(f"  {line[:_MAX_LINE_CHARACTERS]}")


def after_scenario(context, scenario):
    deployment = context.deployment
    if scenario.status in (Status.failed, Status.error):
        print_logs(deployment)
    for thread in context.threads:
        thread.join(40)
    for link in deployment.links:
        deployment.set_link_faults(link)
    for process in list(deployment.processes.values()):
        process.thaw()
    deployment.set_faults("kv")
    deployment.set_faults("vms", outage=False)
    for name in deployment.endpoints:
        if not deployment.processes[name].is_live:
            deployment.restart(name)
        deployment.set_faults(name)
    for name in deployment.planned_daemons:
        if not deployment.processes[name].is_live:
            deployment.start_daemon(name)
    try:
        deployment.wait_ready(context.version)
        deployment.wait_for_live_endpoints()
    except testbed.DeploymentError:
        for daemon in deployment.daemons:
            print(daemon.name, deployment.read_status(daemon)["endpoints"])
        print_logs(deployment)
        raise


def _make_crash_flags(feature):
    return ("--crash-marker=CRASH",) if "crash" in feature.tags else ()


def _make_limit_flags(feature):
    return ("--slots=4", "--queue-limit=8") if "small" in feature.tags else ()
