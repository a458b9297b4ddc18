"""Gives each feature a deployment of its own, behind the proxy."""

from behave.model_core import Status

from sardinewharf import testbed

_DOMAINS = ("fd1", "fd2", "fd3")
_KEPT_LINES = 60
_KEPT_CHARACTERS = 400
_QUICK = (
    "--drain-seconds=0.5",
    "--gossip-seconds=0.3",
    "--poll-seconds=0.3",
    "--vm-list-seconds=0.5",
)


def before_feature(context, feature):
    bed = testbed.TestDeployment(has_proxy=True)
    context.bed = bed
    if "rollout" in feature.tags:
        plan_rollout(bed)
        start(context, feature, bed)
        return
    for number, domain in enumerate(_DOMAINS, 1):
        flags = ("--decode-ms=5", "--prefill-rate=200000")
        bed.plan_engine(f"engine-{number}", domain, *flags, *_marker(feature))
        bed.plan_application(f"orders-{number}", domain, "orders")
        bed.plan_daemon(f"daemon-{number}", domain, *_QUICK, *_limits(feature))
    start(context, feature, bed)


def plan_rollout(bed):
    for number in range(1, 7):
        flags = ("--ignore-fence",) if number % 2 else ()
        bed.plan_engine(f"engine-{number}", "fd1", *flags)
    for number in range(1, 4):
        flags = (*_QUICK, "--load-seconds=3")
        bed.plan_daemon(f"daemon-{number}", "fd1", *flags)


def start(context, feature, bed):
    bed.start(kv_flags=("--writes-per-second=2000",))
    is_small = "small" in feature.tags
    min_engines = 3 if "rollout" in feature.tags else 1
    document = testbed.write_sample(
        deadline=6.0, uneven=is_small, min_engines=min_engines
    )
    context.version = bed.apply(document)
    bed.wait_ready(context.version)


def after_feature(context, feature):
    context.bed.close()


def before_scenario(context, scenario):
    context.answers = []
    context.told_not_run = []
    context.streams = []
    context.threads = []


def print_logs(bed):
    """Prints what the processes last wrote, for whoever reads a failure."""
    for process in bed.processes.values():
        lines = process.log.read_text(errors="replace").splitlines()
        print(f"Last lines of {process.name}:")
        for line in lines[-_KEPT_LINES:]:
            print(f"  {line[:_KEPT_CHARACTERS]}")


def after_scenario(context, scenario):
    bed = context.bed
    if scenario.status in (Status.failed, Status.error):
        print_logs(bed)
    for thread in context.threads:
        thread.join(40)
    for link in bed.links:
        bed.set_link_faults(link)
    for process in list(bed.processes.values()):
        process.thaw()
    bed.set_faults("kv")
    bed.set_faults("vms", outage=False)
    for name in bed.endpoints:
        if not bed.processes[name].is_live:
            bed.restart(name)
        bed.set_faults(name)
    for name in bed.planned_daemons:
        if not bed.processes[name].is_live:
            bed.start_daemon(name)
    try:
        bed.wait_ready(context.version)
        bed.wait_for_live_endpoints()
    except testbed.DeploymentError:
        for daemon in bed.daemons:
            print(daemon.name, bed.read_status(daemon)["endpoints"])
        print_logs(bed)
        raise


def _marker(feature):
    return ("--crash-marker=CRASH",) if "crash" in feature.tags else ()


def _limits(feature):
    return ("--slots=4", "--queue-limit=8") if "small" in feature.tags else ()
