"""Counts failed bookings that were called unknown though they had not run."""

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
_ANSWER_S = 20.0
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
class _Tally:
    """Answers to the bookings of one fault."""

    states: dict[str, str] = dataclasses.field(default_factory=dict)


_Act = Callable[[testbed.TestDeployment], None]


def main() -> None:
    """Prints the table."""
    rows = []
    with testbed.TestDeployment(has_proxy=True) as bed:
        for number, name in enumerate(_SERVERS, 1):
            bed.plan_application(name, f"fd{number}", "orders")
        for number, name in enumerate(_DAEMONS, 1):
            bed.plan_daemon(name, f"fd{number}", "--poll-seconds=0.3")
        bed.start(kv_flags=("--writes-per-second=2000",))
        bed.wait_ready(bed.apply(testbed.write_sample(deadline=4.0)))
        for fault, act in _FAULTS.items():
            for is_first in (False, True):
                name = f"{fault}, first use stated" if is_first else fault
                rows.append(_try(bed, name, act, is_first))
    bench.print_table("Bookings under faults", _HEADER, rows)


def _try(
    bed: testbed.TestDeployment, fault: str, act: _Act, is_first: bool
) -> tuple[object, ...]:
    bed.wait_for_live_endpoints()
    tally = _Tally()
    threads = [
        threading.Thread(
            target=_book, args=(bed, tally, f"{fault}-{n}", n, is_first)
        )
        for n in range(_BOOKINGS)
    ]
    act(bed)
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    for thread in threads:
        thread.join(_ANSWER_S)
    _lift(bed)
    time.sleep(1.0)
    states = list(tally.states.values())
    unknown = [key for key, state in tally.states.items() if state == "unknown"]
    needless = [key for key in unknown if not _count_runs(bed, key)]
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
    bed: testbed.TestDeployment,
    tally: _Tally,
    key: str,
    number: int,
    is_first: bool,
) -> None:
    headers = {
        "Authorization": f"Bearer {testbed.KEYS['almagro']}",
        "Idempotency-Key": key,
    }
    if is_first:
        headers["Idempotency-Attempt"] = "1"
    address = bed.processes[_DAEMONS[number % len(_DAEMONS)]].address
    path = "/v1/apps/orders/book"
    try:
        answer = testbed.call(address, "POST", path, b"x", headers, _ANSWER_S)
    except (OSError, http.client.HTTPException):
        return
    tally.states[key] = answer.headers.get("x-run-state", "")


def _count_runs(bed: testbed.TestDeployment, key: str) -> int:
    records = [bed.read_record(name)["keys"] for name in _SERVERS]
    return sum(record.get(key, 0) for record in records)


def _lift(bed: testbed.TestDeployment) -> None:
    for link in bed.links:
        bed.set_link_faults(link)
    for name in ("kv", *_SERVERS):
        bed.set_faults(name)


def _cut_servers(bed: testbed.TestDeployment) -> None:
    for name in _SERVERS:
        bed.set_link_faults(name, cut=True)


def _lose_server_answers(bed: testbed.TestDeployment) -> None:
    for name in _SERVERS:
        bed.set_link_faults(name, lose_answers=5)


def _refuse(bed: testbed.TestDeployment) -> None:
    for name in _SERVERS:
        bed.set_faults(name, refuse=True)


_FAULTS: dict[str, _Act] = {
    "key-value service out": lambda bed: bed.set_faults("kv", outage=True),
    "its write answers lost": lambda bed: bed.set_faults("kv", lose_writes=8),
    "it hangs": lambda bed: bed.set_faults("kv", hang=True),
    "servers cut off": _cut_servers,
    "servers refuse": _refuse,
    "servers' answers lost": _lose_server_answers,
}


if __name__ == "__main__":
    main()
