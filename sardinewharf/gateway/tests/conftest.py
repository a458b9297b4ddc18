"""Runs the asynchronous tests of this folder on the gateways' event loop."""

from sardinewharf.gateway import loops


def pytest_asyncio_loop_factories(config, item):
    return {"suspend-aware": loops.SuspendAwareLoop}
