"""Tasks that their starter does not await: limited in number, drained at shutdown."""

import asyncio
from collections.abc import Coroutine

from linnetladder.telemetry import log_failure

__all__ = ["BackgroundTasks"]

MAXIMUM_TASKS = 10_000


class BackgroundTasks:
    """Keep references to running tasks so that they are not garbage-collected."""

    def __init__(self):
        self.tasks: set[asyncio.Task] = set()

    def start(self, work: Coroutine) -> None:
        """Run a coroutine as a task, or drop it if `MAXIMUM_TASKS` are running."""
        if len(self.tasks) >= MAXIMUM_TASKS:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._finish)

    async def drain(self, *, seconds: float) -> None:
        """Wait for the running tasks, then cancel those still running."""
        if self.tasks:
            await asyncio.wait(tuple(self.tasks), timeout=seconds)
        for task in tuple(self.tasks):
            task.cancel()

    def _finish(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_failure("background task failed", task.exception())
