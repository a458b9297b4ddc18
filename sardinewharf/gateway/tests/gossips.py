"""Checks of the messages that gateways send each other."""

from sardinewharf.testbed import gateway_harness


async def check_gossips(harness):
    """Checks that the gateways still exchange digests."""
    received = [g._exchange._latest_received for g in harness.gateways]
    before = [dict(latest) for latest in received]

    async def have_advanced():
        return all(
            latest != old for latest, old in zip(received, before, strict=True)
        )

    await gateway_harness.wait_for(have_advanced, 2.0)
