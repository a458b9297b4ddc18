"""Sends sample traffic through a local deployment and prints a report."""

import argparse
import asyncio
import sys
import time

from sardinewharf import load
from sardinewharf import testbed

_DOMAINS = ("fd1", "fd2", "fd3")
_ENGINES = 6
_APPLICATIONS = 3


def main() -> None:
    """Starts a deployment, sends traffic, prints a report and stops it.

    Exits with status 1 if a request was not answered completely.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=120)
    parser.add_argument(
        "--keep-seconds",
        type=float,
        default=0.0,
        help="keep the deployment running for this long after the report",
    )
    arguments = parser.parse_args()
    with testbed.TestDeployment() as deployment:
        _plan(deployment)
        deployment.start()
        version = deployment.apply(testbed.write_sample())
        deployment.wait_ready(version)
        report = _send(deployment, arguments.requests)
        _print(deployment, report)
        if arguments.keep_seconds:
            sys.stdout.write(f"Running for {arguments.keep_seconds:g} s.\n")
            time.sleep(arguments.keep_seconds)
    if report.completed < report.sent:
        sys.exit(1)


def _plan(deployment: testbed.TestDeployment) -> None:
    for number in range(_ENGINES):
        domain = _DOMAINS[number % len(_DOMAINS)]
        deployment.plan_engine(f"engine-{number + 1}", domain, "--capacity=64")
    for number in range(_APPLICATIONS):
        domain = _DOMAINS[number % len(_DOMAINS)]
        deployment.plan_application(f"orders-{number + 1}", domain, "orders")
    for number, domain in enumerate(_DOMAINS):
        deployment.plan_daemon(f"daemon-{number + 1}", domain)


def _send(deployment: testbed.TestDeployment, requests: int) -> load.LoadReport:
    trace_settings = load.TraceSettings(requests=requests, rate=12.0, seed=7)
    settings = load.LoadSettings(
        tuple(d.address for d in deployment.daemons), testbed.KEYS
    )
    return asyncio.run(
        load.run_load(settings, load.make_trace(trace_settings), trace_settings)
    )


def _print(deployment: testbed.TestDeployment, report: load.LoadReport) -> None:
    cached, computed = _count_tokens(deployment)
    address = deployment.daemons[0].address
    lines = [
        "",
        f"requests             {report.sent}",
        f"answered completely  {report.completed}",
        f"prefix hit rate      {cached / max(1, cached + computed):.2f}",
        f"first token p50      {report.find_ttft_percentile(50) * 1000:.0f} ms",
        f"first token p99      {report.find_ttft_percentile(99) * 1000:.0f} ms",
        "",
        "With --keep-seconds=60, send a request by hand:",
        f"  curl -N http://{address}/v1/chat/completions \\",
        f"    -H 'Authorization: Bearer {testbed.KEYS['almagro']}' \\",
        '    -d \'{"model": "proof", "stream": true, "messages":'
        ' [{"role": "user", "content": "Is the sleeve right?"}]}\'',
        "",
    ]
    if report.fell_behind:
        lines.insert(
            1,
            "The load generator fell behind its schedule: figures are invalid.",
        )
    sys.stdout.write("\n".join(lines))


def _count_tokens(deployment: testbed.TestDeployment) -> tuple[int, int]:
    cached = computed = 0
    for number in range(_ENGINES):
        for run in deployment.read_record(f"engine-{number + 1}")["runs"]:
            cached += run["cached_tokens"]
            computed += run["computed_tokens"]
    return cached, computed


if __name__ == "__main__":
    main()
