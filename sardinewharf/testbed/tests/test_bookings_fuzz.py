"""Fuzzes idempotent requests while processes and connections fail.

The test runs real processes and compares responses with the servers' records:

- A request with an idempotency key runs at most once.
- All responses of status 200 to one key have the same body.
- A request that was reported as not run has not run. The exception is a key
  with another send in flight, which may run as soon as the first send has
  released its claim.
"""

import dataclasses
import http.client
import os
import threading
import time

from hypothesis import HealthCheck
from hypothesis import seed
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from sardinewharf import testbed

_IS_LONG = os.environ.get("SARDINEWHARF_FUZZ") == "long"
_DAEMONS = ("daemon-1", "daemon-2", "daemon-3")
_SERVERS = ("orders-1", "orders-2")
_KEYS = strategies.integers(min_value=0, max_value=2)
_RESPONSE_TIMEOUT_S = 20.0
_SHARED: dict[str, testbed.TestDeployment] = {}


def get_deployment():
    if "deployment" not in _SHARED:
        deployment = testbed.TestDeployment(has_proxy=True)
        _SHARED["deployment"] = deployment
        for number, name in enumerate(_SERVERS, 1):
            deployment.plan_application(name, f"fd{number}", "orders")
        for number, name in enumerate(_DAEMONS, 1):
            flags = ("--gossip-seconds=0.2", "--poll-seconds=0.2")
            deployment.plan_daemon(name, f"fd{number}", *flags)
        deployment.start(kv_flags=("--writes-per-second=5000",))
        deployment.wait_ready(
            deployment.apply(testbed.write_sample(deadline=1.5))
        )
    return _SHARED["deployment"]


def teardown_module():
    if "deployment" in _SHARED:
        _SHARED.pop("deployment").close()


@dataclasses.dataclass
class Send:
    """One attempt to send the request of an idempotency key.

    Attributes:
        daemon: Daemon that it was sent to.
        began: Monotonic time of the send, in seconds.
        ended: Monotonic time of the response, in seconds; None if there is
            none.
        outcome: Status and run state of the response; empty if there is none.
    """

    daemon: str
    began: float
    ended: float | None = None
    outcome: str = ""


class Bookings(stateful.RuleBasedStateMachine):
    """Sends bookings while faults are injected."""

    rounds = 0

    def __init__(self):
        super().__init__()
        self.deployment = get_deployment()
        Bookings.rounds += 1
        self.round = Bookings.rounds
        self.responses = {}
        self.threads = []
        self.sends = {}
        self.violations = []
        self.frozen = set()

    def key_of(self, number):
        return f"round-{self.round}-{number}"

    def count_runs(self, key):
        records = [
            self.deployment.read_record(name)["keys"] for name in _SERVERS
        ]
        return sum(record.get(key, 0) for record in records)

    def send(self, number, daemon):
        key = self.key_of(number)
        headers = {
            "Authorization": f"Bearer {testbed.KEYS['almagro']}",
            "Idempotency-Key": key,
        }
        address = self.deployment.processes[daemon].address
        body = b"booking %d" % number
        path = "/v1/apps/orders/book"
        send = Send(daemon, time.monotonic())
        self.sends.setdefault(key, []).append(send)
        try:
            response = testbed.call(
                address, "POST", path, body, headers, _RESPONSE_TIMEOUT_S
            )
        except (OSError, http.client.HTTPException):
            return
        state = response.headers.get("x-run-state")
        send.outcome = f"{response.status} {state}"
        if state == "not_run":
            self.check_refusal(key, send, response)
        if response.status == 200:
            known = self.responses.setdefault(key, response.body)
            if known != response.body:
                self.violations.append((key, known, response))
        send.ended = time.monotonic()

    def check_refusal(self, key, send, response):
        if self.count_runs(key) == 0:
            return
        others = [
            other
            for other in self.sends[key]
            if other is not send
            and (other.ended is None or other.ended > send.began)
        ]
        if not others:
            self.violations.append((key, response, list(self.sends[key])))

    @stateful.rule(number=_KEYS, daemon=strategies.sampled_from(_DAEMONS))
    def book(self, number, daemon):
        if daemon not in self.frozen:
            self.send(number, daemon)

    @stateful.rule(number=_KEYS, daemon=strategies.sampled_from(_DAEMONS))
    def begin_booking(self, number, daemon):
        thread = threading.Thread(target=self.send, args=(number, daemon))
        thread.start()
        self.threads.append(thread)

    @stateful.rule(daemon=strategies.sampled_from(_DAEMONS))
    def kill_and_restart(self, daemon):
        self.frozen.discard(daemon)
        self.deployment.processes[daemon].kill()
        self.deployment.start_daemon(daemon)

    @stateful.rule(daemon=strategies.sampled_from(_DAEMONS))
    def freeze(self, daemon):
        self.deployment.processes[daemon].freeze()
        self.frozen.add(daemon)

    @stateful.rule()
    def thaw(self):
        for daemon in self.frozen:
            self.deployment.processes[daemon].thaw()
        self.frozen.clear()

    @stateful.rule(
        faults=strategies.sampled_from(
            (
                {},
                {"outage": True},
                {"delay_ms": 100.0},
                {"lose_writes": 2},
                {"stall_writes": True},
            )
        )
    )
    def disturb_kv(self, faults):
        self.deployment.set_faults("kv", **faults)

    @stateful.rule(
        link=strategies.sampled_from((*_SERVERS, "kv-daemon-1", "kv-daemon-2")),
        faults=strategies.sampled_from(
            (
                {},
                {"cut": True},
                {"delay_ms": 50.0},
                {"lose_answers": 1},
                {"half_open": True},
            )
        ),
    )
    def disturb_link(self, link, faults):
        self.deployment.set_link_faults(link, **faults)

    @stateful.rule(
        server=strategies.sampled_from(_SERVERS),
        faults=strategies.sampled_from(
            ({}, {"refuse": True}, {"delay_ms": 300.0}, {"fail": True})
        ),
    )
    def disturb_server(self, server, faults):
        self.deployment.set_faults(server, **faults)

    @stateful.invariant()
    def runs_at_most_once(self):
        for number in range(3):
            runs = self.count_runs(self.key_of(number))
            assert runs <= 1, (number, runs)
        # An assertion that fails in a thread would not fail the test.
        assert not self.violations, self.violations

    def teardown(self):
        self.thaw()
        for link in self.deployment.links:
            self.deployment.set_link_faults(link)
        for name in ("kv", *_SERVERS):
            self.deployment.set_faults(name)
        for thread in self.threads:
            thread.join(_RESPONSE_TIMEOUT_S)
        self.deployment.wait_ready()
        self.runs_at_most_once()


seed(20261204)(Bookings)
TestBookingsFuzz = Bookings.TestCase
TestBookingsFuzz.settings = settings(
    max_examples=200 if _IS_LONG else 6,
    stateful_step_count=40 if _IS_LONG else 15,
    deadline=None,
    database=None,
    derandomize=not _IS_LONG,
    suppress_health_check=list(HealthCheck),
)
