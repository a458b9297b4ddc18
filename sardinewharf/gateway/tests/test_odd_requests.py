"""Checks that an odd request of a caller costs only itself."""

import pytest

from sardinewharf.gateway.tests import gossips


@pytest.mark.parametrize("tokens", ["9" * 30 + ",1", "9" * 5_000, "-5,1"])
async def test_a_callers_number_of_tokens_ends_no_gossip(harness, tokens):
    """Guards against a caller whose header ends the gateway's gossip."""
    await harness.start_gateway("vm-1")
    response = await harness.send_request(
        "/ask/1", x_sardinewharf_token_usage=tokens
    )
    assert response.status == 400
    await gossips.check_gossips(harness)
