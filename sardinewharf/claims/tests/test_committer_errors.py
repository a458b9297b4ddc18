"""Checks that an error in a committer ends neither it nor its callers."""

import asyncio

import pytest

from sardinewharf import claims
from sardinewharf import clocks
from sardinewharf import keyvalue


class BrokenStore(keyvalue.KeyValueStore):
    """A store whose first calls raise errors that no caller expects."""

    def __init__(self, read_errors, write_errors):
        self.record = keyvalue.Absent()
        self.read_errors = read_errors
        self.write_errors = write_errors

    async def read(self, key, deadline):
        if self.read_errors:
            self.read_errors -= 1
            raise RecursionError("nested")
        return self.record

    async def write(self, key, value, revision, deadline, lease=None):
        if revision != self.record.revision:
            return keyvalue.Conflict(self.record.revision)
        self.record = keyvalue.Record(value, revision + 1)
        if self.write_errors:
            self.write_errors -= 1
            raise RecursionError("nested")
        return keyvalue.Written(revision + 1)

    async def watch(self, key, revision, deadline):
        raise NotImplementedError

    async def grant_lease(self, seconds, deadline):
        raise NotImplementedError

    async def renew_lease(self, lease, seconds, deadline):
        raise NotImplementedError

    async def close(self):
        pass


async def claim(ledger, attempt="a", seconds=1.0):
    deadline = clocks.Deadline.after(seconds)
    return await asyncio.wait_for(
        ledger.claim(b"key", attempt, b"body", deadline), 2 * seconds
    )


@pytest.mark.parametrize("errors", [(1, 0), (0, 1), (2, 2)])
async def test_a_claim_is_committed_after_an_error(errors):
    """Guards against claims that wait without end for a task that ended."""
    ledger = claims.ClaimLedger(
        BrokenStore(*errors), claims.CommitterSettings(shards=1)
    )
    ledger.start()
    try:
        assert isinstance(await claim(ledger), claims.Granted)
        other = await claim(ledger, "b")
        assert isinstance(other, claims.AlreadyClaimed)
    finally:
        await ledger.close()


async def test_a_claim_in_doubt_is_not_reported_as_unrecorded():
    """Guards against a claim that counts as free but may be recorded."""
    ledger = claims.ClaimLedger(
        BrokenStore(0, 10**9), claims.CommitterSettings(shards=1)
    )
    ledger.start()
    try:
        result = await claim(ledger, seconds=0.3)
        assert isinstance(result, claims.ClaimUnknown | claims.Granted)
    finally:
        await ledger.close()
