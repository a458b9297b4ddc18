"""Checks that late responses do not act on a tenure that has ended."""

import asyncio

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import leases


class SlowStore(keyvalue.KeyValueStore):
    """A store of one record whose next responses are held back.

    Attributes:
        record: Value and revision of the record; None if there is none.
        released: While it is not set, no call returns.
    """

    def __init__(self):
        self.record = None
        self.released = asyncio.Event()
        self.released.set()

    async def read(self, key, deadline):
        await self.released.wait()
        if self.record is None:
            return keyvalue.Absent()
        return keyvalue.Record(*self.record)

    async def write(self, key, value, revision, deadline, lease=None):
        if revision != (self.record[1] if self.record else 0):
            return keyvalue.Conflict(0)
        self.record = value, revision + 1
        await self.released.wait()
        return keyvalue.Written(revision + 1)

    async def watch(self, key, revision, deadline):
        raise NotImplementedError

    async def grant_lease(self, seconds, deadline):
        return keyvalue.Lease("1", clocks.Deadline.after(seconds))

    async def renew_lease(self, lease, seconds, deadline):
        await self.released.wait()
        return keyvalue.Lease(lease, clocks.Deadline.after(seconds))

    async def close(self):
        pass


def make_leader_lease(store):
    settings = leases.LeaderLeaseSettings(lease_s=2.0, renew_before_s=2.0)
    return leases.LeaderLease(store, "weights", "vm-1", settings)


async def test_a_late_renewal_does_not_act_on_an_ended_tenure():
    """A renewal in flight when an engine refused the fence raised TypeError.

    The task that acquires the lease ended, and the gateway never became the
    leader again.
    """
    store = SlowStore()
    leader_lease = make_leader_lease(store)
    await leader_lease.acquire_or_renew()
    assert leader_lease.epoch
    store.released.clear()
    renewal = asyncio.ensure_future(leader_lease.acquire_or_renew())
    await asyncio.sleep(0)
    leader_lease.step_down()
    store.released.set()
    await renewal
    assert not leader_lease.epoch
    assert leader_lease.find_deadline() is None


async def test_a_late_acquisition_does_not_outlast_a_resignation():
    """A gateway that stopped while it acquired the lease kept it.

    The next leader had to wait until the lease expired.
    """
    store = SlowStore()
    leader_lease = make_leader_lease(store)
    store.released.clear()
    acquisition = asyncio.ensure_future(leader_lease.acquire_or_renew())
    await asyncio.sleep(0)
    resignation = asyncio.ensure_future(leader_lease.resign())
    await asyncio.sleep(0)
    store.released.set()
    await asyncio.gather(acquisition, resignation)
    assert not leader_lease.epoch
    assert leases.decode_lease_record(store.record[0]).holder == ""


async def test_a_late_renewal_does_not_outlast_a_resignation():
    """A resignation beside a renewal in flight raised TypeError."""
    store = SlowStore()
    leader_lease = make_leader_lease(store)
    await leader_lease.acquire_or_renew()
    store.released.clear()
    renewal = asyncio.ensure_future(leader_lease.acquire_or_renew())
    await asyncio.sleep(0)
    resignation = asyncio.ensure_future(leader_lease.resign())
    await asyncio.sleep(0)
    store.released.set()
    await asyncio.gather(renewal, resignation)
    assert not leader_lease.epoch
    assert leases.decode_lease_record(store.record[0]).holder == ""
