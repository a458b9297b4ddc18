"""Runs this folder's tests on the gateways' event loop, with one gateway."""

import pytest
import pytest_asyncio

from sardinewharf import clocks
from sardinewharf.gateway import loops
from sardinewharf.gateway.tests import process_clock
from sardinewharf.testbed import gateway_harness


def pytest_asyncio_loop_factories(config, item):
    return {"suspend-aware": loops.SuspendAwareLoop}


@pytest.fixture
def own_time(monkeypatch):
    """Makes timers and deadlines leave out waits for a processor."""
    clock = process_clock.ProcessClock()
    with monkeypatch.context() as patches:
        patches.setattr(clocks, "read_monotonic", clock.read)
        yield
    clock.close()


@pytest_asyncio.fixture
async def harness():
    """Starts a gateway with test doubles of the platform and its endpoints."""
    found = gateway_harness.GatewayHarness()
    await found.start()
    yield found
    await found.close()
