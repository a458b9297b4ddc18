"""Tests rollouts of new weights, and requests during them."""

import asyncio

import pytest_asyncio
import xxhash

from sardinewharf import clocks
from sardinewharf import leases
from sardinewharf.gateway import settings as settings_lib
from sardinewharf.testbed import gateway_harness

LEASE_KEY = "sardinewharf/placement/weights"


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness(
        settings_lib.Guarantees(handover_pause_ms=600, rollout_limit_ms=4_000)
    )
    await found.start(gateways=2)
    await gateway_harness.wait_for(lambda: has_leader(found))
    yield found
    await found.close()


async def has_leader(harness) -> bool:
    return any(
        g._rollout_controller._leader_lease.find_deadline()
        for g in harness.gateways
    )


def stop_rollouts(harness):
    for gateway in harness.gateways:
        gateway._rollout_controller._is_stopping = True


def backdate_target_version(harness, version, seconds):
    """Moves the time when a target version was set into the past.

    Returns:
        The current monotonic time.
    """
    now = clocks.read_monotonic()
    for gateway in harness.gateways:
        gateway._replica.target_versions.record_peer_time(
            gateway_harness.MODEL, version, now - seconds
        )
    return now


async def set_target_version(harness, version: int) -> None:
    await harness.store.put(
        f"op/version/{gateway_harness.MODEL}",
        {"model": gateway_harness.MODEL, "version": version},
    )


async def wait_for_target(harness, version: int) -> None:
    """Waits until each gateway has read a target version from the store."""

    async def is_known() -> bool:
        return all(
            g._replica.target_versions.find_target(gateway_harness.MODEL)
            == version
            for g in harness.gateways
        )

    await gateway_harness.wait_for(is_known)


async def has_version(harness, version: int) -> bool:
    return all(engine.version == version for engine in harness.engines)


async def test_all_engines_are_brought_to_the_target_version(harness):
    await set_target_version(harness, 2)
    await gateway_harness.wait_for(lambda: has_version(harness, 2))
    assert [len(engine.orders) for engine in harness.engines] == [1, 1, 1]
    assert {o["holder"] for e in harness.engines for o in e.orders} <= {
        "vm-0",
        "vm-1",
    }
    await asyncio.sleep(0.3)
    response = await harness.send_request("/chat/1", body=b"p")
    assert response.status == 200
    ran = harness.list_executed()[-1]
    assert ran.headers["x-sardinewharf-expect-version"] == "2"
    # The digest is that of the isolated organisations: org-2 alone.
    digest = xxhash.xxh3_64_hexdigest(b"5:org-2")
    assert ran.headers["x-sardinewharf-cache-salt"] == f"m1/2+{digest}"


async def test_orders_given_together_do_not_fill_the_link(harness):
    """Guards against a broadcast to all peers for each single order.

    Fifteen orders, each broadcast to 84 peers, saturated the leader's link. Its
    calls to engines and its lease renewals timed out, and so did those of each
    gateway that became the leader after it.
    """
    sent = []
    for gateway in harness.gateways:
        broadcaster = gateway._peers._broadcaster
        send = broadcaster._send

        def record(addresses, datagram, send=send, broadcaster=broadcaster):
            size = len(datagram) * len(addresses)
            sent.append((broadcaster, clocks.read_monotonic(), size))
            send(addresses, datagram)

        broadcaster._send = record
    await set_target_version(harness, 2)
    await gateway_harness.wait_for(lambda: has_version(harness, 2))
    assert sent
    pace = gateway._peers._broadcaster._pace
    for sender, began_at, _ in sent:
        window = [
            size
            for other, at, size in sent
            if other is sender and began_at <= at <= began_at + 0.1
        ]
        assert sum(window) <= pace.burst_bytes + 0.1 * pace.bytes_per_s


async def test_engines_that_load_are_drained(harness):
    for engine in harness.engines:
        engine.load_duration_s = 0.6
    await set_target_version(harness, 2)
    await asyncio.sleep(0.2)
    for gateway in (0, 1):
        for _ in range(5):
            response = await harness.send_request(
                "/chat/1", body=b"p", gateway=gateway
            )
            assert response.status == 200
    assert sum(e.arrivals for e in harness.engines) == 10
    # `arrivals` leaves out the requests that an engine refuses while it loads.
    assert sum(e.refused for e in harness.engines) == 0


async def test_a_crashed_engine_does_not_hold_up_a_rollout(harness):
    """Crashed engines, on which nothing ran, were chosen first.

    Each was drained and waited for in vain, while engines that could have
    loaded weights waited for their turn: of the first 19 turns 16 were lost.
    """
    crashed = harness.engines[0].id
    drained = []
    for gateway in harness.gateways:
        controller = gateway._rollout_controller
        read_report = controller._control.read_report
        drain = controller._drains.drain

        async def read(endpoint, deadline, read_report=read_report):
            if endpoint.id == crashed:
                await asyncio.sleep(deadline.remaining())
                return None
            return await read_report(endpoint, deadline)

        def record_drain(endpoint_id, until, drain=drain):
            drained.append(endpoint_id)
            drain(endpoint_id, until)

        controller._control.read_report = read
        controller._drains.drain = record_drain
    await set_target_version(harness, 2)

    async def others_have_version() -> bool:
        return all(engine.version == 2 for engine in harness.engines[1:])

    await gateway_harness.wait_for(others_have_version, 4.0)
    assert crashed not in drained


async def test_a_leader_that_stops_hands_the_lease_over(harness):
    former = next(
        g
        for g in harness.gateways
        if g._rollout_controller._leader_lease.find_deadline()
    )
    other = next(g for g in harness.gateways if g is not former)
    await set_target_version(harness, 2)
    await gateway_harness.wait_for(lambda: has_version(harness, 2))
    last = max(o["at"] for e in harness.engines for o in e.orders)
    former.stop()
    await set_target_version(harness, 3)

    async def is_taken() -> bool:
        return bool(other._rollout_controller._leader_lease.epoch)

    await gateway_harness.wait_for(is_taken, 1.5)
    await gateway_harness.wait_for(lambda: has_version(harness, 3))
    orders = [o for e in harness.engines for o in e.orders if o["version"] == 3]
    assert min(o["at"] for o in orders) - last >= 0.6
    fences = [o["fence"] for e in harness.engines for o in e.orders]
    assert min(o["fence"] for o in orders) > min(fences)


async def test_a_gateway_that_stops_takes_no_free_lease(harness):
    """A gateway that stopped while it waited for its turn took the lease.

    It had resigned by then, so that nobody was the leader until it expired.
    """
    controllers = [g._rollout_controller for g in harness.gateways]
    controllers.sort(key=lambda c: bool(c._leader_lease.epoch))
    other, leader = controllers
    other._choose_acquire_delay = lambda: 0.6
    await leader.stop()
    await asyncio.sleep(0.4)
    await other.stop()
    await asyncio.sleep(0.8)
    assert not other._leader_lease.epoch
    record = harness.store.find_value(LEASE_KEY)
    assert leases.decode_lease_record(record).holder == ""


async def test_a_leader_whose_lease_ended_gives_no_order(harness):
    leader = next(
        g
        for g in harness.gateways
        if g._rollout_controller._leader_lease.find_deadline()
    )
    harness.store.faults.status = 503
    deadline = leader._rollout_controller._leader_lease.find_deadline()
    await asyncio.sleep(deadline.remaining() + 0.05)
    assert leader._rollout_controller._leader_lease.find_deadline() is None


async def test_a_restarted_gateway_does_not_take_old_weights_for_new(harness):
    """Guards against old weights being taken for the target after a restart.

    A restarted gateway does not know when the target version was set. It
    started requests on weights that had been replaced long ago.
    """
    stop_rollouts(harness)
    await set_target_version(harness, 2)
    await wait_for_target(harness, 2)
    backdate_target_version(harness, 2, 3.0)
    late = await harness.start_gateway("vm-late")
    late._rollout_controller._is_stopping = True
    await asyncio.sleep(0.5)
    response = await harness.send_request("/chat/1", body=b"p", gateway=2)
    assert response.status == 503
    assert harness.list_executed() == []


async def test_an_order_without_an_answer_is_repeated_without_harm(harness):
    engine = harness.engines[0]
    accept_order = engine._handle_order
    lost_orders = []

    def lose_first(connection, order):
        if not lost_orders:
            lost_orders.append(order)
            connection.transport.abort()
            return
        accept_order(connection, order)

    engine._handle_order = lose_first
    await set_target_version(harness, 2)
    await gateway_harness.wait_for(lambda: has_version(harness, 2))
    assert lost_orders and len(engine.orders) == 1


async def test_a_newer_target_version_does_not_excuse_older_weights(harness):
    """Guards against a target version that extends the limit of an older one.

    Requests started on version 2 later than 10 s after version 3 was set, since
    version 4 had just been set.
    """
    stop_rollouts(harness)
    await set_target_version(harness, 2)
    await wait_for_target(harness, 2)
    backdate_target_version(harness, 2, 3.0)
    await set_target_version(harness, 3)
    await wait_for_target(harness, 3)
    response = await harness.send_request("/chat/1", body=b"p")
    assert response.status == 503
    assert harness.list_executed() == []


async def test_a_request_that_waits_at_old_weights_is_taken_back(harness):
    """Guards against requests that start on replaced weights too late.

    Requests that were sent in time waited 2 s in the engine's queue and started
    after the limit.
    """
    stop_rollouts(harness)
    for engine in harness.engines:
        engine.request_duration_s = 5.0
    await set_target_version(harness, 2)
    await wait_for_target(harness, 2)
    now = backdate_target_version(harness, 2, 2.0)
    response = await harness.send_request("/chat/1", body=b"p")
    assert response.status in (502, 504)
    assert clocks.read_monotonic() - now < 2.0


async def test_dead_engines_do_not_hold_up_the_others(harness):
    """Guards against a rollout that keeps trying an engine that is down.

    A crashed engine that was still registered took every second slot of the
    rollout.
    """
    await harness.engines[0].stop()
    await set_target_version(harness, 2)

    async def are_done() -> bool:
        return all(engine.version == 2 for engine in harness.engines[1:])

    await gateway_harness.wait_for(are_done, 2.5)


async def test_unanswered_orders_are_repeated_soon(harness):
    for engine in harness.engines:
        lose_responses(engine, count=3)
    await set_target_version(harness, 2)
    await gateway_harness.wait_for(lambda: has_version(harness, 2), 6.0)
    assert [len(engine.orders) for engine in harness.engines] == [1, 1, 1]


def lose_responses(engine, count):
    accept_order = engine._handle_order
    lost_orders = []

    def lose(connection, order):
        if len(lost_orders) < count:
            lost_orders.append(order)
            return
        accept_order(connection, order)

    engine._handle_order = lose


async def test_a_long_prompt_that_cannot_be_served_is_refused_at_once(harness):
    """Guards against queueing a prompt that cannot be served in time.

    With 456 000 prompt tokens queued, a caller gave up after 3.2 s instead of
    being refused at once.
    """
    for engine in harness.engines:
        harness.gateways[0]._loads.begin(engine.id, prompt_tokens=456_000)
    began = clocks.read_monotonic()
    long = await harness.send_request(
        "/chat/1",
        body=b"p",
        x_sardinewharf_token_usage="17000,20",
        x_sardinewharf_prompt_prefix="aa:13000,bb:4000",
    )
    assert long.status == 503
    assert float(long.headers["retry-after"]) > 0
    assert clocks.read_monotonic() - began < 0.5
    short = await harness.send_request(
        "/chat/1",
        body=b"p",
        x_sardinewharf_token_usage="300,20",
        x_sardinewharf_prompt_prefix="cc:100,dd:200",
    )
    assert short.status == 200


async def test_an_order_that_lands_late_does_not_bring_back_old_weights(
    harness,
):
    """Some engines carry out orders of a former leader, seconds late.

    Each order states how many the engine has accepted before, so that one that
    was overtaken by a newer one does nothing there.
    """
    for engine in harness.engines:
        engine.checks_fences = False
    await set_target_version(harness, 2)
    await gateway_harness.wait_for(lambda: has_version(harness, 2))
    late = [(engine, dict(engine.orders[0])) for engine in harness.engines]
    await set_target_version(harness, 3)
    await gateway_harness.wait_for(lambda: has_version(harness, 3))
    for engine, order in late:
        body = {name: value for name, value in order.items() if name != "at"}
        async with harness.session.post(
            f"http://{engine.address}/-/order", json=body
        ) as response:
            assert response.status == 409
    assert await has_version(harness, 3)


async def test_an_order_that_an_old_report_follows_keeps_its_drain(harness):
    """A conflict with the sender's own lost order ended the engine's drain.

    Reports are some hundred milliseconds old. After an order whose answer was
    lost, the next one stated the number of orders before it, was refused for
    that, and requests were sent to the engine while it loaded.
    """
    engine = harness.engines[0]
    engine.load_duration_s = 1.5
    delay_reports(engine, seconds=0.4)
    accept_order = engine._handle_order

    def lose_acceptance(connection, order):
        if not engine.orders:
            connection = DiscardingConnection()
        accept_order(connection, order)

    engine._handle_order = lose_acceptance
    await asyncio.sleep(0.5)
    await set_target_version(harness, 2)
    undrained = []

    async def has_loaded() -> bool:
        if engine._is_busy() and not any(
            g._drains.is_draining(engine.id) for g in harness.gateways
        ):
            undrained.append(clocks.read_monotonic())
        return bool(engine.orders) and not engine._is_busy()

    await gateway_harness.wait_for(has_loaded)
    assert not undrained
    assert len(engine.orders) == 1


class DiscardingConnection:
    """Discards the answer to an order."""

    def reply(self, status, headers, body=b""):
        pass


def delay_reports(engine, seconds):
    """Makes an engine report its state of some time ago."""
    make_report = engine._make_report
    made = []

    async def record():
        while True:
            made.append((clocks.read_monotonic(), make_report()))
            await asyncio.sleep(0.02)

    task = asyncio.ensure_future(record())

    def report():
        assert not task.cancelled()
        until = clocks.read_monotonic() - seconds
        old = [found for at, found in made if at <= until]
        return old[-1] if old else made[0][1]

    engine._make_report = report


def get_notices(harness):
    return [gateway._notices for gateway in harness.gateways]


async def test_an_engine_that_says_that_it_leaves_is_not_updated(harness):
    """Its load of weights would be for nothing."""
    leaving, *others = harness.engines
    registry = harness.gateways[0]._replica.registry
    now = clocks.read_monotonic()
    for notices in get_notices(harness):
        notices.departures.record(
            registry.find(leaving.id), clocks.Deadline(now + 2.0), now
        )
    await set_target_version(harness, 2)

    async def are_updated():
        return all(engine.version == 2 for engine in others)

    await gateway_harness.wait_for(are_updated)
    await asyncio.sleep(1.0)
    assert leaving.orders == []


async def test_a_pause_of_the_engines_does_not_stop_a_rollout(harness):
    """Full engines ask for pauses all the time, and must be updated too."""
    now = clocks.read_monotonic()
    for notices in get_notices(harness):
        for engine in harness.engines:
            notices.pauses.record(
                f"{engine.id}@1", clocks.Deadline(now + 60.0), now
            )
    await set_target_version(harness, 2)
    await gateway_harness.wait_for(lambda: has_version(harness, 2))


class _EndingEngines:
    """Makes engines end when they load a version, and be back at once.

    Attributes:
        ended: Number of engines that ended.
    """

    def __init__(self, harness, version):
        self._harness = harness
        self._version = version
        self._tasks = set()
        self.ended = 0
        for engine in harness.engines:
            engine.record_order = self._make_handler(engine)

    def _make_handler(self, engine):
        def end(order):
            if order["version"] == self._version:
                task = asyncio.ensure_future(self._restart(engine))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

        return end

    async def _restart(self, engine):
        # The order has been accepted.
        await asyncio.sleep(0.05)
        self.ended += 1
        port = int(engine.address.rpartition(":")[2])
        former_id = engine.id
        await engine.stop()
        await self._harness.store.remove(f"servers/{former_id}")
        engine.id = f"{former_id.partition('-')[0]}-{self.ended}"
        engine.version = 1
        engine._busy_until = 0.0
        engine.orders.clear()
        await asyncio.sleep(1.0)
        await engine.start(port)
        await self._harness.register(engine, born=1 + self.ended)


# Failures were kept for one engine, whose id was another after each end, so
# that weights which no engine could load ended all of them again and again.
async def test_weights_that_end_each_engine_are_halted(harness):
    engines = _EndingEngines(harness, version=2)
    await set_target_version(harness, 2)
    await asyncio.sleep(12.0)
    assert 1 <= engines.ended <= 5
    await set_target_version(harness, 3)

    async def has_loaded():
        return all(engine.version == 3 for engine in harness.engines)

    await gateway_harness.wait_for(has_loaded, 10.0)


async def test_engines_that_crash_together_do_not_halt_a_version(harness):
    """Guards against sound weights that are halted by unrelated crashes.

    All engines crashed twice while some of them loaded a version. Their ends
    counted as those of the weights, which were halted for 15 s, longer than a
    version may take.
    """
    controller = harness.gateways[0]._rollout_controller
    endpoints = [
        harness.gateways[0]._replica.registry.find(engine.id)
        for engine in harness.engines
    ]
    await asyncio.gather(*(engine.stop() for engine in harness.engines))
    for endpoint in endpoints:
        controller._updating = {endpoint.id}
        await controller._record_load_failure(endpoint, "m1", 2)
    assert not controller._load_failures.is_halted("m1", 2)


async def test_engines_that_crash_alone_halt_a_version(harness):
    """Guards against bad weights that are taken for an outage."""
    controller = harness.gateways[0]._rollout_controller
    registry = harness.gateways[0]._replica.registry
    for engine in harness.engines:
        endpoint = registry.find(engine.id)
        port = int(engine.address.rpartition(":")[2])
        controller._updating = {endpoint.id}
        await engine.stop()
        await controller._record_load_failure(endpoint, "m1", 2)
        await engine.start(port)
    assert controller._load_failures.is_halted("m1", 2)


async def wait_for_order(harness, version, seconds):
    """Waits until an engine was ordered to load a version."""

    async def is_ordered() -> bool:
        orders = [o for e in harness.engines for o in e.orders]
        return any(order["version"] == version for order in orders)

    await gateway_harness.wait_for(is_ordered, seconds)


async def wait_for_version(harness, version):
    await gateway_harness.wait_for(lambda: has_version(harness, version))


async def test_a_leader_that_is_killed_and_back_goes_on_at_once(harness):
    """Guards against a wait that begins anew with each process.

    A leader that was killed each 4.4 s blocked a rollout: its former lease had
    to expire, and the pause behind its own orders to end.
    """
    await set_target_version(harness, 2)
    await wait_for_version(harness, 2)
    for version in (3, 4, 5):
        index, leader = next(
            (n, g)
            for n, g in enumerate(harness.gateways)
            if g._rollout_controller._leader_lease.find_deadline()
        )
        name = leader._settings.name
        await harness.kill_gateway(index)
        await harness.start_gateway(name)
        await set_target_version(harness, version)
        await wait_for_order(harness, version, 1.0)
        await wait_for_version(harness, version)
    orders = [o for e in harness.engines for o in e.orders]
    assert len({order["fence"] for order in orders}) == 4
    assert len({order["holder"] for order in orders}) == 1
