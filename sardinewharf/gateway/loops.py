"""Runs asyncio on a clock that keeps counting while the VM is suspended."""

import asyncio
from collections.abc import Coroutine

from sardinewharf import clocks


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers include the time of a suspension.

    A deadline that passed while the VM was suspended takes effect as soon as
    the VM resumes.
    """

    def time(self) -> float:
        """Returns the time on the clock that the loop's timers use."""
        return clocks.read_monotonic()


def run(main: Coroutine[object, object, None]) -> None:
    """Runs a coroutine to its end on a ``SuspendAwareLoop``."""
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        runner.run(main)
