"""Measures how long a change takes to be in force at every daemon."""

import statistics
import time

from sardinewharf import bench
from sardinewharf import testbed

_DAEMON_COUNTS = (3, 9, 30)
_CHANGES = 8
_HEADER = (
    "daemons",
    "p50 s",
    "longest s",
    "kv calls per change",
    "gossip bytes/s per daemon",
)


def main() -> None:
    """Prints the table."""
    rows = [_measure(count) for count in _DAEMON_COUNTS]
    bench.print_table(
        "Time until a change is in force at every daemon", _HEADER, rows
    )


def _measure(count: int) -> tuple[object, ...]:
    with testbed.TestDeployment() as deployment:
        for number in range(count):
            deployment.plan_daemon(
                f"daemon-{number:02d}", f"fd{number % 3 + 1}"
            )
        deployment.start(kv_flags=("--writes-per-second=300",))
        version = deployment.apply(testbed.write_sample())
        deployment.wait_ready(version)
        times = []
        calls = _count_calls(deployment)
        begun = time.monotonic()
        gossip = _count_gossip(deployment)
        for number in range(_CHANGES):
            start = time.monotonic()
            version = deployment.apply(testbed.write_sample(f"c{number}"))
            deployment.wait_ready(version)
            times.append(time.monotonic() - start)
        spent = time.monotonic() - begun
        return (
            count,
            statistics.median(times),
            max(times),
            (_count_calls(deployment) - calls) / _CHANGES,
            (_count_gossip(deployment) - gossip) / count / spent,
        )


def _count_calls(deployment: testbed.TestDeployment) -> int:
    counts = deployment.read_record("kv")["counts"]
    return counts["reads"] + counts["writes"] + counts["watches"]


def _count_gossip(deployment: testbed.TestDeployment) -> int:
    return sum(
        deployment.read_status(d)["gossip_bytes"] for d in deployment.daemons
    )


if __name__ == "__main__":
    main()
