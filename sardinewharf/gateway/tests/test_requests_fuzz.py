"""Fuzzes requests through a gateway to servers with injected faults.

The servers record the requests that they ran. The test checks that

- a request that must not be repeated ran at most once;
- a request that was refused as not run has not run;
- a response of status 200 is one server's complete response;
- the events of a stream arrive once and in order, and a stream that ends
  without an error is complete.
"""

import asyncio
import os

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from sardinewharf.gateway import loops
from sardinewharf.standins import server_faults
from sardinewharf.testbed import gateway_harness

_IS_LONG = os.environ.get("SARDINEWHARF_FUZZ") == "long"
_NOT_RUN_STATUSES = {408, 421, 429, 503}
_STATUSES = (500, *sorted(_NOT_RUN_STATUSES))
_FAULTS = (
    *(
        (name, True)
        for name in (
            "refuse",
            "moved",
            "reset",
            "short_body",
            "extra",
            "garbage",
            "wrong_id",
            "no_id",
            "is_unsigned",
            "unframed",
        )
    ),
    ("cut_after", 2),
    *(("status", status) for status in _STATUSES if status != 421),
    *(
        ("stale_refusal", server_faults.StaleRefusal(status, place))
        for place in server_faults.RefusalPlace
        for status in (421, 503)
    ),
)
_ROUTES = ("/book/", "/look/", "/chat/", "/ask/")

step = st.fixed_dictionaries(
    {
        "faults": st.lists(
            st.tuples(st.integers(0, 5), st.sampled_from(_FAULTS)), max_size=4
        ),
        "requests": st.lists(st.sampled_from(_ROUTES), min_size=1, max_size=5),
        "gone": st.lists(st.integers(0, 5), max_size=2),
        "store_status": st.sampled_from([0, 0, 0, 503, 429]),
    }
)


@seed(20261204)
@settings(
    max_examples=2_500 if _IS_LONG else 12,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(history=st.lists(step, min_size=1, max_size=4))
def test_guarantees_hold_whatever_servers_do(history):
    with asyncio.Runner(loop_factory=loops.SuspendAwareLoop) as runner:
        runner.run(run_history(history))


async def run_history(history):
    harness = gateway_harness.GatewayHarness()
    await harness.start()
    try:
        for batch in history:
            await run_batch(harness, batch)
        await asyncio.sleep(0.05)
    finally:
        await harness.close()


async def run_batch(harness, batch):
    servers = [*harness.servers, *harness.engines]
    for server in servers:
        server.faults = type(server.faults)()
    for index, fault in batch["faults"]:
        setattr(servers[index].faults, *fault)
    harness.store.faults.status = batch["store_status"]
    for index in batch["gone"]:
        await servers[index].stop()
    responses = await asyncio.gather(
        *(ask(harness, route) for route in batch["requests"])
    )
    for request_id, route, response in responses:
        check(harness, request_id, route, response)
    harness.store.faults.status = 0


async def ask(harness, route):
    request_id = harness.make_id()
    method = "GET" if route == "/look/" else "POST"
    response = await harness.send_request(
        route + "1",
        method,
        b"" if method == "GET" else b"body",
        x_sardinewharf_request_id=request_id,
        x_sardinewharf_deadline_ms="900",
    )
    return request_id, route, response


def check(harness, request_id, route, response):
    ran = [
        r
        for r in harness.list_executed()
        if r.headers["x-sardinewharf-request-id"] == request_id
    ]
    if route in ("/book/", "/chat/"):
        assert len(ran) <= 1
    if response.status in _NOT_RUN_STATUSES:
        assert not ran
    if response.status == 200:
        assert ran
        assert "x-sardinewharf-server-stamp" in response.headers
    if response.status == 200 and route in ("/book/", "/look/"):
        assert response.body == b"an answer" and response.is_complete
    if response.status == 200 and route in ("/chat/", "/ask/"):
        ids = [
            int(line[4:])
            for line in response.body.split(b"\n")
            if line.startswith(b"id: ")
        ]
        assert ids == list(range(1, len(ids) + 1))
        assert len(ids) == 4 or not response.is_complete
