"""Runs this folder's tests on the gateways' event loop, with one gateway."""

import pytest_asyncio

from sardinewharf.gateway import loops
from sardinewharf.testbed import gateway_harness


def pytest_asyncio_loop_factories(config, item):
    return {"suspend-aware": loops.SuspendAwareLoop}


@pytest_asyncio.fixture
async def harness():
    """Starts a gateway with test doubles of the platform and its endpoints."""
    found = gateway_harness.GatewayHarness()
    await found.start()
    yield found
    await found.close()
