"""Tests requests in flight while the configuration changes under them.

Each must end with a whole response or a true refusal. A request looks up again,
after it was admitted: its route and key before each further attempt, and the
service's endpoints, limits and pools with each attempt.
"""

import asyncio
import contextlib
import random

import pytest
import pytest_asyncio

from sardinewharf.gateway.tests import callers
from sardinewharf.testbed import gateway_harness

_APPLIED_S = 0.25
_NOT_RUN_STATUSES = {401, 404, 408, 421, 429, 503}
_PATHS = ["/chat/1", "/ask/1", "/book/1", "/look/1", "/open/1"]
_EVENTS = 12
_EVENT_INTERVAL_S = 0.06


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness()
    for engine in found.engines:
        engine.events = _EVENTS
        engine.event_interval_s = _EVENT_INTERVAL_S
    for server in found.servers:
        server.request_duration_s = 0.7
    await found.start()
    yield found
    await found.close()


async def put(harness, version, **changes):
    manifest = gateway_harness.make_manifest(version)
    for name, value in changes.items():
        manifest[name] = manifest[name] | value if name == "limits" else value
    await harness.store.put("op/config", manifest)


async def drop_routes_and_keys(harness):
    await put(harness, 2, routes=[], tenants=[])
    await asyncio.sleep(_APPLIED_S)
    await put(harness, 3)


async def drop_services(harness):
    await put(harness, 2, services=[], routes=[])
    await asyncio.sleep(_APPLIED_S)


async def narrow_connections(harness):
    manifest = gateway_harness.make_manifest()
    for service in manifest["services"]:
        service["max_conns"] = 1
    await put(harness, 2, services=manifest["services"])
    await asyncio.sleep(_APPLIED_S)


async def drain_endpoints(harness):
    for server in [*harness.servers, *harness.engines]:
        await harness.register(server, state="draining")
    await asyncio.sleep(_APPLIED_S)


async def remove_endpoints(harness):
    for server in [*harness.servers, *harness.engines]:
        await harness.store.remove(f"servers/{server.id}")
    await asyncio.sleep(_APPLIED_S)


async def shorten_limits(harness):
    limits = {
        "idle_timeout_ms": 100,
        "header_timeout_ms": 100,
        "max_header_bytes": 100,
        "max_body_bytes": 1,
    }
    await put(harness, 2, limits=limits)
    await asyncio.sleep(_APPLIED_S)


async def shorten_timeouts(harness):
    routes = gateway_harness.make_manifest()["routes"]
    for route in routes:
        route["timeout_ms"] = 100
    await put(harness, 2, routes=routes)
    await asyncio.sleep(_APPLIED_S)


_CHANGES = [
    drop_routes_and_keys,
    drop_services,
    narrow_connections,
    drain_endpoints,
    remove_endpoints,
    shorten_limits,
    shorten_timeouts,
]
# After these, a broken stream may find no endpoint to go on at.
_TAKES_ENDPOINTS = [narrow_connections, drain_endpoints, remove_endpoints]


def is_whole(path, response):
    """Returns whether a response is the endpoint's whole one."""
    if response.status != 200 or not response.is_complete:
        return False
    if path.startswith(("/chat", "/ask")):
        return response.body.count(b"data:") == _EVENTS
    return response.body == b"an answer"


@pytest.mark.parametrize("change", _CHANGES)
async def test_what_runs_is_finished_beside_a_change(harness, change):
    """Guards against cutting requests that wait, or whose stream runs.

    The changes take effect before the head of some responses and in the middle
    of others.
    """
    running = [
        asyncio.ensure_future(harness.send_request(path, body=b"x" * 20))
        for path in _PATHS * 3
    ]
    await asyncio.sleep(0.2)
    await change(harness)
    responses = await asyncio.gather(*running)
    for path, response in zip(_PATHS * 3, responses, strict=True):
        assert is_whole(path, response), (path, response)


@pytest.mark.parametrize("change", _CHANGES)
async def test_what_is_retried_beside_a_change_gets_a_true_response(
    harness, change
):
    """Guards against a request that ends unanswered between its attempts."""
    harness.engines[0].faults.cut_after = 6
    harness.servers[0].faults.reset = True
    running = [
        asyncio.ensure_future(harness.send_request(path, body=b"x" * 20))
        for path in _PATHS * 3
    ]
    await asyncio.sleep(0.1)
    await change(harness)
    for path, response in zip(
        _PATHS * 3, await asyncio.gather(*running), strict=True
    ):
        if path.startswith("/ask") and change not in _TAKES_ENDPOINTS:
            assert is_whole(path, response), response
        elif path.startswith(("/chat", "/ask")):
            assert response.status == 200
        else:
            assert response.status in (200, 502, 504), (path, response)


class _Operator:
    """Changes the configuration and the endpoints at random."""

    def __init__(self, harness, generator):
        self._harness = harness
        self._random = generator
        self._version = 1

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await self._change()
            await asyncio.sleep(self._random.uniform(0.1, 0.4))
        await self._restore()

    async def _change(self):
        self._version += 1
        manifest = gateway_harness.make_manifest(self._version)
        generator = self._random
        for service in manifest["services"]:
            service["max_conns"] = generator.choice([1, 2, 5, 100])
        manifest["limits"]["idle_timeout_ms"] = generator.choice(
            [100, 300, 1_000, 5_000]
        )
        if generator.random() < 0.3:
            manifest["routes"].pop(generator.randrange(5))
        if generator.random() < 0.2:
            manifest["tenants"].pop(0)
        await self._harness.store.put("op/config", manifest)
        server = generator.choice(
            [*self._harness.servers, *self._harness.engines]
        )
        if generator.random() < 0.3:
            await self._harness.store.remove(f"servers/{server.id}")
        else:
            state = generator.choice(["draining", "ready", "ready"])
            await self._harness.register(server, state=state)

    async def _restore(self):
        await put(self._harness, self._version + 1)
        for server in [*self._harness.servers, *self._harness.engines]:
            await self._harness.register(server)


async def call_for(harness, seconds, generator, outcomes):
    """Sends requests on kept connections, and collects what went wrong."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    caller = None
    served = 0
    while loop.time() < end:
        path = generator.choice(_PATHS)
        is_new = caller is None
        if is_new:
            caller = await callers.RawCaller.connect(harness)
            served = 0
        request, request_id = callers.encode(harness, path)
        started_at = loop.time()
        with contextlib.suppress(ConnectionError):
            await caller.send(request)
        response = await caller.read_response()
        executed = {r.request_id for r in harness.list_executed()}
        has_run = request_id in executed
        if response.status == 0 and (is_new or has_run):
            outcomes.append((path, "no response", has_run, served))
        elif response.status in _NOT_RUN_STATUSES and has_run:
            if path.startswith(("/book", "/chat")):
                outcomes.append((path, response.status, "has run", served))
        elif response.status == 200 and not is_whole(path, response):
            took_s = loop.time() - started_at
            outcomes.append((path, "cut", round(took_s, 2), served))
        served += 1
        keeps = (
            response.is_complete
            and response.headers.get("connection") != "close"
        )
        if not keeps:
            caller.close()
            caller = None
        await asyncio.sleep(generator.uniform(0, 0.3))
    if caller is not None:
        caller.close()


@pytest.mark.parametrize("seed", range(2))
async def test_changes_beside_many_callers_cut_no_request(harness, seed):
    """Guards against requests that end without a true and whole response."""
    generator = random.Random(seed)
    for server in harness.servers:
        server.request_duration_s = 0.1
    outcomes = []
    await asyncio.gather(
        _Operator(harness, generator).run(5.0),
        *(call_for(harness, 5.0, generator, outcomes) for _ in range(24)),
    )
    assert outcomes == []
