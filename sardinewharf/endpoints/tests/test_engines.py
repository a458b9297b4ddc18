"""Tests that connections which return wrong responses are closed."""

from aiohttp import web
import pytest

from sardinewharf import clocks
from sardinewharf import endpoints

_LOAD = '{"running": 3, "incarnation": "a"}'
_EVENTS = '{"incarnation": "a", "events": []}'


class _OffByOneServer:
    """Responds to each call on its first connection to the preceding call."""

    def __init__(self):
        self.connections = 0
        self._pending_responses = {}

    async def respond(self, request):
        key = request.transport
        own = _LOAD if request.path == "/v1/load" else _EVENTS
        if key not in self._pending_responses:
            self.connections += 1
            # Only the first connection returns the response to another call.
            self._pending_responses[key] = (
                _EVENTS if self.connections == 1 else None
            )
        delayed = self._pending_responses[key]
        if delayed is None:
            return web.Response(text=own)
        self._pending_responses[key] = own
        return web.Response(text=delayed)


@pytest.fixture
async def off_by_one_server():
    server = _OffByOneServer()
    app = web.Application()
    app.router.add_get("/v1/{call}", server.respond)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    server.address = f"127.0.0.1:{port}"
    yield server
    await runner.cleanup()


async def test_a_connection_out_of_step_is_left(off_by_one_server):
    """After one wrong response, calls must use a new connection.

    On a reused connection, load reports and cache events were exchanged for as
    long as the connection lasted. Each poll failed, so that the daemon assumed
    that the engine was down.
    """
    client = endpoints.HttpModelEngine()
    deadline = clocks.Deadline.after(5.0)
    with pytest.raises(endpoints.EndpointError) as caught:
        await client.report(off_by_one_server.address, deadline)
    assert caught.value.kind is endpoints.FailureKind.MISMATCH
    report = await client.report(off_by_one_server.address, deadline)
    assert report.running == 3
    assert off_by_one_server.connections == 2
    await client.close()
