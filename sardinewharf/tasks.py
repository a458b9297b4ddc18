"""Runs background tasks so that none is lost and failures are counted.

A task that is to run as long as the process is started again when it fails.
One that does a single piece of work ends.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import dataclasses
import enum

from sardinewharf import clocks
from sardinewharf import logs

_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 5.0
# A task that has run for this long has recovered from its failures.
_RECOVERY_S = 5.0
# A task that fails so often without recovering keeps failing.
_MAX_FAILURES = 3
_log = logs.get_logger("tasks")


class Effect(enum.Enum):
    """What the failure of a piece of work leads to."""

    RESTARTED = "restarted"
    ENDED = "ended"
    SKIPPED = "skipped"


class FailureCounter:
    """Logs and counts the failures of background work.

    Args:
        count: Called with the name of the work and the effect of its failure.
    """

    def __init__(self, count: Callable[[str, Effect], None] | None = None):
        self._count = count
        self.counts = collections.Counter[tuple[str, Effect]]()

    def record(
        self, name: str, effect: Effect, error: BaseException | None
    ) -> None:
        """Records a failure."""
        self.counts[name, effect] += 1
        if self._count is not None:
            self._count(name, effect)
        _log.opt(exception=error).error(
            "Task {} failed and is {}.", name, effect.value
        )

    @contextlib.contextmanager
    def contain(self, name: str) -> Iterator[None]:
        """Records an error of the body, and goes on after the body.

        It is for a step whose failure must not stop the steps after it.
        """
        try:
            yield
        except Exception as error:
            self.record(name, Effect.SKIPPED, error)

    def record_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Records an error of a callback; an event loop's error handler."""
        message = str(context.get("message", ""))
        error = context.get("exception")
        _log.error("The event loop reports: {}.", message)
        self.record("callback", Effect.SKIPPED, error)


# Counts the failures of groups that have no counter of their own.
PROCESS_FAILURES = FailureCounter()


@dataclasses.dataclass(slots=True)
class _Run:
    """The current run of a task that is kept running.

    Attributes:
        started_at: When it was started, in monotonic seconds.
        failures: How many runs before it failed, since the last recovery.
        is_paused: Whether it failed and is not started again yet.
    """

    started_at: float
    failures: int = 0
    is_paused: bool = False

    @property
    def has_recovered(self) -> bool:
        """Whether it runs for so long that earlier failures do not count."""
        age_s = clocks.read_monotonic() - self.started_at
        return not self.is_paused and age_s >= _RECOVERY_S


class TaskGroup:
    """Holds the background tasks of one component until it is closed.

    Unlike in an ``asyncio.TaskGroup``, the other tasks go on if one fails: an
    error in the work for one peer must not stop that for the others.

    Args:
        failures: Counts the failures of the tasks; that of the process if
            None.
    """

    def __init__(self, failures: FailureCounter | None = None) -> None:
        self._tasks: set[asyncio.Task[object]] = set()
        self._failures = failures or PROCESS_FAILURES
        self._runs: dict[str, _Run] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def start(
        self, work: Coroutine[object, object, object], name: str
    ) -> asyncio.Task[object]:
        """Starts a coroutine as a task that ends with it, or if it fails.

        Args:
            work: The coroutine.
            name: Name of the task, for the log.

        Returns:
            The task, which this group holds until it ends.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def keep_running(
        self,
        work: Callable[[], Coroutine[object, object, object]],
        name: str,
    ) -> asyncio.Task[object]:
        """Starts a task that is started again, after a pause, if it fails.

        Args:
            work: Coroutine function; called again after each failure.
            name: Name of the task, for the log.

        Returns:
            The task, which this group holds until ``work`` returns.
        """
        return self.start(self._run_repeatedly(work, name), name)

    def is_failing(self, name: str) -> bool:
        """Returns whether a task that is kept running keeps failing."""
        run = self._runs.get(name)
        return (
            run is not None
            and run.failures >= _MAX_FAILURES
            and not run.has_recovered
        )

    async def close(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_repeatedly(
        self,
        work: Callable[[], Coroutine[object, object, object]],
        name: str,
    ) -> None:
        run = self._runs[name] = _Run(clocks.read_monotonic())
        try:
            while not await self._run_once(work, name):
                if run.has_recovered:
                    run.failures = 0
                run.failures += 1
                run.is_paused = True
                pause_s = _MIN_PAUSE_S * 2 ** min(run.failures - 1, 10)
                await asyncio.sleep(min(_MAX_PAUSE_S, pause_s))
                run.started_at = clocks.read_monotonic()
                run.is_paused = False
        finally:
            if self._runs.get(name) is run:
                del self._runs[name]

    async def _run_once(
        self,
        work: Callable[[], Coroutine[object, object, object]],
        name: str,
    ) -> bool:
        """Returns True when the work returns, and False when it fails.

        An error of work that was cancelled is raised, so that the task ends.
        """
        try:
            await work()
        except asyncio.CancelledError as error:
            if asyncio.current_task().cancelling():
                raise
            # The work awaited something that was cancelled.
            self._failures.record(name, Effect.RESTARTED, error)
            return False
        except Exception as error:
            if asyncio.current_task().cancelling():
                raise
            self._failures.record(name, Effect.RESTARTED, error)
            return False
        return True

    def _finish(self, task: asyncio.Task[object]) -> None:
        """Drops a task that has ended, and records its failure."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failures.record(
                task.get_name(), Effect.ENDED, task.exception()
            )
