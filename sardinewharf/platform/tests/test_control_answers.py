"""Checks that late answers of servers are not taken for those of later calls.

The bytes of an answer to a control call do not name the call, so a repeated
one that arrives late looks like the answer to the connection's next call.
"""

import asyncio

import pytest
import pytest_asyncio

from sardinewharf import clocks
from sardinewharf import fleet
from sardinewharf import ids
from sardinewharf import platform
from sardinewharf.gateway import control as control_lib
from sardinewharf.testbed import late_answers

_REPORT = {
    "models": [{"name": "m", "version": 1}],
    "busy": False,
    "sequence": 0,
}


class FakeEngine:
    """Answers reports, and orders with a status."""

    def __init__(self):
        self.order_status = 202
        self.is_silent = False
        self.server = late_answers.RepeatingServer(self._answer)

    def _answer(self, call):
        if self.is_silent:
            return b""
        if call.target == "/-/report":
            return late_answers.make_answer(200, _REPORT)
        return late_answers.make_answer(self.order_status)

    def make_endpoint(self):
        return fleet.Endpoint(
            ids.EndpointId("e"),
            "s",
            self.server.address,
            "fd",
            4,
            fleet.EndpointState.READY,
        )


@pytest_asyncio.fixture
async def engine():
    found = FakeEngine()
    await found.server.start()
    yield found
    found.server.stop()


def make_order():
    return control_lib.WeightsOrder(
        "m", 2, control_lib.SwitchMode.FINISH, "vm-1", 7, 0
    )


async def read_report(control, engine):
    return await control.read_report(
        engine.make_endpoint(), clocks.Deadline.after(0.3)
    )


async def send_order(control, engine):
    return await control.order_weights(
        engine.make_endpoint(), make_order(), clocks.Deadline.after(1.0)
    )


@pytest.mark.parametrize(
    ("status", "result"),
    [
        (202, control_lib.OrderResult.ACCEPTED),
        (409, control_lib.OrderResult.CONFLICT),
        (412, control_lib.OrderResult.OLD_EPOCH),
        (503, control_lib.OrderResult.REFUSED),
    ],
)
async def test_a_repeated_report_is_not_the_answer_to_an_order(
    engine, status, result
):
    """A late status 200 was taken to say that the weights were loaded.

    The gateway ended the drain of an engine that was loading them, or left one
    that had refused the order without them for good.
    """
    control = platform.ServerControl()
    assert await read_report(control, engine) is not None
    engine.order_status = status
    assert await send_order(control, engine) is result


async def test_an_answer_to_an_order_is_not_the_next_orders(engine):
    """An engine's late 412 ended the tenure of a leader that it had obeyed."""
    control = platform.ServerControl()
    engine.order_status = 412
    assert (
        await send_order(control, engine) is control_lib.OrderResult.OLD_EPOCH
    )
    engine.order_status = 202
    assert await send_order(control, engine) is control_lib.OrderResult.ACCEPTED


async def test_an_answer_to_an_order_is_not_a_report(engine):
    """A late 202 was no report, and the engine that loads was ejected."""
    control = platform.ServerControl()
    await send_order(control, engine)
    assert await read_report(control, engine) is not None


async def test_a_call_without_an_answer_ends_its_connection(engine):
    """A late answer must find no call that could take it for its own."""
    control = platform.ServerControl()
    engine.server.repeats = False
    assert await read_report(control, engine) is not None
    engine.is_silent = True
    assert await read_report(control, engine) is None
    engine.is_silent = False
    assert await read_report(control, engine) is not None
    assert engine.server.connections == 2


async def test_a_cancelled_call_ends_its_connection(engine):
    """The same for a call that its caller gave up."""
    control = platform.ServerControl()
    engine.server.repeats = False
    assert await read_report(control, engine) is not None
    engine.is_silent = True
    call = asyncio.ensure_future(read_report(control, engine))
    await asyncio.sleep(0.05)
    call.cancel()
    engine.is_silent = False
    assert await read_report(control, engine) is not None
    assert engine.server.connections == 2
