"""Runs asyncio on the clock that goes on while a machine is suspended."""

import asyncio
from collections.abc import Coroutine

from sardinewharf import clocks


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time of a suspension.

    A deadline that passed while the machine stood still is noticed at once
    when it wakes.
    """

    def time(self) -> float:
        """Returns the time that all timers of the loop are given in."""
        return clocks.read_monotonic()


def run(main: Coroutine[object, object, None]) -> None:
    """Runs a program on such a loop."""
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        runner.run(main)
