"""Checks what is said of a write whose connection ends."""

import asyncio

import pytest

from sardinewharf import clocks
from sardinewharf import keyvalue
from sardinewharf.keyvalue import http
from sardinewharf.testbed import late_answers


class VanishingService:
    """Stores each write, and closes the connection of the second one.

    Args:
        status: Status of later responses; 0 to stop listening.
    """

    def __init__(self, status):
        self.server = late_answers.RepeatingServer(self._answer)
        self.server.repeats = False
        self._status = status

    def _answer(self, call):
        number = len(self.server.calls)
        if number == 1:
            return late_answers.make_answer(200, Revision="1")
        if number == 2:
            if not self._status:
                self.server._server.close()
            raise ConnectionError("the service goes")
        return late_answers.make_answer(self._status, Revision="2")


@pytest.mark.parametrize("status", [0, 409, 503])
async def test_a_write_that_may_have_landed_is_not_rejected(status):
    """A write was stored, and said to have had no effect.

    The client repeated it on its own, as its connection was lost, and found
    nobody there, its own write or a service that was busy.
    """
    service = VanishingService(status)
    await service.server.start()
    store = http.HttpKeyValueStore((service.server.address,))
    deadline = clocks.Deadline.after(2.0)
    first = await store.write("a", b"1", 0, deadline)
    assert isinstance(first, keyvalue.Written)
    second = await store.write("a", b"2", 1, deadline)
    assert [call.body for call in service.server.calls[:2]] == [b"1", b"2"]
    assert isinstance(second, keyvalue.WriteUnknown)
    await store.close()


async def test_a_redirect_of_a_write_leaves_it_open_whether_it_landed():
    """The answer to a read elsewhere was taken for that to the write."""
    calls = []

    def answer(call):
        calls.append(call.method)
        if call.method == "PUT":
            location = f"http://{server.address}/v1/keys/b"
            return late_answers.make_answer(303, Location=location)
        return late_answers.make_answer(200, Revision="7")

    server = late_answers.RepeatingServer(answer)
    server.repeats = False
    await server.start()
    store = http.HttpKeyValueStore((server.address,))
    result = await store.write("a", b"1", 0, clocks.Deadline.after(2.0))
    assert isinstance(result, keyvalue.WriteUnknown)
    assert calls == ["PUT"]
    await store.close()
    server.stop()


async def test_a_write_that_was_not_sent_is_rejected():
    """Guards against an open question where nothing has left."""
    with_nobody = late_answers.RepeatingServer(lambda call: b"")
    await with_nobody.start()
    address = with_nobody.address
    with_nobody.stop()
    await asyncio.sleep(0.01)
    store = http.HttpKeyValueStore((address,))
    result = await store.write("a", b"1", 0, clocks.Deadline.after(2.0))
    assert isinstance(result, keyvalue.Rejected)
    await store.close()
