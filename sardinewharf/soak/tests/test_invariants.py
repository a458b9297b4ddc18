"""Tests that each invariant's check reports a history that violates it."""

import msgspec
import pytest

from sardinewharf.soak import callers
from sardinewharf.soak import crashes
from sardinewharf.soak import deployment as deployment_lib
from sardinewharf.soak import faults
from sardinewharf.soak import invariants
from sardinewharf.soak import journals
from sardinewharf.soak import operators
from sardinewharf.soak import server

KEY = operators.PERMANENT_KEYS[0]
STARTED_AT = 100.0
NOW = 150.0


class History:
    """Requests and journals of a deployment that was never started."""

    def __init__(self, folder):
        self.deployment = deployment_lib.Deployment(
            folder, deployment_lib.DeploymentSize(1, 2, 1)
        )
        self.operator = operators.Operator(self.deployment)
        self.pool = callers.CallerPool(self.deployment, self.operator, seed=1)
        self.faults = []

    def send(self, request, path="/look/", **changes):
        attempt = callers.Attempt(request, "g0", path, KEY, 110.0, 110.1)
        attempt.status = 200
        attempt.stamp = "s0.1.stamp"
        attempt.body = server.make_response_body(request)
        attempt.is_complete = True
        for name, value in changes.items():
            setattr(attempt, name, value)
        self.pool.attempts.append(attempt)

    def run(self, request, path="/look/", name="s0", **changes):
        service = "engines" if name.startswith("e") else "orders"
        note = {
            "at": 110.0,
            "request": request,
            "service": service,
            "server": f"{name}.1",
            "target": f"{path}1?ms=0",
            "organisation": "org-1",
            "has_key": False,
        }
        self.record(name, journals.Began(**(note | changes)))

    def record(self, name, note):
        journals.Journal(self.deployment.find_journal(name)).write(note)

    def list_violated(self):
        timeline = invariants.Timeline(STARTED_AT, self.faults)
        checker = invariants.InvariantChecker(
            self.deployment, self.pool, self.operator, timeline
        )
        checker.check_final(NOW)
        return {finding.invariant for finding in checker.findings}


def lose(history, request, path="/look/", **changes):
    lost = {"status": 0, "is_complete": False, "stamp": "", "body": b""}
    history.send(request, path, **(lost | changes))


def cut_stream(history):
    event = server.make_event("r1", 1)
    history.send(
        "r1", "/ask/", stamp="e0.1.stamp", body=event, is_complete=False
    )
    history.run("r1", "/ask/", "e0")


def override(history, changed, value):
    span = operators.OverrideSpan(changed, value, 109.0, 112.0)
    history.operator.spans.append(span)


@pytest.fixture
def history(tmp_path):
    created = History(tmp_path)
    # A request that is served at the end satisfies the recovery check.
    created.send("late", sent_at=140.0, ended_at=140.1)
    created.run("late")
    return created


def test_a_sound_history_has_no_finding(history):
    history.send("r1")
    history.run("r1")
    assert history.list_violated() == set()


def test_two_runs_of_a_booking(history):
    history.send("r1", "/book/")
    history.run("r1", "/book/")
    history.run("r1", "/book/")
    assert history.list_violated() == {invariants.Invariant.ONCE}


def test_a_refusal_of_what_has_run(history):
    history.send("r1", "/book/", status=503)
    history.run("r1", "/book/")
    assert history.list_violated() == {invariants.Invariant.NOT_RUN}


def test_a_response_to_another_request(history):
    history.send("r1", body=b"answer to r2")
    history.run("r1")
    assert history.list_violated() == {invariants.Invariant.ANSWER}


def test_a_response_signed_by_another_server(history):
    history.send("r1", stamp="s9.1.stamp")
    history.run("r1")
    assert history.list_violated() == {invariants.Invariant.ANSWER}


def test_a_stream_that_lacks_an_event(history):
    events = [server.make_event("r1", number) for number in (1, 2, 4)]
    history.send("r1", "/chat/", stamp="e0.1.stamp", body=b"".join(events))
    history.run("r1", "/chat/", "e0")
    assert history.list_violated() == {invariants.Invariant.ORDER}


def test_a_request_that_nobody_sent(history):
    history.run("r1")
    assert history.list_violated() == {invariants.Invariant.KNOWN}


def test_a_key_that_was_passed_on(history):
    history.send("r1")
    history.run("r1", has_key=True)
    assert history.list_violated() == {invariants.Invariant.KNOWN}


def test_a_request_at_another_service(history):
    history.send("r1", stamp="e0.1.stamp")
    history.run("r1", name="e0")
    assert history.list_violated() == {invariants.Invariant.ROUTE}


def test_a_key_that_was_revoked_long_ago(history):
    history.operator.revoked[KEY] = operators.Change(KEY, 104.0)
    history.send("r1")
    history.run("r1")
    assert invariants.Invariant.REVOKED in history.list_violated()


def test_a_new_route_that_is_not_served(history):
    history.operator.routes.append(operators.Change("/new-0/", 104.0))
    history.send("r1", "/new-0/", status=404)
    assert history.list_violated() == {invariants.Invariant.APPLIED}


def test_refusals_of_what_is_allowed(history):
    for number in range(7):
        history.send(f"r{number}", status=401, stamp="", body=b"")
    assert history.list_violated() == {invariants.Invariant.DENIED}


def test_too_many_retries(history):
    history.send("r1")
    history.run("r1")
    for _ in range(60):
        history.record("s0", journals.Arrived(110.0, "r1", "orders"))
    assert history.list_violated() == {invariants.Invariant.RETRIES}


def test_a_request_that_a_restart_cost(history):
    history.faults.append(faults.Restart(8.0, 11.0, "g0"))
    history.send("r1", "/book/", status=0, is_complete=False, body=b"")
    history.run("r1", "/book/")
    assert history.list_violated() == {invariants.Invariant.LOST}


def test_a_request_that_a_kill_cost_is_no_finding(history):
    history.faults.append(faults.Kill(8.0, 11.0, "g0"))
    history.send("r1", "/book/", status=0, is_complete=False, body=b"")
    history.run("r1", "/book/")
    assert history.list_violated() == set()


def test_a_request_that_a_server_fault_left_without_an_answer(history):
    """Guards against connections closed since a server's answer is faulty."""
    history.faults.append(
        faults.ServerFault(8.0, 11.0, "stale_refusal", {}, "s0")
    )
    lose(history, "r1", "/book/")
    history.run("r1", "/book/")
    assert history.list_violated() == {invariants.Invariant.LOST}


def test_a_request_that_was_read_and_never_ran(history):
    """Guards against connections that end before a request is sent on."""
    lose(history, "r1", ended_at=111.0)
    assert history.list_violated() == {invariants.Invariant.LOST}


@pytest.mark.parametrize("connecting_s", [0.0, 0.2])
def test_a_new_connection_without_an_answer(history, connecting_s):
    """Guards against connections that are closed before their request."""
    lose(history, "r1", was_sent=True, connecting_s=connecting_s)
    assert history.list_violated() == {invariants.Invariant.LOST}


def test_a_request_that_crosses_the_close_of_a_slow_connect(history):
    lose(history, "r1", was_sent=True, connecting_s=0.3)
    assert history.list_violated() == set()


def test_a_half_closed_connection_without_an_answer(history):
    """Guards against callers that close their sending side for nothing."""
    lose(history, "r1", was_sent=True, is_half_closed=True)
    assert history.list_violated() == {invariants.Invariant.LOST}


def test_a_half_closed_connection_that_is_refused_is_no_finding(history):
    history.send("r1", status=502, stamp="", body=b"", is_half_closed=True)
    history.run("r1")
    assert history.list_violated() == set()


def test_a_half_closed_request_that_ran_and_was_refused(history):
    """Guards against a refusal to callers that close their sending side."""
    history.send("r1", "/book/", status=503, is_half_closed=True)
    history.run("r1", "/book/")
    assert history.list_violated() == {invariants.Invariant.NOT_RUN}


def test_a_request_that_crosses_an_idle_limit_is_no_finding(history):
    override(history, operators.Override.IDLE_LIMIT_MS, 100)
    lose(history, "r1", was_sent=True, is_reused=True)
    assert history.list_violated() == set()


def test_a_request_that_ran_beside_a_changed_idle_limit(history):
    """Guards against limits of idle connections that end a running request."""
    override(history, operators.Override.IDLE_LIMIT_MS, 100)
    lose(history, "r1", "/book/", was_sent=True, is_reused=True)
    history.run("r1", "/book/")
    assert history.list_violated() == {invariants.Invariant.LOST}


def test_a_stream_that_a_short_pause_cut(history):
    """Guards against engines given up although they go on."""
    history.faults.append(faults.ShortPause(9.0, 10.2, ("e0", "e1")))
    cut_stream(history)
    assert history.list_violated() == {invariants.Invariant.CALM}


def test_a_stream_that_a_change_cut(history):
    """Guards against changes that end what was admitted before them."""
    override(history, operators.Override.ROUTE, "ask")
    cut_stream(history)
    assert history.list_violated() == {invariants.Invariant.CALM}


def test_a_stream_that_its_timeout_cut_is_no_finding(history):
    override(history, operators.Override.TIMEOUT_MS, 50)
    cut_stream(history)
    assert history.list_violated() == set()


def test_a_stream_that_its_engine_cut_is_no_finding(history):
    history.faults.append(faults.ServerFault(9.0, 10.5, "cut_after", 2, "e0"))
    cut_stream(history)
    assert history.list_violated() == set()


def test_a_failure_without_a_fault(history):
    """Guards against sound servers of which a gateway says that they failed."""
    history.send("r1", "/book/", status=502, stamp="")
    history.run("r1", "/book/")
    assert history.list_violated() == {invariants.Invariant.CALM}


def test_a_refusal_of_another_request(history):
    """Guards against an earlier refusal that is passed on to the next."""
    history.send("r1", status=503, stamp="", answered_request="r0")
    assert history.list_violated() == {invariants.Invariant.ANSWER}


def test_bytes_that_no_request_waits_for(history):
    """Guards against a second answer on a caller's connection."""
    history.pool.strays.append("g0 sent b'HTTP/1.1 503' after r1")
    assert history.list_violated() == {invariants.Invariant.ANSWER}


def test_a_dropped_route_may_be_unknown(history):
    override(history, operators.Override.ROUTE, "look")
    for number in range(7):
        history.send(f"r{number}", status=404, stamp="", body=b"")
    assert history.list_violated() == set()


@pytest.mark.parametrize(
    "leaving",
    [
        {"status": 0, "is_complete": False, "disconnected_at": 110.2},
        {"status": 502, "stamp": "", "is_half_closed": True},
    ],
)
def test_servers_that_go_on_for_nobody(history, leaving):
    for number in range(6):
        request = f"r{number}"
        history.send(request, body=b"", **leaving)
        history.run(request)
        history.record("s0", journals.Ended(111.0, request, "s0.1"))
    assert history.list_violated() == {invariants.Invariant.GONE}


def test_two_holders_with_one_fence(history):
    for holder in ("g0", "g1"):
        history.record("e0", journals.Ordered(110.0, "e0.1", holder, 7, 2))
    assert history.list_violated() == {invariants.Invariant.HOLDER}


def test_a_cache_that_two_versions_share(history):
    for request, weights in (("r1", 1), ("r2", 2)):
        events = [server.make_event(request, n) for n in range(1, 5)]
        history.send(
            request, "/ask/", stamp="e0.1.stamp", body=b"".join(events)
        )
        history.run(request, "/ask/", "e0", salt="m1/1", weights=weights)
    assert history.list_violated() == {invariants.Invariant.CACHE}


def test_old_weights_at_the_end(history):
    history.operator.target_versions.append(operators.Change("2", 104.0))
    assert history.list_violated() == {invariants.Invariant.WEIGHTS}


def test_refusals_at_the_end(history):
    history.send("r1", sent_at=141.0, ended_at=141.1, status=503)
    assert history.list_violated() == {invariants.Invariant.RECOVERY}


def test_an_error_of_the_gateway_itself(history):
    history.send("r1", status=500, stamp="")
    history.faults.append(faults.Kill(8.0, 11.0, "g0"))
    assert history.list_violated() == {invariants.Invariant.INTERNAL}


def test_a_background_task_that_ended(history):
    log = history.deployment.find_log("g0")
    log.write_text("ERROR tasks: Task sync failed.\n")
    assert history.list_violated() == {invariants.Invariant.PROCESS}


def leave(history, *notes):
    """Registers s0 as draining, and lets r1 arrive there 3 s later."""
    history.record("s0", journals.Registered(107.0, "s0.1", "draining"))
    for note in notes:
        history.record("s0", note)
    history.send("r1", sent_at=110.0, ended_at=110.1)
    history.run("r1")
    arrival = journals.Arrived(110.0, "r1", "orders", "s0.1")
    history.record("s0", arrival)


def test_a_request_to_a_server_whose_entry_left(history):
    leave(history)
    assert history.list_violated() == {invariants.Invariant.DRAIN}


@pytest.mark.parametrize(
    "note",
    [
        journals.Registered(109.0, "s0.1", "ready"),
        journals.Started(109.0, "s0.1"),
        journals.Refused(110.0, "r1", "s0.1", 421),
    ],
)
def test_a_server_that_is_back_or_another_gets_requests(history, note):
    leave(history, note)
    assert history.list_violated() == set()


@pytest.mark.parametrize(
    "fault",
    [
        faults.Pause(3.0, 5.0, "g0"),
        faults.LinkFault(8.0, 9.0, "cut", True, "store-g0"),
        faults.StoreFault(8.0, 9.0, "status", 503),
    ],
)
def test_a_gateway_out_of_touch_may_miss_a_drain(history, fault):
    history.faults.append(fault)
    leave(history)
    assert history.list_violated() == set()


@pytest.mark.parametrize(
    "fault",
    [
        faults.Pause(8.0, 9.0, "g1"),
        faults.ServerFault(8.0, 9.0, "status", 500, "s0"),
        faults.Reload(8.0, 8.0, "g0"),
    ],
)
def test_other_faults_excuse_no_drain(history, fault):
    history.faults.append(fault)
    leave(history)
    assert history.list_violated() == {invariants.Invariant.DRAIN}


def cut_long_stream(history, sent_at):
    """Lets g0 stop from 106 to 114, and cuts a stream at the end of it."""
    history.faults.append(faults.BusyRestart(6.0, 14.0, "g0"))
    event = server.make_event("r1", 1)
    history.send(
        "r1",
        "/ask-long/",
        stamp="e0.1.stamp",
        body=event,
        is_complete=False,
        sent_at=sent_at,
        ended_at=113.9,
    )
    history.run("r1", "/ask-long/", "e0")


def test_a_stream_that_was_taken_late_in_a_shutdown_and_cut(history):
    cut_long_stream(history, 109.5)
    assert history.list_violated() == {invariants.Invariant.LOST}


def test_a_stream_from_before_a_shutdown_may_be_cut_at_its_end(history):
    cut_long_stream(history, 108.5)
    assert history.list_violated() == set()


def test_a_stream_that_its_engine_cut_late_in_a_shutdown(history):
    history.faults.append(faults.Kill(13.0, 14.0, "e0"))
    cut_long_stream(history, 109.5)
    assert history.list_violated() == set()


def test_a_long_request_that_a_shutdown_left_without_an_answer(history):
    history.faults.append(faults.BusyRestart(6.0, 14.0, "g0"))
    lose(history, "r1", "/book-long/", sent_at=106.5, ended_at=113.9)
    history.run("r1", "/book-long/")
    assert history.list_violated() == {invariants.Invariant.LOST}


def test_a_long_request_that_a_shutdown_ended_with_a_failure(history):
    history.faults.append(faults.BusyRestart(6.0, 14.0, "g0"))
    long = {"sent_at": 106.5, "ended_at": 113.9}
    history.send("r1", "/book-long/", status=502, stamp="", **long)
    history.run("r1", "/book-long/")
    assert history.list_violated() == set()


def test_a_long_request_that_ran_and_was_refused(history):
    history.faults.append(faults.BusyRestart(6.0, 14.0, "g0"))
    long = {"sent_at": 106.5, "ended_at": 113.9}
    history.send("r1", "/book-long/", status=503, stamp="", **long)
    history.run("r1", "/book-long/")
    assert history.list_violated() == {invariants.Invariant.NOT_RUN}


def test_a_long_request_that_fails_without_a_shutdown(history):
    history.send("r1", "/book-long/", status=502, stamp="")
    history.run("r1", "/book-long/")
    assert history.list_violated() == {invariants.Invariant.CALM}


def pass_on_leaving(history, sent_at, *notes):
    """Lets g0 pass on at 107 that s0 leaves, and sends r2 there later."""
    history.send("r1", sent_at=106.9, ended_at=107.0)
    history.run("r1")
    history.record("s0", journals.Leaving(106.9, "r1", "s0.1"))
    for note in notes:
        history.record("s0", note)
    history.send("r2", sent_at=sent_at, ended_at=sent_at + 0.1)
    history.run("r2")
    arrival = journals.Arrived(sent_at, "r2", "orders", "s0.1")
    history.record("s0", arrival)


def test_a_request_to_a_server_that_said_that_it_leaves(history):
    history.faults.append(faults.Leave(6.0, 8.0, "s0", False, False))
    pass_on_leaving(history, 109.5)
    assert history.list_violated() == {invariants.Invariant.DRAIN}


def test_a_request_soon_after_a_server_said_that_it_leaves(history):
    pass_on_leaving(history, 109.2)
    assert history.list_violated() == set()


@pytest.mark.parametrize("kind", [faults.Kill, faults.Restart, faults.Pause])
def test_a_gateway_that_restarted_may_not_know_who_leaves(history, kind):
    history.faults.append(kind(8.0, 8.5, "g0"))
    pass_on_leaving(history, 109.5)
    assert history.list_violated() == set()


def test_a_fault_of_another_gateway_excuses_no_request(history):
    history.faults.append(faults.Restart(8.0, 8.5, "g1"))
    pass_on_leaving(history, 109.5)
    assert history.list_violated() == {invariants.Invariant.DRAIN}


@pytest.mark.parametrize(
    "note",
    [
        journals.Started(108.5, "s0.1"),
        journals.Refused(109.5, "r2", "s0.1", 421),
    ],
)
def test_a_server_that_came_back_under_its_id(history, note):
    pass_on_leaving(history, 109.5, note)
    assert history.list_violated() == set()


def test_a_leaving_server_whose_answer_was_not_passed_on(history):
    history.send("r1", sent_at=106.9, ended_at=107.0, stamp="s1.1.stamp")
    history.run("r1", server="s1.1")
    history.record("s0", journals.Leaving(106.9, "r1", "s0.1"))
    history.send("r2")
    history.run("r2")
    history.record("s0", journals.Arrived(110.0, "r2", "orders", "s0.1"))
    assert history.list_violated() == set()


def back_off(history, retry_after="2", times=(110.6, 110.7, 111.9)):
    """Lets s0 refuse r0 at 110, and requests of g0 arrive there later."""
    history.send("r0")
    history.run("r0")
    note = journals.Refused(110.0, "r0", "s0.1", 503, retry_after)
    history.record("s0", note)
    for number, at in enumerate(times, start=1):
        request = f"r{number}"
        history.send(request, sent_at=at, ended_at=at + 0.1)
        history.run(request)
        arrival = journals.Arrived(at, request, "orders", "s0.1")
        history.record("s0", arrival)


def test_requests_to_a_server_that_asked_for_a_pause(history):
    back_off(history)
    assert history.list_violated() == {invariants.Invariant.BACKOFF}


@pytest.mark.parametrize(
    "times", [(110.6, 110.7), (110.1, 110.2, 110.3), (110.6, 110.7, 112.1)]
)
def test_few_requests_or_none_within_a_pause(history, times):
    back_off(history, times=times)
    assert history.list_violated() == set()


@pytest.mark.parametrize("retry_after", ["", "-2", "0", "soon"])
def test_a_refusal_that_asks_for_no_pause(history, retry_after):
    back_off(history, retry_after)
    assert history.list_violated() == set()


@pytest.mark.parametrize(
    "fault",
    [
        faults.Kill(11.0, 11.2, "g0"),
        faults.Restart(11.0, 11.2, "g0"),
        faults.Pause(11.0, 11.2, "g0"),
        faults.LinkFault(11.0, 11.2, "cut", True, "store-g0"),
        faults.LinkFault(9.9, 10.2, "hold_answers", True, "s0"),
        faults.ServerFault(9.9, 10.2, "garbage", True, "s0"),
    ],
)
def test_a_gateway_may_miss_or_forget_a_refusal(history, fault):
    history.faults.append(fault)
    back_off(history)
    assert history.list_violated() == set()


@pytest.mark.parametrize(
    "fault",
    [
        faults.Backoff(9.0, 12.0, "backoff", {}, "s0"),
        faults.Kill(11.0, 11.2, "g1"),
        faults.ServerFault(11.0, 11.2, "garbage", True, "s1"),
        faults.Reload(11.0, 11.0, "g0"),
    ],
)
def test_other_faults_excuse_no_request_within_a_pause(history, fault):
    history.faults.append(fault)
    back_off(history)
    assert history.list_violated() == {invariants.Invariant.BACKOFF}


def crash_servers(history, later, crashed=3, is_part=False):
    """Records requests that crash servers, and later arrivals."""
    order = crashes.CrashOrder(1, "/ask/", 1.0, False, False, is_part)
    encoded = msgspec.json.encode(order)
    for number, at in enumerate([111.0] * crashed + later):
        request = f"crash-{number}"
        history.send(
            request, status=502, stamp="", crash_order=encoded, sent_at=at
        )
        history.record("s0", journals.Arrived(at, request, "orders", "s0.1"))
        if number < crashed:
            history.record("s0", journals.Crashed(at, request, "s0.1"))


def test_a_request_that_crashes_servers_again_and_again(history):
    history.faults = [faults.CrashRisk(10.0, 20.0, "s0")]
    crash_servers(history, [118.0] * 4)
    assert history.list_violated() == {invariants.Invariant.CRASHES}


def test_a_request_that_crashes_servers_and_is_stopped(history):
    history.faults = [faults.CrashRisk(10.0, 20.0, "s0")]
    crash_servers(history, [112.0] * 40 + [118.0] * 3)
    assert history.list_violated() == set()


def test_a_part_that_crashes_servers_again_and_again(history):
    history.faults = [faults.CrashRisk(10.0, 20.0, "s0")]
    crash_servers(history, [118.0] * 4, crashed=5, is_part=True)
    assert history.list_violated() == {invariants.Invariant.CRASHES}


@pytest.mark.parametrize("crashed, late", [(4, 10), (5, 3)])
def test_a_part_that_crashes_servers_and_is_stopped(history, crashed, late):
    history.faults = [faults.CrashRisk(10.0, 20.0, "s0")]
    crash_servers(history, [118.0] * late, crashed, is_part=True)
    assert history.list_violated() == set()


def serve_beside_part(history, served_share):
    """Records sound streams before and after a part has crashed servers."""
    history.faults = [faults.CrashRisk(10.0, 40.0, "e0")]
    crash_servers(history, [140.0], crashed=5, is_part=True)
    for number in range(60):
        sent_at = 110.0 if number < 30 else 130.0
        is_served = number < 30 or number % 30 < 30 * served_share
        name = f"sound-{number}"
        events = [server.make_event(name, event) for event in range(1, 5)]
        history.send(
            name,
            "/ask/",
            stamp="e0.1.stamp" if is_served else "",
            was_sent=True,
            status=200 if is_served else 503,
            body=b"".join(events) if is_served else b"",
            sent_at=sent_at,
            ended_at=sent_at + 0.1,
        )
        if is_served:
            history.run(name, "/ask/", "e0", at=sent_at)


def test_sound_requests_that_are_refused_beside_a_part(history):
    serve_beside_part(history, 0.4)
    assert invariants.Invariant.SOUND in history.list_violated()


def test_sound_requests_that_are_served_beside_a_part(history):
    serve_beside_part(history, 0.6)
    assert invariants.Invariant.SOUND not in history.list_violated()
