"""Counts failed bookings reported as ``unknown`` although they had not run."""

from collections.abc import Callable
import dataclasses
import http.client
import threading
import time

from sardinewharf import bench
from sardinewharf import testbed

_DAEMONS = ("daemon-1", "daemon-2", "daemon-3")
_SERVERS = ("orders-1", "orders-2")
_BOOKINGS = 30
_RESPONSE_TIMEOUT_S = 20.0
_HEADER = (
    "fault",
    "sent",
    "failed",
    "not run",
    "unknown",
    "needlessly",
    "share",
)


@dataclasses.dataclass(slots=True)
class _BookingResults:
    """Run states that the responses reported under one fault.

    Attributes:
        states: The run state by idempotency key.
    """

    states: dict[str, str] = dataclasses.field(default_factory=dict)


_InjectFault = Callable[[testbed.TestDeployment], None]


def main() -> None:
    """Prints the table."""
    rows = []
    with testbed.TestDeployment(has_proxy=True) as deployment:
        for number, name in enumerate(_SERVERS, 1):
            deployment.plan_application(name, f"fd{number}", "orders")
        for number, name in enumerate(_DAEMONS, 1):
            deployment.plan_daemon(name, f"fd{number}", "--poll-seconds=0.3")
        deployment.start(kv_flags=("--writes-per-second=2000",))
        deployment.wait_ready(
            deployment.apply(testbed.write_sample(deadline=4.0))
        )
        for fault, inject in _FAULTS.items():
            for is_first_attempt in (False, True):
                name = (
                    f"{fault}, marked as first attempt"
                    if is_first_attempt
                    else fault
                )
                rows.append(
                    _measure_fault(deployment, name, inject, is_first_attempt)
                )
    bench.print_table("Bookings under faults", _HEADER, rows)


def _measure_fault(
    deployment: testbed.TestDeployment,
    fault: str,
    inject: _InjectFault,
    is_first_attempt: bool,
) -> tuple[object, ...]:
    deployment.wait_for_live_endpoints()
    results = _BookingResults()
    threads = [
        threading.Thread(
            target=_book,
            args=(deployment, results, f"{fault}-{n}", n, is_first_attempt),
        )
        for n in range(_BOOKINGS)
    ]
    inject(deployment)
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    for thread in threads:
        thread.join(_RESPONSE_TIMEOUT_S)
    _clear_faults(deployment)
    time.sleep(1.0)
    states = list(results.states.values())
    unknown = [
        key for key, state in results.states.items() if state == "unknown"
    ]
    needless = [key for key in unknown if not _count_runs(deployment, key)]
    failed = len(states) - states.count("ran")
    return (
        fault,
        len(states),
        failed,
        states.count("not_run"),
        len(unknown),
        len(needless),
        len(needless) / max(1, failed),
    )


def _book(
    deployment: testbed.TestDeployment,
    results: _BookingResults,
    key: str,
    number: int,
    is_first_attempt: bool,
) -> None:
    headers = {
        "Authorization": f"Bearer {testbed.KEYS['almagro']}",
        "Idempotency-Key": key,
    }
    if is_first_attempt:
        headers["Idempotency-Attempt"] = "1"
    address = deployment.processes[_DAEMONS[number % len(_DAEMONS)]].address
    path = "/v1/apps/orders/book"
    try:
        response = testbed.call(
            address, "POST", path, b"x", headers, _RESPONSE_TIMEOUT_S
        )
    except (OSError, http.client.HTTPException):
        return
    results.states[key] = response.headers.get("x-run-state", "")


def _count_runs(deployment: testbed.TestDeployment, key: str) -> int:
    records = [deployment.read_record(name)["keys"] for name in _SERVERS]
    return sum(record.get(key, 0) for record in records)


def _clear_faults(deployment: testbed.TestDeployment) -> None:
    for link in deployment.links:
        deployment.set_link_faults(link)
    for name in ("kv", *_SERVERS):
        deployment.set_faults(name)


def _cut_servers(deployment: testbed.TestDeployment) -> None:
    for name in _SERVERS:
        deployment.set_link_faults(name, cut=True)


def _lose_server_responses(deployment: testbed.TestDeployment) -> None:
    for name in _SERVERS:
        deployment.set_link_faults(name, lose_answers=5)


def _refuse(deployment: testbed.TestDeployment) -> None:
    for name in _SERVERS:
        deployment.set_faults(name, refuse=True)


_FAULTS: dict[str, _InjectFault] = {
    "key-value service down": lambda deployment: deployment.set_faults(
        "kv", outage=True
    ),
    "write responses lost": lambda deployment: deployment.set_faults(
        "kv", lose_writes=8
    ),
    "key-value service hangs": lambda deployment: deployment.set_faults(
        "kv", hang=True
    ),
    "servers unreachable": _cut_servers,
    "servers refuse requests": _refuse,
    "responses of servers lost": _lose_server_responses,
}


if __name__ == "__main__":
    main()
