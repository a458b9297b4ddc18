"""Checks where suspect requests run."""

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf import limits


class UnreachableStore(keyvalue.KeyValueStore):
    """A key-value service on the other side of a cut."""

    async def read(self, key, deadline):
        return keyvalue.Unavailable("cut off")

    async def write(self, *arguments):
        return keyvalue.WriteUnknown("cut off")

    async def watch(self, *arguments):
        return keyvalue.Unavailable("cut off")

    async def grant_lease(self, *arguments):
        return keyvalue.Unavailable("cut off")

    async def renew_lease(self, *arguments):
        return keyvalue.Unavailable("cut off")

    async def close(self):
        """Does nothing."""


_ENGINES = ["engine-1", "engine-2", "engine-3"]


async def enter(slots, local_engines, seconds=1.0):
    return await slots.enter(
        lambda: _ENGINES, lambda: local_engines, clocks.Deadline.after(seconds)
    )


async def test_a_cut_off_daemon_tries_suspects_near_at_hand():
    """Two engines beyond a cut seemed to have died of a good request.

    The request was quarantined, and its failure domain served nothing.
    """
    for holder in ("daemon-1", "daemon-2", "daemon-3", "daemon-4"):
        slots = limits.SuspectSlots(UnreachableStore(), holder)
        assert await enter(slots, ["engine-3"]) == "engine-3"


async def test_a_slot_near_at_hand_is_waited_for():
    slots = limits.SuspectSlots(UnreachableStore(), "daemon-1")
    assert await enter(slots, ["engine-3"]) == "engine-3"
    assert await enter(slots, ["engine-3"], seconds=0.05) is None
    await slots.leave("engine-3")
    assert await enter(slots, ["engine-3"]) == "engine-3"


async def test_without_engines_near_any_may_be_tried():
    slots = limits.SuspectSlots(UnreachableStore(), "daemon-1")
    assert await enter(slots, []) in _ENGINES
