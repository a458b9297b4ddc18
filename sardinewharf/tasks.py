"""Runs background tasks so that none is lost and failures are logged."""

import asyncio
from collections.abc import Coroutine

from sardinewharf import logs

_log = logs.get_logger("tasks")


class TaskGroup:
    """Holds the background tasks of one component until it is closed.

    Unlike in an ``asyncio.TaskGroup``, the other tasks go on if one fails: an
    error in the work for one peer must not stop that for the others.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(
        self, work: Coroutine[object, object, object], name: str
    ) -> asyncio.Task[object]:
        """Starts a coroutine as a task.

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

    async def close(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task[object]) -> None:
        """Drops a task that has ended, and logs its failure."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.opt(exception=task.exception()).error(
                "Task {} failed.", task.get_name()
            )
