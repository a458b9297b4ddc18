"""Probes of endpoints whose connections were lost."""

import asyncio

from sardinewharf import tasks
from sardinewharf.gateway import crash_probes


class _Pool:
    """A pool whose endpoint accepts connections, each after a while."""

    async def acquire(self, deadline, must_be_new):
        await asyncio.sleep(0.02)
        return self

    def close(self):
        """Does nothing."""

    def release(self, connection):
        """Does nothing."""


# After a freeze of the process the next probe begins before the last one ends,
# which then failed when it found its entry gone.
async def test_probes_of_one_endpoint_may_overlap():
    failed = []
    failures = tasks.FailureCounter(lambda name, effect: failed.append(name))
    prober = crash_probes.CrashProber(None, None, failures)
    prober.start("e", _Pool())
    prober._next_probe_at.clear()
    prober.start("e", _Pool())
    assert await prober.wait("e")
    await asyncio.sleep(0.1)
    assert not failed
    assert not await prober.wait("e")
    await prober.close()
