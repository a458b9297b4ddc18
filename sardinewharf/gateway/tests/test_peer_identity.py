"""Checks that a gateway's state is told from that of its former process."""

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf.gateway import digests
from sardinewharf.gateway import drains
from sardinewharf.gateway import exchange
from sardinewharf.gateway import prompts
from sardinewharf.gateway import replica as replica_lib
from sardinewharf.gateway.tests import stores


def make_exchange():
    log = stores.MemoryLog()
    return exchange.StateExchange(
        stores.make_settings("vm-1"),
        replica_lib.Replica(log),
        fleet.LoadTable(),
        drains.DrainTable(),
        prompts.PromptTable(lambda: None),
    )


class Clock:
    """A monotonic clock that a test advances."""

    def __init__(self, monkeypatch):
        self.now = 1_000.0
        monkeypatch.setattr(clocks, "read_monotonic", lambda: self.now)


def test_a_process_whose_clock_was_set_back_is_heard(monkeypatch):
    """Peers ignored a gateway that restarted after its clock was set back.

    Its start seemed to be earlier than that of the process before. They used
    the engines that it drained until its clock had caught up.
    """
    clock = Clock(monkeypatch)
    receiver = make_exchange()
    receiver.handle(digests.Digest("vm-2", 900_000, 50, 1))
    heard = digests.UrgentUpdate(
        "vm-2", 840_000, 1, draining=[digests.DrainUpdate("e", 500)]
    )
    clock.now += 0.5
    receiver.handle(heard)
    assert not receiver._drains.is_draining("e")
    clock.now += 3.0
    receiver.handle(heard)
    assert receiver._drains.is_draining("e")


def test_a_late_message_of_a_former_process_changes_nothing(monkeypatch):
    """While a process is heard, messages of those before it are ignored."""
    clock = Clock(monkeypatch)
    receiver = make_exchange()
    for number in range(1, 20):
        receiver.handle(digests.Digest("vm-2", 900_000, number, 1))
        clock.now += 0.4
        receiver.handle(
            digests.Digest("vm-2", 800_000, 500 + number, 1, draining=["e"])
        )
        assert not receiver._drains.is_draining("e")


def test_a_repeated_or_overtaken_message_changes_nothing(monkeypatch):
    """The latest state of a sender is kept, however messages arrive."""
    clock = Clock(monkeypatch)
    receiver = make_exchange()
    former = digests.Digest("vm-2", 900_000, 7, 1, draining=["e"])
    receiver.handle(former)
    assert receiver._drains.is_draining("e")
    receiver.handle(digests.Digest("vm-2", 900_000, 8, 1))
    assert not receiver._drains.is_draining("e")
    clock.now += 0.1
    receiver.handle(former)
    assert not receiver._drains.is_draining("e")
