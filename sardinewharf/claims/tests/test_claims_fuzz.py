"""Fuzzes the claims of several daemons on a store that loses answers."""

import asyncio
import random

import pytest

from sardinewharf import claims
from sardinewharf import clocks
from sardinewharf import keyvalue


class FaultyStore(keyvalue.KeyValueStore):
    """A store whose writes may be refused, lost, late, or unanswered."""

    def __init__(self, seed):
        self.records = {}
        self._random = random.Random(seed)
        self._late = set()

    async def read(self, key, deadline):
        await asyncio.sleep(0)
        if self._random.random() < 0.1:
            return keyvalue.Unavailable("out")
        return self.records.get(key, keyvalue.Absent())

    async def write(self, key, value, revision, deadline, lease=None):
        await asyncio.sleep(0)
        draw = self._random.random()
        if draw < 0.1:
            return keyvalue.Rejected("rate")
        if draw < 0.2:
            return keyvalue.WriteUnknown("lost before")
        if draw < 0.3:
            self._swap(key, value, revision)
            return keyvalue.WriteUnknown("lost after")
        if draw < 0.4:
            task = asyncio.create_task(self._swap_late(key, value, revision))
            self._late.add(task)
            return keyvalue.WriteUnknown("late")
        return self._swap(key, value, revision)

    def _swap(self, key, value, revision):
        found = self.records.get(key, keyvalue.Absent())
        if found.revision != revision:
            return keyvalue.Conflict(found.revision)
        self.records[key] = keyvalue.Record(value, revision + 1)
        return keyvalue.Written(revision + 1)

    async def _swap_late(self, key, value, revision):
        await asyncio.sleep(self._random.uniform(0.0, 0.05))
        self._swap(key, value, revision)

    async def watch(self, key, revision, deadline):
        raise NotImplementedError

    async def grant_lease(self, seconds, deadline):
        raise NotImplementedError

    async def renew_lease(self, lease, seconds, deadline):
        raise NotImplementedError

    async def close(self):
        pass


async def run_daemon(ledger, name, rng, granted):
    """Claims, dispatches, and completes or releases, as a daemon does."""
    for number in range(12):
        key = b"key-%d" % rng.randrange(6)
        attempt = f"{name}-{number}"
        deadline = clocks.Deadline.after(0.2)
        result = await ledger.claim(key, attempt, b"body", deadline)
        if isinstance(result, claims.AlreadyCompleted):
            assert result.answer.body == granted[key][-1].encode()
        if not isinstance(result, claims.Granted):
            continue
        if rng.random() < 0.3:
            await ledger.release(key, attempt, b"body", deadline)
            continue
        granted.setdefault(key, []).append(attempt)
        assert len(granted[key]) == 1, (key, granted[key])
        if rng.random() < 0.2:
            continue
        answer = claims.KeptAnswer(200, "text/plain", attempt.encode())
        late = clocks.Deadline.after(0.2)
        await ledger.complete(key, attempt, b"body", answer, late)


@pytest.mark.parametrize("seed", range(12))
async def test_fuzz_a_key_is_dispatched_once(seed):
    store = FaultyStore(seed)
    settings = claims.CommitterSettings(
        shards=2, linger_seconds=0.0, interval_seconds=0.0, head_bytes=200
    )
    ledgers = [claims.ClaimLedger(store, settings) for _ in range(3)]
    for ledger in ledgers:
        ledger.start()
    granted = {}
    rng = random.Random(seed)
    await asyncio.gather(
        *(
            run_daemon(ledger, f"d{number}", rng, granted)
            for number, ledger in enumerate(ledgers)
        )
    )
    for ledger in ledgers:
        await ledger.close()
    assert granted


async def test_a_claim_that_lands_late_does_not_undo_a_release():
    """A lost claim took effect after its release, and blocked the key."""

    class LateStore(FaultyStore):
        def __init__(self):
            super().__init__(0)
            self.held = []

        async def read(self, key, deadline):
            await asyncio.sleep(0)
            return self.records.get(key, keyvalue.Absent())

        async def write(self, key, value, revision, deadline, lease=None):
            await asyncio.sleep(0)
            if not self.held:
                self.held.append((key, value, revision))
                return keyvalue.WriteUnknown("held back")
            return self._swap(key, value, revision)

    store = LateStore()
    settings = claims.CommitterSettings(shards=1, linger_seconds=0.0)
    first, second = (claims.ClaimLedger(store, settings) for _ in range(2))
    first.start()
    second.start()
    past = clocks.Deadline.after(0.0)
    result = await first.claim(b"key", "a", b"body", past)
    assert isinstance(result, claims.ClaimUnknown)
    while store.records.get("sardinewharf/claims/0000") is None:
        await asyncio.sleep(0.01)
    store._swap(*store.held[0])
    later = clocks.Deadline.after(2.0)
    result = await second.claim(b"key", "b", b"body", later)
    assert isinstance(result, claims.Granted)
    await first.close()
    await second.close()


async def test_a_damaged_shard_refuses_claims_and_hangs_none():
    """An unreadable record ended the committer, and claims waited for ever."""
    store = FaultyStore(0)
    key = "sardinewharf/claims/0000"
    store.records[key] = keyvalue.Record(b"\xc1", 1)
    settings = claims.CommitterSettings(shards=1, linger_seconds=0.0)
    ledger = claims.ClaimLedger(store, settings)
    ledger.start()
    deadline = clocks.Deadline.after(0.05)
    result = await ledger.claim(b"key", "a", b"body", deadline)
    assert isinstance(result, claims.ClaimsUnavailable)
    await ledger.close()


async def test_claims_outlive_many_sealed_segments():
    """A shard that held every key in one record was full after a while."""
    store = FaultyStore(0)
    store._random.random = lambda: 1.0
    settings = claims.CommitterSettings(
        shards=1, linger_seconds=0.0, interval_seconds=0.0, head_bytes=500
    )
    first = claims.ClaimLedger(store, settings)
    first.start()
    deadline = clocks.Deadline.after(10.0)
    for number in range(40):
        key = b"key-%d" % number
        assert isinstance(
            await first.claim(key, "a", b"body", deadline), claims.Granted
        )
    assert await first.release(b"key-1", "a", b"body", deadline)
    await first.close()
    second = claims.ClaimLedger(store, settings)
    second.start()
    for number in (0, 20, 39):
        result = await second.claim(b"key-%d" % number, "b", b"body", deadline)
        assert isinstance(result, claims.AlreadyClaimed)
    result = await second.claim(b"key-1", "b", b"body", deadline)
    assert isinstance(result, claims.Granted)
    await second.close()
