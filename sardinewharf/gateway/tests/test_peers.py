"""Tests the messages that gateways send each other."""

import msgspec
import pytest_asyncio

from sardinewharf import clocks
from sardinewharf import ids
from sardinewharf.gateway import digests
from sardinewharf.gateway import prompts
from sardinewharf.testbed import gateway_harness


@pytest_asyncio.fixture
async def harness():
    found = gateway_harness.GatewayHarness()
    await found.start(gateways=1)
    yield found
    await found.close()


async def test_the_loads_of_a_busy_gateway_fit_its_digest(harness):
    """A gateway with requests at 30 engines and 24 cache uses sent no digest.

    Its peers took the engines for idle just when they were not.
    """
    gateway = harness.gateways[0]
    for number in range(30):
        gateway._loads.begin(ids.EndpointId(f"i-5728010{number:03}"), 12_000)
        use = prompts.CacheUse(
            2**60 + number,
            f"i-5728010{number:03}@1768619350344",
            13_000,
            clocks.read_monotonic(),
        )
        gateway._prompts._own_uses.append(use)
    datagram = gateway._peers._encode(gateway._exchange.make_digest())
    digest = msgspec.msgpack.decode(datagram, type=digests.Message)
    assert len(digest.loads) == 30


async def test_a_small_digest_is_sent_whole(harness):
    gateway = harness.gateways[0]
    use = prompts.CacheUse(2**60, "e@1", 13_000, clocks.read_monotonic())
    gateway._prompts._own_uses.append(use)
    datagram = gateway._peers._encode(gateway._exchange.make_digest())
    digest = msgspec.msgpack.decode(datagram, type=digests.Message)
    assert len(digest.cache_uses) == 1
