"""Runs the main job on an embedded deployment and prints a short report."""

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
    """Starts everything, sends traffic, reports, and ends everything."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=120)
    parser.add_argument(
        "--keep-seconds",
        type=float,
        default=0.0,
        help="leave it running for this long after the report",
    )
    arguments = parser.parse_args()
    with testbed.Bed() as bed:
        _plan(bed)
        bed.start()
        version = bed.apply(testbed.write_sample())
        bed.wait_ready(version)
        report = _send(bed, arguments.requests)
        _print(bed, report)
        if arguments.keep_seconds:
            sys.stdout.write(f"Running for {arguments.keep_seconds:g} s.\n")
            time.sleep(arguments.keep_seconds)
    if report.completed < report.sent:
        sys.exit(1)


def _plan(bed: testbed.Bed) -> None:
    for number in range(_ENGINES):
        domain = _DOMAINS[number % len(_DOMAINS)]
        bed.plan_engine(f"engine-{number + 1}", domain, "--capacity=64")
    for number in range(_APPLICATIONS):
        domain = _DOMAINS[number % len(_DOMAINS)]
        bed.plan_application(f"orders-{number + 1}", domain, "orders")
    for number, domain in enumerate(_DOMAINS):
        bed.plan_daemon(f"daemon-{number + 1}", domain)


def _send(bed: testbed.Bed, requests: int) -> load.LoadReport:
    shape = load.TraceSettings(requests=requests, rate=12.0, seed=7)
    settings = load.LoadSettings(
        tuple(d.address for d in bed.daemons), testbed.KEYS
    )
    return asyncio.run(load.run_load(settings, load.make_trace(shape), shape))


def _print(bed: testbed.Bed, report: load.LoadReport) -> None:
    cached, computed = _count_tokens(bed)
    address = bed.daemons[0].address
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
        lines.insert(1, "The load tool fell behind: do not use these figures.")
    sys.stdout.write("\n".join(lines))


def _count_tokens(bed: testbed.Bed) -> tuple[int, int]:
    cached = computed = 0
    for number in range(_ENGINES):
        for run in bed.read_record(f"engine-{number + 1}")["runs"]:
            cached += run["cached_tokens"]
            computed += run["computed_tokens"]
    return cached, computed


if __name__ == "__main__":
    main()
